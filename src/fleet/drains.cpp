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
            "only a drain may have a deadline, and it must be in the future"};
  if (!target.known)
    return {DrainCode::kUnknownInstance, current, "no instance has the id " + command.instance};
  if (command.expectedRevision != current.revision)
    return {DrainCode::kConflict, current,
            std::string("the instance is ") + (current.drained ? "drained" : "in use") +
                " at revision " + std::to_string(current.revision) +
                (current.setBy.empty() ? "" : ", set by " + current.setBy) +
                "; the command expects revision " + std::to_string(command.expectedRevision)};
  if (command.drain && !current.drained && target.othersOfRole == 0 && !command.force)
    return {DrainCode::kLastOfRole, current,
            "the instance is the last one for role " + target.role + " and has " +
                std::to_string(target.openRequests) +
                " requests in flight; draining it requires force"};
  // Without a change the state and its revision stay the same.
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
            "a command needs an id of 1 to 128 bytes, and its sender has at most 128 bytes"};
  // Identified by sender and id, so that two senders may both number their commands from 1.
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
