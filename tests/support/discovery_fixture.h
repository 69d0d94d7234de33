// The watch on discovery in a test: its endpoint lists reach a dispatcher and a directory of
// instances, and the test stands in for discovery.
#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "frontend/platform/discovery.h"
#include "frontend/platform/platform_front.h"
#include "frontend/settings_json.h"
#include "support/router_fixture.h"
#include "upstream/http_instance_client.h"

namespace inference_router {

struct DiscoveryFixture : NetworkFixture {
  explicit DiscoveryFixture(double drainGraceMs = 1'000) : backoff(2, drainGraceMs, 7) {
    dispatcher.connect(instances);
  }
  routing::wire::Setup setup = frontend::settingsOf(siteSettings());
  core::RequestDispatcher dispatcher{setup.settings, 7, clock, timers, counters};
  net::ConnectionPool pool{io, clock, timers, counters, {10, 250, 18'000}};
  upstream::InstanceDirectory directory;
  upstream::HttpInstanceClient instances{frontend::platformProtocol(),
                                         dispatcher,
                                         {pool, directory, clock, timers, counters},
                                         300};
  fleet::DiscoveryBackoff backoff;
  frontend::Discovery discovery{io,        clock, timers,      counters, dispatcher,
                                directory, pool,  setup.names, backoff};
  // Lets time pass in small steps, with all that the sockets have to do in each.
  void run(double ms) {
    constexpr double kStepMs = 10;
    for (double leftMs = ms; leftMs > 0; leftMs -= kStepMs) {
      pass(std::min(leftMs, kStepMs));
      for (int i = 0; i < 8; ++i) {
        io.restart();
        io.poll();
      }
    }
  }
  double maxGapMs() const { return backoff.maxGapMs(); }
};

inline std::string listOf(int revision, bool complete, const std::string& phase) {
  return nlohmann::json{{"revision", revision},
                        {"complete", complete},
                        {"members",
                         {{{"id", "a"},
                           {"host_port", "127.0.0.1:9"},
                           {"locality", "z"},
                           {"flavor", "mixed"},
                           {"cell", 0},
                           {"phase", phase},
                           {"size", 1.0},
                           {"up_since_ms", 0}}}}}
             .dump() +
         "\n";
}

inline nlohmann::json memberOf(int i, const std::string& phase, int port, double started) {
  return {{"id", "b" + std::to_string(i)},
          {"host_port", "127.0.0.1:" + std::to_string(port)},
          {"locality", "z"},
          {"flavor", "mixed"},
          {"cell", i / 5},
          {"phase", phase},
          {"up_since_ms", started}};
}

inline std::string lineOf(int revision, bool complete, const nlohmann::json& members) {
  return nlohmann::json{{"revision", revision}, {"complete", complete}, {"members", members}}
      .dump();
}

}  // namespace inference_router
