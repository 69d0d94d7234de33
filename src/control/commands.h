// What operators may ask for, and the answers. Knows no wire: the one-line door stands on it.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "core/figures.h"

namespace dahliastall::control {

// What commands act on; whoever runs the program provides it.
class Service {
 public:
  struct Done {
    bool ok;
    std::string why;  // for people: what was done, or why not
  };
  struct Pool {
    std::size_t listed, avoided;
  };

  virtual ~Service() = default;
  virtual Done ready() = 0;
  virtual Done exclude(const std::string& id) = 0;
  virtual Done include(const std::string& id) = 0;
  virtual Done evacuate() = 0;
  virtual Done activate() = 0;
  virtual const core::Figures& figures() = 0;
  virtual std::size_t open() = 0;
  virtual Pool pool() = 0;
  virtual const std::vector<std::string>& classes() = 0;
  virtual std::string boxes() = 0;                // a line each
  virtual std::string admission() { return ""; }  // lines; empty where none is set up
  // Lines, or one of JSON; empty where conductors share nothing.
  virtual std::string leases(bool /*json*/) { return ""; }
  virtual std::string plan() { return ""; }
  virtual std::string shared(bool /*json*/) { return ""; }
  // What an operator says of the fleet's maintenance, without the first word; answered once it is written
  // down, or cannot be.
  virtual void maintenance(const std::vector<std::string>& /*words*/, std::function<void(Done)> reply) {
    reply({false, "no coordination is set up here"});
  }
};

constexpr std::size_t kLongestLine = 1024;
// A plan may name each instance that there can be, at the longest of ids.
constexpr std::size_t kLongestPlanLine = kLongestLine + 1024 * (128 + 1);

// One line, without its end, to the whole text of the answer. A line that is not understood changes nothing.
std::string answer(Service& service, std::string_view line);

// The same, also for calls whose answer comes later.
void handle(Service& service, std::string_view line, std::function<void(std::string)> reply);

// The figures alone.
std::string telemetry(Service& service);

}  // namespace dahliastall::control
