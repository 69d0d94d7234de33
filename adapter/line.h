/// One line of the simulator's protocol: a name and fields, separated by tabs.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "inference_router/router.h"

namespace inference_router::routing::wire {

/// Text that the protocol does not allow, with line, field and reason. There is nothing to go on
/// with after it.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Parts = std::vector<std::string_view>;

/// The parts of a text between the marks; a text without a mark is one part.
Parts split(std::string_view text, char mark);

/// The finite number that the whole text is; nothing if it is none.
std::optional<double> toDecimal(std::string_view text);

/// Milliseconds of the protocol as the module's duration, rounded to the nearest microsecond.
Duration fromMillis(double ms);
/// The same in the protocol's form, with three decimals.
std::string toMillis(Duration span);

/// The position of a name among names; their number if it is not one of them.
std::size_t indexOf(const std::vector<std::string>& names, std::string_view name);

/// The fields of one line, counted from 1; field 0 is its name. The text has to outlive it. Every
/// accessor throws Malformed with the line and the field if the field is not of the wanted form.
class Line {
 public:
  Line(std::string_view text, std::size_t number);

  std::string_view name() const { return parts_.front(); }
  std::size_t number() const { return number_; }
  std::size_t fields() const { return parts_.size() - 1; }
  /// Throws unless the line has exactly so many fields.
  void expect(std::size_t count) const;
  /// A text; "-" is an empty one.
  std::string text(std::size_t field) const;
  /// A text that must not be empty.
  std::string required(std::size_t field) const;
  /// A number; "-" is 0.
  double decimal(std::size_t field) const;
  /// A whole number of 0 or more; "-" is 0.
  std::uint64_t whole(std::size_t field) const;
  /// 1 is true; 0 and "-" are false.
  bool flag(std::size_t field) const;
  /// A time in milliseconds.
  Duration span(std::size_t field) const;
  std::string_view raw(std::size_t field) const { return parts_.at(field); }
  [[noreturn]] void complain(std::size_t field, std::string_view what) const;

 private:
  Parts parts_;
  std::size_t number_;
};

/// A table of the protocol's words and what each stands for.
template <class Value, std::size_t N>
using WordTable = std::array<std::pair<std::string_view, Value>, N>;

/// What a word stands for; throws Malformed if the table does not have it.
template <class Value, std::size_t N>
Value lookUp(const WordTable<Value, N>& table,
             const Line& line,
             std::size_t field,
             std::string_view word) {
  for (const auto& [name, value] : table) {
    if (name == word)
      return value;
  }
  line.complain(field, "unknown word '" + std::string(word) + "'");
}

}  // namespace inference_router::routing::wire
