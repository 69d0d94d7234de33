// Every deadline of the program in one ordered structure. Whoever runs the program arms a single
// timer for next() and calls runDue() when it rings; tests set the clock and call runDue()
// themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace inference_router::core {

class Deadlines {
 public:
  using Key = std::pair<double, std::uint64_t>;  // time in milliseconds, then order of addition
  using Task = std::function<void()>;

  Key add(double atMs, Task task) {
    const Key key{atMs, ++added_};
    tasks_.emplace(key, std::move(task));
    if (onEarlier_ && tasks_.begin()->first == key)
      onEarlier_();
    return key;
  }

  void cancel(std::optional<Key>& key) {
    if (key)
      tasks_.erase(*key);
    key.reset();
  }

  std::optional<double> next() const {
    return tasks_.empty() ? std::nullopt : std::optional(tasks_.begin()->first.first);
  }

  // A task added while these run waits for the next call, even if it is due: no loop can starve the
  // sockets.
  void runDue(double nowMs) {
    const std::uint64_t last = added_;
    for (auto it = tasks_.begin(); it != tasks_.end() && it->first.first <= nowMs;) {
      if (it->first.second > last) {
        ++it;
        continue;
      }
      const Key key = it->first;
      Task task = std::move(it->second);
      tasks_.erase(it);
      task();
      it = tasks_.lower_bound({key.first, 0});
      if (it != tasks_.begin())
        it = tasks_.begin();
    }
  }

  // Called when a new deadline comes before all others, so that the timer can be set anew.
  void onEarlier(Task task) { onEarlier_ = std::move(task); }

 private:
  std::map<Key, Task> tasks_;
  std::uint64_t added_ = 0;
  Task onEarlier_;
};

}  // namespace inference_router::core
