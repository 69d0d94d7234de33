/// Fault injection below the program: system calls that fail, are interrupted or move only a part,
/// as Linux documents them, and a wall clock that is stepped.
///
/// The functions of the C library are interposed. A test executable links this file and calls
/// install(); the shared library of the same source reads a plan from the file that
/// SYSTEM_CALL_FAULTS names as the process starts, and is loaded with LD_PRELOAD.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace system_call_faults {

enum class Call {
  kAccept,
  kClock,  // of the wall: the rule's step is added
  kConnect,
  kFsync,
  kOpen,
  kPoll,
  kRead,
  kReceive,
  kRename,
  kSend,
  kSocket,
  kWrite,
};

/// One kind of fault of one call, while it lasts.
struct Rule {
  Call call = Call::kReceive;
  int error = 0;      ///< errno of the failed call; 0: the call moves half of its bytes
  int every = 1;      ///< the first of so many calls is hit
  double fromMs = 0;  ///< by the monotonic clock
  double untilMs = 1e18;
  double stepMs = 0;   ///< of the wall clock
  std::string path{};  ///< of calls that name a file: only those whose path holds this text
};

/// Replaces the rules.
void install(std::vector<Rule> fresh);
void clear();
/// Calls that were hit since install().
std::uint64_t hits();

/// Reads a plan: a rule a line, "CALL FAULT every=N from=MS until=MS step=MS path=TEXT", where
/// FAULT is the name of an errno, "short" or "step". Returns nothing if a line cannot be read.
std::optional<std::vector<Rule>> parsePlan(const std::string& text);

}  // namespace system_call_faults
