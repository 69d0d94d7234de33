#include "fleet/drains.h"

#include <array>

namespace inference_router::fleet {

const char* nameOf(DrainCode code) {
  constexpr std::array<const char*, 5> kNames{"done", "conflict", "unknown_box", "last_of_role",
                                              "bad_command"};
  return kNames[static_cast<std::size_t>(code)];
}

DrainState Drains::stateOf(const std::string& instance) const {
  const auto it = states_.find(instance);
  return it == states_.end() ? DrainState{} : it->second;
}

DrainAnswer Drains::decide(const DrainCommand& command, const Instance& instance, double nowMs) {
  const DrainState now = stateOf(command.instance);
  if (command.doneByMs && (!command.drain || *command.doneByMs < nowMs))
    return {DrainCode::kBadCommand, now, "a time to be done by belongs to a drain and lies ahead"};
  if (!instance.known)
    return {DrainCode::kUnknownInstance, now, "no box has the id " + command.instance};
  if (command.seen != now.revision)
    return {DrainCode::kConflict, now,
            std::string("it is ") + (now.drained ? "drained" : "in use") + " by revision " +
                std::to_string(now.revision) + (now.by.empty() ? "" : " of " + now.by) + ", not " +
                std::to_string(command.seen)};
  if (command.drain && !now.drained && instance.othersOfRole == 0 && !command.force)
    return {DrainCode::kLastOfRole, now,
            "it is the last box that can " + instance.role +
                ": without it nothing is served, and " + std::to_string(instance.open) +
                " requests are open on it; say so by force"};
  // No change: the state and its revision stay.
  if (command.drain == now.drained && command.doneByMs == now.doneByMs)
    return {DrainCode::kDone, now, ""};
  const DrainState next{command.drain, now.revision + 1, command.by,
                        command.drain == now.drained ? now.sinceMs : nowMs, command.doneByMs};
  states_[command.instance] = next;
  return {DrainCode::kDone, next, ""};
}

DrainAnswer Drains::handle(const DrainCommand& command, const Instance& instance, double nowMs) {
  if (command.id.empty() || command.id.size() > kLongestWord || command.by.size() > kLongestWord)
    return {DrainCode::kBadCommand, stateOf(command.instance),
            "a command has an id of 1 to 128 bytes"};
  // By sender and id, so that two senders may both count from 1.
  const std::string key = command.by + "\n" + command.id;
  const auto before = answered_.find(key);
  if (before != answered_.end())
    return before->second;
  DrainAnswer answer = decide(command, instance, nowMs);
  if (order_.size() >= kRemembered) {
    answered_.erase(order_.front());
    order_.pop_front();
  }
  answered_[key] = answer;
  order_.push_back(key);
  return answer;
}

bool Drains::overdue(const std::string& instance, std::size_t open, double nowMs) const {
  const DrainState state = stateOf(instance);
  return state.drained && state.doneByMs && open > 0 && nowMs > *state.doneByMs;
}

}  // namespace inference_router::fleet
