#include "app/trace.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <type_traits>

namespace inference_router::app {

using namespace inference_router::routing;

namespace {

const char* nameOf(AttemptOutcome outcome) {
  constexpr std::array kNames{"served", "error",     "turned-away", "timeout", "no-connection",
                              "reset",  "cancelled", "not-sent",    "read"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

const char* nameOf(EndpointState state) {
  constexpr std::array kNames{"active", "leaving", "gone"};
  return kNames.at(static_cast<std::size_t>(state));
}

double msOf(Duration span) {
  return static_cast<double>(span.count()) / 1000;
}

}  // namespace

std::string traceLine(const Event& event) {
  return std::visit(
      [](const auto& what) -> std::string {
        using What = std::decay_t<decltype(what)>;
        if constexpr (std::is_same_v<What, Arrival>)
          return fmt::format("arrival {} class={} prompt={:.0f} left={:.0f} repeat={} resumed={}",
                             what.request.value, what.cls.value, what.promptTokens,
                             msOf(what.timeLeft), what.repeat, what.resumed);
        if constexpr (std::is_same_v<What, StreamOpened>)
          return fmt::format("opened {} {} {} took={:.1f}", what.request.value, what.attempt,
                             what.instance.value, msOf(what.took));
        if constexpr (std::is_same_v<What, AttemptEnded>)
          return fmt::format("ended {} {} {} {} took={:.1f} kept={:.0f} gone={}",
                             what.request.value, what.attempt, what.instance.value,
                             nameOf(what.outcome), msOf(what.took), what.cachedTokens,
                             what.kvCacheLost);
        if constexpr (std::is_same_v<What, ReservationResult>)
          return fmt::format("place {} {} held={}", what.request.value, what.instance.value,
                             what.granted);
        if constexpr (std::is_same_v<What, RequestAbandoned>)
          return fmt::format("lapsed {}", what.request.value);
        if constexpr (std::is_same_v<What, EndpointListUpdate>) {
          std::string text =
              fmt::format("list version={} form={}", what.version, static_cast<int>(what.form));
          for (const EndpointRecord& entry : what.entries)
            text += fmt::format(" {}/{}/{}/{}/{}/{:.0f}", entry.instance.value, entry.kind.value,
                                entry.cell.value, nameOf(entry.state), entry.weight,
                                entry.started ? msOf(entry.started->time_since_epoch()) : 0.0);
          return text;
        }
        return {};
      },
      event);
}

std::string traceLine(const Action& action) {
  return std::visit(
      [](const auto& what) -> std::string {
        using What = std::decay_t<decltype(what)>;
        if constexpr (std::is_same_v<What, DispatchAttempt>)
          return fmt::format("send {} {}", what.request.value, what.instance.value);
        if constexpr (std::is_same_v<What, ReserveDecode>)
          return fmt::format("hold {} {}", what.request.value, what.instance.value);
        if constexpr (std::is_same_v<What, ReleaseState>)
          return fmt::format("release {}", what.request.value);
        if constexpr (std::is_same_v<What, RejectRequest>)
          return fmt::format("refuse {}", what.request.value);
        if constexpr (std::is_same_v<What, FailRequest>)
          return fmt::format("fail {}", what.request.value);
        if constexpr (std::is_same_v<What, CancelAttempt>)
          return fmt::format("cancel {} {}", what.request.value, what.attempt);
        if constexpr (std::is_same_v<What, SendHealthCheck>)
          return fmt::format("probe {}", what.instance.value);
        return {};
      },
      action);
}

}  // namespace inference_router::app
