#include "frontend/platform/request_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "core/clock.h"

namespace inference_router::frontend {

using routing::Arrival;

namespace {

// Far above what any request needs, and far below the values at which a double overflows the
// routing library's time type.
constexpr std::uint64_t kMaxMs = 3'600'000;
constexpr std::uint64_t kMaxTokens = 100'000'000;
constexpr std::size_t kMaxIdLength = 128;
constexpr double kUsPerMs = 1'000;

double parseNumber(std::string_view text, const std::string& name, std::uint64_t max) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    throw RequestHeaderError(name + " is not a whole number");
  if (value > max)
    throw RequestHeaderError(name + " is over " + std::to_string(max));
  return static_cast<double>(value);
}

// The cost is only the client's estimate, so an invalid value is ignored rather than rejected.
std::optional<routing::Duration> parseCost(std::string_view text) {
  double us = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), us);
  const bool complete = error == std::errc() && end == text.data() + text.size();
  if (!complete || !(us > 0 && us <= kMaxMs * kUsPerMs))
    return std::nullopt;
  return routing::Duration(std::llround(us));
}

// The id becomes part of paths and headers of calls to instances, so it must need no escaping.
bool isPlainId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength && std::all_of(id.begin(), id.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
  });
}

void readInfoPair(std::string_view name, std::string_view value, Arrival& arrival) {
  if (name == "prefix")
    arrival.prefix = std::string(value);
  if (name == "prompt_len")
    arrival.promptTokens = parseNumber(value, "prompt_len", kMaxTokens);
  if (name == "prefix_len")
    arrival.prefixTokens = parseNumber(value, "prefix_len", kMaxTokens);
  if (name == "max_out")
    arrival.maxTokens = parseNumber(value, "max_out", kMaxTokens);
}

void readInfo(std::string_view info, Arrival& arrival) {
  while (!info.empty()) {
    const std::size_t comma = info.find(',');
    std::string_view pair = info.substr(0, comma);
    info = comma == std::string_view::npos ? std::string_view() : info.substr(comma + 1);
    pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      readInfoPair(pair.substr(0, equals), pair.substr(equals + 1), arrival);
  }
}

std::optional<std::uint32_t> indexOf(const std::vector<std::string>& names,
                                     const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end())
    return std::nullopt;
  return static_cast<std::uint32_t>(found - names.begin());
}

}  // namespace

std::string headerOf(const net::HttpRequest& request, std::string_view name) {
  const auto found = request.find(boost::beast::string_view(name.data(), name.size()));
  return found == request.end() ? std::string() : std::string(found->value());
}

net::Fields forwardedFields(const net::HttpRequest& request) {
  constexpr std::array kNotForwarded{"Host",
                                     "Connection",
                                     "Keep-Alive",
                                     "Proxy-Connection",
                                     "TE",
                                     "Transfer-Encoding",
                                     "Content-Length",
                                     "Trailer",
                                     "Upgrade",
                                     "Expect",
                                     "Content-Type",
                                     "X-Call-Id",
                                     "X-Budget-Ms"};
  net::Fields fields;
  for (const auto& field : request) {
    const auto name = field.name_string();
    const bool dropped =
        std::any_of(kNotForwarded.begin(), kNotForwarded.end(),
                    [&](const char* other) { return boost::beast::iequals(name, other); });
    if (!dropped)
      fields.emplace_back(std::string(name), std::string(field.value()));
  }
  return fields;
}

Arrival arrivalOf(const net::HttpRequest& request, const routing::wire::Vocabulary& names) {
  Arrival arrival{};
  arrival.request = {headerOf(request, "X-Call-Id")};
  if (!isPlainId(arrival.request.value))
    throw RequestHeaderError("X-Call-Id is missing or not a plain word");
  const auto cls = indexOf(names.classes, headerOf(request, "X-Call-Class"));
  if (!cls)
    throw RequestHeaderError("X-Call-Class is not a class of this site");
  arrival.cls = {*cls};
  if (const auto tenant = indexOf(names.tenants, headerOf(request, "X-Caller")))
    arrival.tenant = routing::TenantIndex{*tenant};
  arrival.session = headerOf(request, "X-Route-Hash");
  arrival.timeLeft =
      core::toModule(parseNumber(headerOf(request, "X-Budget-Ms"), "X-Budget-Ms", kMaxMs));
  readInfo(headerOf(request, "X-Call-Info"), arrival);
  arrival.lengthHint = parseCost(headerOf(request, "X-Call-Cost"));
  const std::string repeatMark = headerOf(request, "X-Again");
  arrival.repeat = repeatMark == "1";
  arrival.resumed = repeatMark == "again";
  return arrival;
}

}  // namespace inference_router::frontend
