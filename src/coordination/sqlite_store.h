// The store for routers on one machine: an SQLite file, on the storage thread. Leases are
// decided by the rules of lease_rules.h within one transaction each, by the machine's monotonic
// clock; a lease from before the last boot is void, since no process of that time lives, and its
// fence stays.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "coordination/lease_rules.h"
#include "coordination/storage_thread.h"
#include "coordination/store.h"

struct sqlite3;

namespace inference_router::coordination {

// A machine's clock that all its processes share, and its boot.
struct MachineTime {
  std::function<double()> monotonicMs;
  std::function<double()> unixMs;
  std::string boot;
};
MachineTime machineTime();

// The file itself; blocks, and belongs to one thread. Failures are told by SqliteFault.
struct SqliteFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class SqliteFile {
 public:
  // Creates what is missing. Throws if the file is another program's, of a later form or damaged.
  SqliteFile(const std::string& path, MachineTime time, double busyMs);
  ~SqliteFile();
  SqliteFile(const SqliteFile&) = delete;
  SqliteFile& operator=(const SqliteFile&) = delete;

  LeaseAnswer ask(const LeaseAsk& ask);
  CommitAnswer commit(const Fence* fence, const std::vector<Write>& writes);
  // keys: only these, if given.
  Listing list(const std::vector<std::string>* keys = nullptr);

 private:
  class Statement;
  class Transaction;

  void prepareTables();
  LeaseCell cell(const std::string& task);
  std::uint64_t revision();

  sqlite3* db_ = nullptr;
  MachineTime time_;
};

class SqliteStore final : public Store {
 public:
  SqliteStore(boost::asio::io_context& io, std::string path, double busyMs = 200);
  ~SqliteStore() override;

  std::string describe() const override { return "sqlite " + path_; }
  void ask(const LeaseAsk& ask, std::function<void(const LeaseAnswer&)> answer) override;
  void commit(const Fence& fence,
              std::vector<Write> writes,
              std::function<void(CommitAnswer)> answer) override;
  void put(Write write, std::function<void(CommitAnswer)> answer) override;
  void list(std::function<void(const Listing&)> answer) override;
  void look(std::vector<std::string> keys, std::function<void(const Listing&)> answer) override;

 private:
  // Runs work with the file, on the storage thread; the answer comes back on the loop's.
  template <class Answer>
  void run(std::function<Answer(SqliteFile&)> work,
           Answer unavailable,
           std::function<void(Answer)> answer);

  boost::asio::io_context& io_;
  std::string path_;
  double busyMs_;
  std::unique_ptr<SqliteFile> file_;  // of the storage thread
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  // of the loop's: answers to a store that is gone
  StorageThread thread_;             // last: ends before what it uses
};

}  // namespace inference_router::coordination
