/// A thread for work that may block on a disk, behind a bounded queue: the event loop's thread
/// never waits for it.
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
  /// Waits for the job under way; those in the queue are dropped.
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  /// Does not block. Returns false if the queue is full. May be called on any thread.
  bool post(std::function<void()> job);
  /// The number of jobs in the queue.
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
