// The README's example: one prefill instance, one decode instance, one request.
#include <iostream>

#include "inference_router/router.h"

using namespace inference_router::routing;
using namespace std::chrono_literals;

int main() {
  Settings settings{};
  settings.classes = {
      {Effect::kIdempotent, DedupScope::kAll, 0ms, 2s, 40ms, 70ms, 8s, 0.3, 1.0, true}};
  settings.kinds = {{Role::kPrefill, 200'000}, {Role::kDecode, 150'000}};
  settings.contract = {1s, 8ms, 10s, 0.3, 13s, 3.0, 3s, 500ms};
  settings.limits.cancel = true;
  settings.limits.maxAttempts = 4;
  settings.reservationsAllowed = true;
  settings.nodes = 1;
  settings.tick = 2ms;
  if (const auto problem = validate(settings)) {
    std::cerr << describe(*problem) << '\n';
    return 1;
  }
  Router router(settings, 42);
  std::vector<Action> actions;
  const EndpointRecord prefillInstance{{"10.0.0.1:80"},        {0}, {0}, {0},
                                       EndpointState::kActive, 1.0, {}};
  const EndpointRecord decodeInstance{{"10.0.0.2:80"},        {0}, {1}, {0},
                                      EndpointState::kActive, 1.0, {}};
  router.handle(Time(1ms),
                EndpointListUpdate{1, EndpointListForm::kFull, {prefillInstance, decodeInstance}},
                actions);
  router.handle(Time(2ms), Arrival{{"r1"}, {0}, {}, "s1", "", 8s, {}, 900, 0, 256, false, false},
                actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<DispatchAttempt>(&action))
      std::cout << "send to " << send->instance.value << '\n';
    if (const auto* reserve = std::get_if<ReserveDecode>(&action))
      std::cout << "place at " << reserve->instance.value << '\n';
  }
  return actions.empty() ? 1 : 0;
}
