// Setups shared by the tests of the router.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "router_harness.h"

namespace inference_router::routing {

inline std::vector<EndpointRecord> twoCells() {
  return {endpoint("r0", kPrefill, 0), endpoint("w0", kDecode, 0), endpoint("v0", kDecode, 0),
          endpoint("r1", kPrefill, 1), endpoint("w1", kDecode, 1), endpoint("v1", kDecode, 1)};
}

inline char cellOf(const std::string& id) {
  return id.empty() ? '?' : id[1];
}

inline EndpointRecord slowStarting(const std::string& id, std::uint32_t kind, Time started) {
  EndpointRecord entry = endpoint(id, kind);
  entry.started = started;
  return entry;
}

inline EndpointRecord withState(EndpointRecord entry, EndpointState state) {
  entry.state = state;
  return entry;
}

inline std::string startDecode(RouterHarness& router) {
  const std::string prefillInstance = router.updateEndpoints(twoCells()).arrive("a").sentTo();
  return router.advance(20ms).endAttempt("a", prefillInstance, AttemptOutcome::kPrefilled).sentTo();
}

// Sets up a prefill instance with a queueing delay of 0.75 s and a decode instance with that many
// open streams in memory.
inline RouterHarness& congestPrefillInstance(RouterHarness& router,
                                             EndpointRecord decodeInstance,
                                             int streams) {
  router.updateEndpoints({endpoint("r0", kPrefill), std::move(decodeInstance)});
  for (int i = 0; i < streams; ++i) {
    const std::string id = numbered("stream", i);
    router.arrive(id, "", 6s, 10'000)
        .advance(500ms)
        .endAttempt(id, "r0", AttemptOutcome::kPrefilled, 500ms);
    router.advance(20ms).openStream(id, "w0");
  }
  for (int i = 0; i < 3; ++i)
    router.arrive(numbered("long", i), "", 6s, 5000);
  return router;
}

}  // namespace inference_router::routing
