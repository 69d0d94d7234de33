/// The store for routers on one machine: an SQLite file, which is accessed on a dedicated thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/sqlite_file.h"
#include "coordination/storage_thread.h"
#include "coordination/store.h"
#include "core/callback_guard.h"

namespace inference_router::coordination {

class SqliteStore final : public Store {
 public:
  /// The file is opened by the first request, and reopened after each error. io must outlive the
  /// store. busyTimeoutMs: the longest wait for a lock of another process.
  SqliteStore(boost::asio::io_context& io, std::string path, double busyTimeoutMs = 200);

  std::string describe() const override { return "sqlite " + path_; }
  void requestLease(const LeaseRequest& request, LeaseCallback callback) override;
  void commit(const Fence& fence, std::vector<Write> writes, CommitCallback callback) override;
  void write(Write write, CommitCallback callback) override;
  void readAll(ReadCallback callback) override;
  void read(std::vector<std::string> keys, ReadCallback callback) override;

 private:
  /// Runs the work on the storage thread, and the callback on the event loop's thread.
  template <class Response>
  void run(std::function<Response(SqliteFile&)> work,
           Response unavailable,
           std::function<void(Response)> callback);

  boost::asio::io_context& io_;
  std::string path_;
  double busyTimeoutMs_;
  std::unique_ptr<SqliteFile> file_;  // used on the storage thread only
  core::CallbackGuard guard_;
  StorageThread thread_;  // last: joined before the members that its jobs use are destroyed
};

}  // namespace inference_router::coordination
