// For how long something has been seen unchanged, by this process's own clock: from when it was
// first looked at, so never too long. No clock of another machine is read.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace inference_router::coordination {

class Seen {
 public:
  // mark: what tells one state of it from the next, as a revision.
  double forMs(const std::string& what, std::uint64_t mark, double nowMs) {
    One& one = all_.try_emplace(what, One{mark, nowMs}).first->second;
    if (one.mark != mark)
      one = {mark, nowMs};
    return nowMs - one.sinceMs;
  }
  template <class Which>
  void forget(const Which& which) {
    std::erase_if(all_, [&](const auto& entry) { return which(entry.first); });
  }

 private:
  struct One {
    std::uint64_t mark;
    double sinceMs;
  };
  std::map<std::string, One> all_;
};

}  // namespace inference_router::coordination
