/// A thread with a bounded queue for jobs that may block on a disk, so that the event loop's thread
/// never does.
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
  static constexpr std::size_t kMaxJobs = 64;

  StorageThread();
  /// Waits for the running job; queued jobs are dropped.
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  /// Adds a job to the queue. Does not block. Returns false if the queue is full. Thread-safe.
  bool post(std::function<void()> job);
  /// Returns the number of jobs in the queue.
  std::size_t queued() const;

 private:
  void run();

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace inference_router::coordination
