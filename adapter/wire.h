// Wire text to router types and back. Translates only; every decision is the module's.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "inference_router/router.h"

namespace inference_router::routing::wire {

// Text that the protocol does not allow. It ends the process: there is nothing to go on with.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Parts = std::vector<std::string_view>;

// The parts of one line, with plain complaints about the one that is wrong.
class Line {
 public:
  Line(std::string_view text, std::size_t number);

  std::string_view name() const { return parts_.front(); }
  std::size_t number() const { return number_; }
  void expect(std::size_t fields) const;
  std::string text(std::size_t field) const;  // "-" is an empty text
  std::string required(std::size_t field) const;
  double decimal(std::size_t field) const;
  std::uint64_t whole(std::size_t field) const;  // "-" is 0
  bool flag(std::size_t field) const;
  Duration span(std::size_t field) const;
  std::string_view raw(std::size_t field) const { return parts_.at(field); }
  std::size_t fields() const { return parts_.size() - 1; }
  [[noreturn]] void complain(std::size_t field, std::string_view what) const;

 private:
  Parts parts_;
  std::size_t number_;
};

// Names as one instance's settings give them; the module sees places in these lists only.
struct Vocabulary {
  std::vector<std::string> classes, kinds, zones, tenants, reportFields;
  std::string x0Meaning, x1Meaning;
};

struct Setup {
  Settings settings;
  Vocabulary names;
};

Setup parseSetup(const Line& enlist);
EndpointRecord parseItem(const Line& line, const Vocabulary& names);
EndpointListUpdate parseListHead(const Line& line);
Event parseEvent(const Line& line, const Vocabulary& names);
std::string formatAction(const Action& action);

Duration fromMillis(double ms);
std::string toMillis(Duration span);
std::string encodeBase64(std::string_view bytes);
std::string decodeBase64(std::string_view text, const Line& line, std::size_t field);

}  // namespace inference_router::routing::wire
