#include "app/trace.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <variant>

namespace inference_router::app {

using namespace inference_router::routing;

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;

const char* nameOf(AttemptOutcome outcome) {
  constexpr std::array kNames{"served", "error",     "turned-away", "timeout", "no-connection",
                              "reset",  "cancelled", "not-sent",    "read"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

const char* nameOf(EndpointState state) {
  constexpr std::array kNames{"active", "leaving", "gone"};
  return kNames.at(static_cast<std::size_t>(state));
}

double msOf(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

std::string describe(const EndpointRecord& entry) {
  return fmt::format(" {}/{}/{}/{}/{}/{:.0f}", entry.instance.value, entry.kind.value,
                     entry.cell.value, nameOf(entry.state), entry.weight,
                     entry.started ? msOf(entry.started->time_since_epoch()) : 0.0);
}

// ---- Events ----

std::string describe(const Arrival& event) {
  return fmt::format("arrival {} class={} prompt={:.0f} left={:.0f} repeat={} resumed={}",
                     event.request.value, event.cls.value, event.promptTokens, msOf(event.timeLeft),
                     event.repeat, event.resumed);
}

std::string describe(const StreamOpened& event) {
  return fmt::format("opened {} {} {} took={:.1f}", event.request.value, event.attempt,
                     event.instance.value, msOf(event.took));
}

std::string describe(const AttemptEnded& event) {
  return fmt::format("ended {} {} {} {} took={:.1f} kept={:.0f} gone={}", event.request.value,
                     event.attempt, event.instance.value, nameOf(event.outcome), msOf(event.took),
                     event.cachedTokens, event.kvCacheLost);
}

std::string describe(const ReservationResult& event) {
  return fmt::format("place {} {} held={}", event.request.value, event.instance.value,
                     event.granted);
}

std::string describe(const RequestAbandoned& event) {
  return fmt::format("lapsed {}", event.request.value);
}

std::string describe(const EndpointListUpdate& event) {
  std::string text =
      fmt::format("list version={} form={}", event.version, static_cast<int>(event.form));
  for (const EndpointRecord& entry : event.entries)
    text += describe(entry);
  return text;
}

// ---- Actions ----

std::string describe(const DispatchAttempt& action) {
  return fmt::format("send {} {}", action.request.value, action.instance.value);
}

std::string describe(const ReserveDecode& action) {
  return fmt::format("hold {} {}", action.request.value, action.instance.value);
}

std::string describe(const ReleaseState& action) {
  return fmt::format("release {}", action.request.value);
}

std::string describe(const RejectRequest& action) {
  return fmt::format("refuse {}", action.request.value);
}

std::string describe(const FailRequest& action) {
  return fmt::format("fail {}", action.request.value);
}

std::string describe(const CancelAttempt& action) {
  return fmt::format("cancel {} {}", action.request.value, action.attempt);
}

std::string describe(const SendHealthCheck& action) {
  return fmt::format("probe {}", action.instance.value);
}

// All others only keep time.
template <class Other>
std::string describe(const Other&) {
  return {};
}

}  // namespace

std::string traceLine(const Event& event) {
  return std::visit([](const auto& alternative) { return describe(alternative); }, event);
}

std::string traceLine(const Action& action) {
  return std::visit([](const auto& alternative) { return describe(alternative); }, action);
}

}  // namespace inference_router::app
