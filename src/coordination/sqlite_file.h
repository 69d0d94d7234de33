/// Leases and documents in an SQLite file that the routers of one machine share. Lease requests are
/// decided by lease_rules.h, each within one transaction and by the machine's monotonic clock. A
/// lease from before the last boot is void, since its holder's process no longer exists; its fence
/// remains in force.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/lease_rules.h"
#include "coordination/machine_clock.h"
#include "coordination/sqlite_statement.h"
#include "coordination/store.h"

struct sqlite3;

namespace inference_router::coordination {

/// Blocking, and used on one thread only. All members throw SqliteError.
class SqliteFile {
 public:
  /// Creates the file and its tables if they do not exist. Throws if the file belongs to another
  /// program, has a different format version or is damaged. busyTimeoutMs: the longest wait for a
  /// lock of another process.
  SqliteFile(const std::string& path, MachineClock clock, double busyTimeoutMs);
  ~SqliteFile();
  SqliteFile(const SqliteFile&) = delete;
  SqliteFile& operator=(const SqliteFile&) = delete;

  LeaseResponse requestLease(const LeaseRequest& request);
  /// fence: nullptr for writes without a fence.
  CommitResponse commit(const Fence* fence, const std::vector<Write>& writes);
  ReadResponse readAll();
  ReadResponse read(const std::vector<std::string>& keys);

 private:
  void prepareTables();
  void createTables();
  std::uint64_t pragma(const char* sql);
  LeaseCell leaseCell(const std::string& task);
  std::uint64_t revision();
  bool applyWrite(const Write& write, std::uint64_t newRevision);
  std::uint64_t documentCount();
  template <class ReadRows>
  ReadResponse readTransaction(const ReadRows& readRows);

  sqlite3* database_ = nullptr;
  MachineClock clock_;
};

}  // namespace inference_router::coordination
