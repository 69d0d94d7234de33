/// Client addresses and address ranges. IPv4 addresses are stored as IPv4-mapped IPv6, so that a
/// client has the same address on an IPv4 and on a dual-stack socket.
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

  /// Returns nullopt if the text is neither an IPv4 nor an IPv6 address.
  static std::optional<Address> parse(const std::string& text);
  bool isV4() const;  ///< whether it is IPv4-mapped
  /// Returns the address with all but the first `bits` of its 128 bits set to zero.
  Address masked(int bits) const;
  /// Returns the usual notation: dotted decimal if IPv4-mapped, else IPv6.
  std::string text() const;
  auto operator<=>(const Address&) const = default;
};

/// A CIDR range.
class Range {
 public:
  /// Parses "10.0.0.0/8", "2001:db8::/32", or a single address. Returns nullopt if the text has
  /// another form, or if bits after the prefix are set.
  static std::optional<Range> parse(const std::string& text);
  bool contains(const Address& address) const { return address.masked(bits_) == base_; }
  bool overlaps(const Range& other) const { return contains(other.base_) || other.contains(base_); }
  std::string text() const;

 private:
  Address base_;
  int bits_ = 128;  // prefix length in the IPv6 form
};

}  // namespace inference_router::admission
