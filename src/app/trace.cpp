#include "app/trace.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <type_traits>

namespace inference_router::app {

using namespace inference_router::routing;

namespace {

const char* nameOf(Outcome outcome) {
  constexpr std::array kNames{"served", "error",     "turned-away", "timeout", "no-connection",
                              "reset",  "cancelled", "not-sent",    "read"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

const char* nameOf(Presence presence) {
  constexpr std::array kNames{"active", "leaving", "gone"};
  return kNames.at(static_cast<std::size_t>(presence));
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
                             what.engine.value, msOf(what.took));
        if constexpr (std::is_same_v<What, AttemptEnded>)
          return fmt::format("ended {} {} {} {} took={:.1f} kept={:.0f} gone={}",
                             what.request.value, what.attempt, what.engine.value,
                             nameOf(what.outcome), msOf(what.took), what.keptTokens,
                             what.stateGone);
        if constexpr (std::is_same_v<What, PlaceNote>)
          return fmt::format("place {} {} held={}", what.request.value, what.engine.value,
                             what.held);
        if constexpr (std::is_same_v<What, Lapsed>)
          return fmt::format("lapsed {}", what.request.value);
        if constexpr (std::is_same_v<What, ListNews>) {
          std::string text =
              fmt::format("list version={} form={}", what.version, static_cast<int>(what.form));
          for (const ListEntry& entry : what.entries)
            text += fmt::format(" {}/{}/{}/{}/{}/{:.0f}", entry.engine.value, entry.kind.value,
                                entry.cell.value, nameOf(entry.presence), entry.weight,
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
        if constexpr (std::is_same_v<What, Send>)
          return fmt::format("send {} {}", what.request.value, what.engine.value);
        if constexpr (std::is_same_v<What, HoldPlace>)
          return fmt::format("hold {} {}", what.request.value, what.engine.value);
        if constexpr (std::is_same_v<What, Release>)
          return fmt::format("release {}", what.request.value);
        if constexpr (std::is_same_v<What, Refuse>)
          return fmt::format("refuse {}", what.request.value);
        if constexpr (std::is_same_v<What, Fail>)
          return fmt::format("fail {}", what.request.value);
        if constexpr (std::is_same_v<What, Cancel>)
          return fmt::format("cancel {} {}", what.request.value, what.attempt);
        if constexpr (std::is_same_v<What, Probe>)
          return fmt::format("probe {}", what.engine.value);
        return {};
      },
      action);
}

}  // namespace inference_router::app
