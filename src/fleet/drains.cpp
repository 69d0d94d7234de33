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

DrainResponse Drains::decide(const DrainCommand& command, const Target& target, double nowMs) {
  const DrainState current = stateOf(command.instance);
  if (command.deadlineMs && (!command.drain || *command.deadlineMs < nowMs))
    return {DrainCode::kBadCommand, current,
            "a time to be done by belongs to a drain and lies ahead"};
  if (!target.known)
    return {DrainCode::kUnknownInstance, current, "no box has the id " + command.instance};
  if (command.expectedRevision != current.revision)
    return {DrainCode::kConflict, current,
            std::string("it is ") + (current.drained ? "drained" : "in use") + " by revision " +
                std::to_string(current.revision) +
                (current.setBy.empty() ? "" : " of " + current.setBy) + ", not " +
                std::to_string(command.expectedRevision)};
  if (command.drain && !current.drained && target.othersOfRole == 0 && !command.force)
    return {DrainCode::kLastOfRole, current,
            "it is the last box that can " + target.role + ": without it nothing is served, and " +
                std::to_string(target.openRequests) + " requests are open on it; say so by force"};
  // No change: the state and its revision stay.
  if (command.drain == current.drained && command.deadlineMs == current.deadlineMs)
    return {DrainCode::kDone, current, ""};
  const DrainState next{command.drain, current.revision + 1, command.sender,
                        command.drain == current.drained ? current.sinceMs : nowMs,
                        command.deadlineMs};
  states_[command.instance] = next;
  return {DrainCode::kDone, next, ""};
}

DrainResponse Drains::handle(const DrainCommand& command, const Target& target, double nowMs) {
  if (command.id.empty() || command.id.size() > kMaxIdentifierBytes ||
      command.sender.size() > kMaxIdentifierBytes)
    return {DrainCode::kBadCommand, stateOf(command.instance),
            "a command has an id of 1 to 128 bytes"};
  // By sender and id, so that two senders may both count from 1.
  const std::string key = command.sender + "\n" + command.id;
  const auto repeated = responses_.find(key);
  if (repeated != responses_.end())
    return repeated->second;
  DrainResponse response = decide(command, target, nowMs);
  if (responseOrder_.size() >= kMaxRememberedCommands) {
    responses_.erase(responseOrder_.front());
    responseOrder_.pop_front();
  }
  responses_[key] = response;
  responseOrder_.push_back(key);
  return response;
}

bool Drains::overdue(const std::string& instance, std::size_t openRequests, double nowMs) const {
  const DrainState state = stateOf(instance);
  return state.drained && state.deadlineMs && openRequests > 0 && nowMs > *state.deadlineMs;
}

}  // namespace inference_router::fleet
