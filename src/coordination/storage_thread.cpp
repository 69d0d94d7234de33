#include "coordination/storage_thread.h"

#include <csignal>
#include <utility>

namespace inference_router::coordination {

// Blocks all signals on the new thread, so that they are delivered to the event loop's thread only.
StorageThread::StorageThread() {
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

StorageThread::~StorageThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    jobs_.clear();
  }
  wake_.notify_one();
  thread_.join();
}

bool StorageThread::post(std::function<void()> job) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || jobs_.size() >= kMaxJobs)
      return false;
    jobs_.push_back(std::move(job));
  }
  wake_.notify_one();
  return true;
}

std::size_t StorageThread::queued() const {
  const std::lock_guard lock(mutex_);
  return jobs_.size();
}

void StorageThread::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
    if (stopping_)
      return;
    const auto job = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

}  // namespace inference_router::coordination
