/// Client addresses and address ranges. IPv4 addresses are kept as IPv4-mapped IPv6, so that a
/// client has one address whatever kind of socket it came by.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace inference_router::admission {

/// An IPv6 address in network byte order.
struct Address {
  std::array<std::uint8_t, 16> bytes{};

  /// Nothing if the text is neither an IPv4 nor an IPv6 address.
  static std::optional<Address> parse(const std::string& text);
  bool isV4() const;  ///< IPv4-mapped
  /// The first `bits` of its 128 bits, the others zero.
  Address masked(int bits) const;
  /// As an operator writes it.
  std::string text() const;
  auto operator<=>(const Address&) const = default;
};

/// A CIDR range.
class Range {
 public:
  /// "10.0.0.0/8", "2001:db8::/32", or a single address. Nothing if the text is none of these, or
  /// if bits after the prefix are set.
  static std::optional<Range> parse(const std::string& text);
  bool contains(const Address& address) const { return address.masked(bits_) == base_; }
  bool overlaps(const Range& other) const { return contains(other.base_) || other.contains(base_); }
  std::string text() const;

 private:
  Address base_;
  int bits_ = 128;  // of the IPv6 form
};

}  // namespace inference_router::admission
