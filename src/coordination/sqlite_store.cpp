#include "coordination/sqlite_store.h"

#include <boost/asio/post.hpp>
#include <type_traits>
#include <utility>

namespace inference_router::coordination {

namespace {

ReadResponse queueFull() {
  ReadResponse response;
  response.error = "too many requests are queued for the store";
  return response;
}

}  // namespace

SqliteStore::SqliteStore(boost::asio::io_context& io, std::string path, double busyTimeoutMs)
    : io_(io), path_(std::move(path)), busyTimeoutMs_(busyTimeoutMs) {}

template <class Response>
void SqliteStore::run(std::function<Response(SqliteFile&)> work,
                      Response unavailable,
                      std::function<void(Response)> callback) {
  const auto respond = [&io = io_, guarded = guard_.wrap(std::move(callback))](Response response) {
    boost::asio::post(io, [guarded, response = std::move(response)] { guarded(response); });
  };
  const bool queued = thread_.post([this, work = std::move(work), unavailable, respond] {
    try {
      if (!file_)
        file_ = std::make_unique<SqliteFile>(path_, machineClock(), busyTimeoutMs_);
      respond(work(*file_));
    } catch (const SqliteError& error) {
      Response failed = unavailable;
      if constexpr (std::is_same_v<Response, ReadResponse>)
        failed.error = error.what();
      // The next request reopens the file, which may have been replaced or repaired by then.
      file_ = nullptr;
      respond(std::move(failed));
    }
  });
  if (!queued)
    respond(std::move(unavailable));
}

void SqliteStore::requestLease(const LeaseRequest& request, LeaseCallback callback) {
  LeaseResponse unavailable;
  unavailable.number = request.number;
  run<LeaseResponse>([request](SqliteFile& file) { return file.requestLease(request); },
                     unavailable, std::move(callback));
}

void SqliteStore::commit(const Fence& fence, std::vector<Write> writes, CommitCallback callback) {
  run<CommitResponse>(
      [fence, writes = std::move(writes)](SqliteFile& file) { return file.commit(&fence, writes); },
      {}, std::move(callback));
}

void SqliteStore::write(Write write, CommitCallback callback) {
  run<CommitResponse>(
      [write = std::move(write)](SqliteFile& file) { return file.commit(nullptr, {write}); }, {},
      std::move(callback));
}

void SqliteStore::readAll(ReadCallback callback) {
  run<ReadResponse>([](SqliteFile& file) { return file.readAll(); }, queueFull(),
                    std::move(callback));
}

void SqliteStore::read(std::vector<std::string> keys, ReadCallback callback) {
  run<ReadResponse>([keys = std::move(keys)](SqliteFile& file) { return file.read(keys); },
                    queueFull(), std::move(callback));
}

}  // namespace inference_router::coordination
