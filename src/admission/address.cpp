#include "admission/address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace inference_router::admission {

namespace {

constexpr int kIpv4Bits = 32;
constexpr int kIpv6Bits = 128;
constexpr int kMappedPrefixBits = kIpv6Bits - kIpv4Bits;
constexpr int kBitsPerByte = 8;
// ::ffff:0:0/96, the prefix of IPv4-mapped addresses.
constexpr std::array<std::uint8_t, 12> kMappedPrefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

}  // namespace

std::optional<Address> Address::parse(const std::string& text) {
  Address address;
  in_addr ipv4{};
  if (::inet_pton(AF_INET, text.c_str(), &ipv4) == 1) {
    std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.bytes.begin());
    std::memcpy(address.bytes.data() + kMappedPrefix.size(), &ipv4, sizeof ipv4);
    return address;
  }
  if (::inet_pton(AF_INET6, text.c_str(), address.bytes.data()) == 1)
    return address;
  return std::nullopt;
}

bool Address::isV4() const {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), bytes.begin());
}

Address Address::masked(int bits) const {
  Address masked = *this;
  int remaining = bits;
  for (std::uint8_t& byte : masked.bytes) {
    const int prefixBits = std::clamp(remaining, 0, kBitsPerByte);
    byte &= static_cast<std::uint8_t>(0xff00 >> prefixBits);
    remaining -= kBitsPerByte;
  }
  return masked;
}

std::string Address::text() const {
  std::array<char, INET6_ADDRSTRLEN> out{};
  if (isV4())
    ::inet_ntop(AF_INET, bytes.data() + kMappedPrefix.size(), out.data(), out.size());
  else
    ::inet_ntop(AF_INET6, bytes.data(), out.data(), out.size());
  return out.data();
}

std::optional<Range> Range::parse(const std::string& text) {
  const std::size_t slash = text.find('/');
  const auto base = Address::parse(text.substr(0, slash));
  if (!base)
    return std::nullopt;
  Range range;
  range.base_ = *base;
  if (slash != std::string::npos) {
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + slash + 1, last, range.bits_);
    const int maxBits = base->isV4() ? kIpv4Bits : kIpv6Bits;
    if (error != std::errc() || end != last || range.bits_ < 0 || range.bits_ > maxBits)
      return std::nullopt;
    if (base->isV4())
      range.bits_ += kMappedPrefixBits;
  }
  if (base->masked(range.bits_) != *base)
    return std::nullopt;
  return range;
}

std::string Range::text() const {
  return base_.text() + "/" + std::to_string(base_.isV4() ? bits_ - kMappedPrefixBits : bits_);
}

}  // namespace inference_router::admission
