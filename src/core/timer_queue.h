/// All timers of the process in one ordered queue. The owner of the event loop arms one system
/// timer for next() and calls runDue() when it fires; tests set the clock and call runDue()
/// themselves. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace inference_router::core {

class TimerQueue;

/// Handle of one scheduled task: cancels it when destroyed or assigned to. May outlive its queue.
class Timer {
 public:
  Timer() = default;
  ~Timer() { cancel(); }
  Timer(Timer&& other) noexcept
      : tasks_(std::move(other.tasks_)), key_(std::exchange(other.key_, std::nullopt)) {}
  Timer& operator=(Timer&& other) noexcept {
    if (this != &other) {
      cancel();
      tasks_ = std::move(other.tasks_);
      key_ = std::exchange(other.key_, std::nullopt);
    }
    return *this;
  }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Cancels the task. Does nothing if it has begun, was cancelled or was never scheduled.
  void cancel() {
    if (const auto tasks = key_ ? tasks_.lock() : nullptr)
      tasks->erase(*key_);
    key_.reset();
  }
  /// Whether the task is still scheduled; false as soon as it begins.
  bool armed() const {
    const auto tasks = key_ ? tasks_.lock() : nullptr;
    return tasks != nullptr && tasks->count(*key_) != 0;
  }

 private:
  friend class TimerQueue;
  using Key = std::pair<double, std::uint64_t>;  // time in milliseconds, then order of addition
  using Tasks = std::map<Key, std::function<void()>>;

  Timer(const std::shared_ptr<Tasks>& tasks, const Key& key) : tasks_(tasks), key_(key) {}

  std::weak_ptr<Tasks> tasks_;
  std::optional<Key> key_;
};

/// The queue. Tasks that are due at the same time run in the order in which they were added.
class TimerQueue {
 public:
  using Task = std::function<void()>;

  TimerQueue() = default;
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /// Runs the task at this time of the monotonic clock, in milliseconds, unless the returned handle
  /// is destroyed before.
  [[nodiscard]] Timer schedule(double atMs, Task task) {
    return Timer(tasks_, add(atMs, std::move(task)));
  }
  /// Like schedule(), but without a handle: the task cannot be cancelled.
  void runAt(double atMs, Task task) { add(atMs, std::move(task)); }

  /// The time of the first task; nothing if there is none.
  std::optional<double> next() const {
    return tasks_->empty() ? std::nullopt : std::optional(tasks_->begin()->first.first);
  }

  /// The number of tasks that are scheduled.
  std::size_t size() const { return tasks_->size(); }

  /// Runs all tasks that are due. A task that is added meanwhile waits for the next call, even if
  /// it is due, so that timers that reschedule themselves cannot starve the sockets.
  void runDue(double nowMs) {
    const std::uint64_t lastAdded = added_;
    auto next = tasks_->begin();
    while (next != tasks_->end() && next->first.first <= nowMs) {
      if (next->first.second > lastAdded) {
        ++next;
        continue;
      }
      const Timer::Key key = next->first;
      Task task = std::move(next->second);
      tasks_->erase(next);
      task();
      next = tasks_->lower_bound({key.first, 0});
      if (next != tasks_->begin())
        next = tasks_->begin();
    }
  }

  /// Sets a task that is called whenever a new timer is due before all others, so that the system
  /// timer can be rearmed.
  void onEarlier(Task task) { onEarlier_ = std::move(task); }

 private:
  Timer::Key add(double atMs, Task task) {
    const Timer::Key key{atMs, ++added_};
    tasks_->emplace(key, std::move(task));
    if (onEarlier_ && tasks_->begin()->first == key)
      onEarlier_();
    return key;
  }

  std::shared_ptr<Timer::Tasks> tasks_ = std::make_shared<Timer::Tasks>();
  std::uint64_t added_ = 0;
  Task onEarlier_;
};

}  // namespace inference_router::core
