/// Commands of operators to drain and undrain instances, with optimistic concurrency control: each
/// command carries the revision of the drain state that its sender saw. Of two conflicting commands
/// one succeeds, and the other is answered with the current state and who set it. Commands are
/// deduplicated by sender and id. No I/O.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace inference_router::fleet {

/// A command of an operator. Times in milliseconds of the caller's clock.
struct DrainCommand {
  std::string id;  ///< unique per sender
  std::string sender;
  std::string instance;
  bool drain = true;
  std::uint64_t expectedRevision = 0;  ///< the revision that the sender saw; 0: never drained
  std::optional<double> deadlineMs;    ///< only of a drain
  bool force = false;                  ///< drain even the last instance of its role
};

/// Whether an instance is drained, and by whom.
struct DrainState {
  bool drained = false;
  std::uint64_t revision = 0;  ///< 0: never drained
  std::string setBy;
  double sinceMs = 0;
  std::optional<double> deadlineMs;
  bool operator==(const DrainState&) const = default;
};

enum class DrainCode { kDone, kConflict, kUnknownInstance, kLastOfRole, kBadCommand };
const char* nameOf(DrainCode code);

/// The answer to a command.
struct DrainResponse {
  DrainCode code;
  DrainState state;  ///< after the command
  std::string error;
  bool operator==(const DrainResponse&) const = default;
};

/// The drain state of all instances.
class Drains {
 public:
  /// The latest commands whose responses are retained, for commands that are repeated.
  static constexpr std::size_t kMaxRememberedCommands = 1024;
  static constexpr std::size_t kMaxIdentifierBytes = 128;  ///< of a command's id and of its sender

  /// The state of the instance against which a command is checked.
  struct Target {
    bool known = false;
    std::size_t othersOfRole = 0;  ///< other instances that serve its role
    std::string role;
    std::size_t openRequests = 0;  ///< requests in flight
  };

  /// Executes a command, or repeats the response to a command that was executed before.
  DrainResponse handle(const DrainCommand& command, const Target& target, double nowMs);
  DrainState stateOf(const std::string& instance) const;
  /// Restores a persisted state; revisions continue from there.
  void restore(const std::string& instance, const DrainState& state) { states_[instance] = state; }
  void forget(const std::string& instance) { states_.erase(instance); }
  /// Whether a drain is past its deadline while requests are open. Only reported: no request is
  /// cancelled for it.
  bool overdue(const std::string& instance, std::size_t openRequests, double nowMs) const;

 private:
  DrainResponse decide(const DrainCommand& command, const Target& target, double nowMs);

  std::map<std::string, DrainState> states_;
  std::map<std::string, DrainResponse> responses_;
  std::list<std::string> responseOrder_;
};

}  // namespace inference_router::fleet
