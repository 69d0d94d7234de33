// A thread for what may block on a disk, behind a queue with a bound: the loop's thread never waits
// for it. What finds the queue full is told so at once.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace inference_router::coordination {

class StorageThread {
 public:
  static constexpr std::size_t kMostJobs = 64;

  StorageThread();
  ~StorageThread();  // waits for the job under way; those that wait are dropped
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  bool post(std::function<void()> job);  // false: no room
  std::size_t waiting() const;

 private:
  void run();

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace inference_router::coordination
