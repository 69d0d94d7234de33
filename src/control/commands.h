// The commands of the admin endpoint and their answers, independent of the transport.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "core/request_metrics.h"

namespace inference_router::control {

// What commands act on; implemented by app::Operations.
class Service {
 public:
  // The result of a command.
  struct Done {
    bool ok;
    std::string why;  // for the operator: what was done, or why not
  };
  // The number of instances.
  struct Pool {
    std::size_t listed, avoided;
  };

  virtual ~Service() = default;
  virtual Done ready() = 0;
  virtual Done exclude(const std::string& id) = 0;
  virtual Done include(const std::string& id) = 0;
  virtual Done evacuate() = 0;
  virtual Done activate() = 0;
  virtual const core::RequestMetrics& metrics() = 0;
  virtual std::size_t open() = 0;
  virtual Pool pool() = 0;
  virtual const std::vector<std::string>& classes() = 0;
  virtual std::string instances() = 0;            // a line each
  virtual std::string admission() { return ""; }  // lines; empty where none is set up
  // Lines, or one line of JSON; empty if routers share nothing.
  virtual std::string leases(bool /*json*/) { return ""; }
  virtual std::string plan() { return ""; }
  virtual std::string shared(bool /*json*/) { return ""; }
  // A maintenance command without its first word; answered once it is stored or has failed.
  virtual void maintenance(
      const std::vector<std::string>& /*words*/,
      std::function<void(Done)> reply) {  // NOLINT(performance-unnecessary-value-param):
                                          // overrides keep it
    reply({false, "no coordination is set up here"});
  }
};

constexpr std::size_t kLongestLine = 1024;
// A maintenance plan may name every instance, with ids of the largest size.
constexpr std::size_t kLongestPlanLine = kLongestLine + 1024UL * (128 + 1);

// Executes one line, without its line end, and returns the whole answer. An invalid line has no
// effect.
std::string answer(Service& service, std::string_view text);

// The same, also for commands that are answered asynchronously; reply is called exactly once.
void handle(Service& service, std::string_view text, std::function<void(std::string)> reply);

// The counters in exposition format.
std::string telemetry(Service& service);

}  // namespace inference_router::control
