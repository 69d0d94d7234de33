#include "line.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace inference_router::routing::wire {

Parts split(std::string_view text, char mark) {
  Parts parts;
  for (std::size_t from = 0;;) {
    const std::size_t to = text.find(mark, from);
    parts.push_back(text.substr(from, to - from));
    if (to == std::string_view::npos)
      return parts;
    from = to + 1;
  }
}

std::optional<double> toDecimal(std::string_view text) {
  double value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    return {};
  return value;
}

std::size_t indexOf(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

Duration fromMillis(double ms) {
  return Duration(std::llround(ms * 1000));
}

std::string toMillis(Duration span) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(span.count()) / 1000);
  return text.data();
}

Line::Line(std::string_view text, std::size_t number)
    : parts_(split(text, '\t')), number_(number) {}

void Line::complain(std::size_t field, std::string_view what) const {
  throw Malformed("line " + std::to_string(number_) + " (" + std::string(name()) + "), field " +
                  std::to_string(field) + ": " + std::string(what));
}

void Line::expect(std::size_t count) const {
  if (fields() == count)
    return;
  complain(std::min(fields(), count) + 1,
           "expected " + std::to_string(count) + " fields, found " + std::to_string(fields()));
}

std::string Line::text(std::size_t field) const {
  return parts_.at(field) == "-" ? std::string() : std::string(parts_[field]);
}

std::string Line::required(std::size_t field) const {
  if (parts_.at(field) == "-" || parts_[field].empty())
    complain(field, "is empty");
  return std::string(parts_[field]);
}

double Line::decimal(std::size_t field) const {
  if (parts_.at(field) == "-")
    return 0;
  const auto value = toDecimal(parts_[field]);
  if (!value)
    complain(field, "'" + std::string(parts_[field]) + "' is not a number");
  return *value;
}

std::uint64_t Line::whole(std::size_t field) const {
  const std::string_view text = parts_.at(field);
  if (text == "-")
    return 0;
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size()) {
    complain(field, "'" + std::string(text) + "' is not a whole number");
  }
  return value;
}

bool Line::flag(std::size_t field) const {
  if (parts_.at(field) == "1")
    return true;
  if (parts_[field] == "0" || parts_[field] == "-")
    return false;
  complain(field, "is neither 1 nor 0");
}

Duration Line::span(std::size_t field) const {
  return fromMillis(decimal(field));
}

}  // namespace inference_router::routing::wire
