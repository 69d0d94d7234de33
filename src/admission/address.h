// Addresses of clients, and ranges of them. IPv4 is kept as IPv4-mapped IPv6, so that one client is one
// address whichever way its socket says it.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace dahliastall::admission {

struct Address {
  std::array<std::uint8_t, 16> bytes{};

  static std::optional<Address> parse(const std::string& text);
  bool isV4() const;
  Address masked(int bits) const;  // the first so many of 128 bits
  std::string text() const;
  auto operator<=>(const Address&) const = default;
};

class Range {
 public:
  // "10.0.0.0/8", "2001:db8::/32", or one address. Nothing if it is none, or if bits are set behind the
  // prefix.
  static std::optional<Range> parse(const std::string& text);
  bool holds(const Address& address) const { return address.masked(bits_) == base_; }
  bool overlaps(const Range& other) const { return holds(other.base_) || other.holds(base_); }
  std::string text() const;

 private:
  Address base_;
  int bits_ = 128;
};

}  // namespace dahliastall::admission
