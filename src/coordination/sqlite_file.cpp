#include "coordination/sqlite_file.h"

#include <sqlite3.h>

#include "coordination/lease_encoding.h"

namespace inference_router::coordination {

namespace {

// SQLite's application_id, which marks the file as this program's.
constexpr int kApplicationId = 0x64686c31;
constexpr int kFormatVersion = 1;

void addRows(SqliteStatement& statement, ReadResponse& response) {
  while (statement.step())
    response.documents[statement.text(0)] = {statement.text(1), statement.number(2)};
}

}  // namespace

SqliteFile::SqliteFile(const std::string& path, MachineClock clock, double busyTimeoutMs)
    : clock_(std::move(clock)) {
  const int code = sqlite3_open_v2(path.c_str(), &database_,
                                   SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  try {
    if (code != SQLITE_OK)
      throw SqliteError(database_ != nullptr ? sqlite3_errmsg(database_)
                                             : "not enough memory to open the file");
    sqlite3_busy_timeout(database_, static_cast<int>(busyTimeoutMs));
    prepareTables();
  } catch (...) {
    sqlite3_close(database_);
    throw;
  }
}

SqliteFile::~SqliteFile() {
  sqlite3_close(database_);
}

// ---- Tables

void SqliteFile::prepareTables() {
  SqliteStatement(database_, "PRAGMA journal_mode=WAL").step();
  // Acknowledged writes must be on the disk: a fence that was lost in a power failure would be
  // granted twice.
  SqliteStatement(database_, "PRAGMA synchronous=FULL").step();
  SqliteTransaction transaction(database_);
  const std::uint64_t applicationId = pragma("PRAGMA application_id");
  const std::uint64_t version = pragma("PRAGMA user_version");
  if (applicationId == 0 && version == 0) {
    createTables();
    transaction.commit();
    return;
  }
  if (applicationId != kApplicationId)
    throw SqliteError("the file belongs to another program");
  if (version != kFormatVersion)
    throw SqliteError("the file has format version " + std::to_string(version) +
                      ", this program supports " + std::to_string(kFormatVersion));
}

void SqliteFile::createTables() {
  if (SqliteStatement any(database_, "SELECT 1 FROM sqlite_master LIMIT 1"); any.step())
    throw SqliteError("the file belongs to another program");
  SqliteStatement(
      database_,
      "CREATE TABLE lease(task TEXT PRIMARY KEY, cell TEXT NOT NULL, boot TEXT NOT NULL)")
      .step();
  SqliteStatement(
      database_,
      "CREATE TABLE doc(key TEXT PRIMARY KEY, value BLOB NOT NULL, revision INTEGER NOT NULL)")
      .step();
  SqliteStatement(database_, "CREATE TABLE counter(revision INTEGER NOT NULL)").step();
  SqliteStatement(database_, "INSERT INTO counter VALUES(0)").step();
  const std::string setId = "PRAGMA application_id=" + std::to_string(kApplicationId);
  SqliteStatement(database_, setId.c_str()).step();
  const std::string setVersion = "PRAGMA user_version=" + std::to_string(kFormatVersion);
  SqliteStatement(database_, setVersion.c_str()).step();
}

std::uint64_t SqliteFile::pragma(const char* sql) {
  SqliteStatement statement(database_, sql);
  statement.step();
  return statement.number(0);
}

// ---- Leases

LeaseCell SqliteFile::leaseCell(const std::string& task) {
  SqliteStatement statement(database_, "SELECT cell, boot FROM lease WHERE task=?");
  if (!statement.bind(task).step())
    return {};
  auto cell = parseLeaseCell(statement.text(0));
  if (!cell)
    throw SqliteError("the lease of " + task + " is damaged");
  if (statement.text(1) != clock_.bootId)
    cell->record.reset();
  return *cell;
}

LeaseResponse SqliteFile::requestLease(const LeaseRequest& request) {
  SqliteTransaction transaction(database_);
  const LeaseCell before = leaseCell(request.task);
  LeaseCell after = before;
  LeaseResponse response = decide(after, request, clock_.monotonicMs(), clock_.unixMs());
  if (after == before)
    return response;
  SqliteStatement(database_, "INSERT OR REPLACE INTO lease VALUES(?,?,?)")
      .bind(request.task)
      .bind(serialize(after))
      .bind(clock_.bootId)
      .step();
  transaction.commit();
  return response;
}

// ---- Documents

std::uint64_t SqliteFile::revision() {
  SqliteStatement statement(database_, "SELECT revision FROM counter");
  if (!statement.step())
    throw SqliteError("the revision counter is missing");
  return statement.number(0);
}

CommitResponse SqliteFile::commit([[maybe_unused]] const Fence* fence,
                                  const std::vector<Write>& writes) {
  if (!withinLimits(writes))
    return {CommitStatus::kRefused, 0};
  SqliteTransaction transaction(database_);
#ifndef INFERENCE_ROUTER_WITHOUT_FENCE  // test program that must fail the consistency checks
  if (fence != nullptr && !accepts(leaseCell(fence->task()), fence->holder(), fence->number()))
    return {CommitStatus::kStaleFence, 0};
#endif
  const std::uint64_t newRevision = revision() + 1;
  for (const Write& write : writes) {
    if (!applyWrite(write, newRevision))
      return {CommitStatus::kConflict, 0};
  }
  if (documentCount() > kMaxDocuments)
    return {CommitStatus::kRefused, 0};
  SqliteStatement(database_, "UPDATE counter SET revision=?").bind(newRevision).step();
  transaction.commit();
  return {CommitStatus::kDone, newRevision};
}

/// Executes the write. Returns false if the document does not have the expected revision.
bool SqliteFile::applyWrite(const Write& write, std::uint64_t newRevision) {
  SqliteStatement statement(database_, "SELECT revision FROM doc WHERE key=?");
  const std::uint64_t stored = statement.bind(write.key).step() ? statement.number(0) : 0;
  if (stored != write.expectedRevision)
    return false;
  if (write.value) {
    SqliteStatement(database_, "INSERT OR REPLACE INTO doc VALUES(?,?,?)")
        .bind(write.key)
        .bind(*write.value)
        .bind(newRevision)
        .step();
  } else {
    SqliteStatement(database_, "DELETE FROM doc WHERE key=?").bind(write.key).step();
  }
  return true;
}

std::uint64_t SqliteFile::documentCount() {
  SqliteStatement statement(database_, "SELECT count(*) FROM doc");
  statement.step();
  return statement.number(0);
}

/// Reads the revision and the rows as one snapshot, without the write lock.
template <class ReadRows>
ReadResponse SqliteFile::readTransaction(const ReadRows& readRows) {
  SqliteStatement(database_, "BEGIN").step();
  ReadResponse response;
  try {
    response.revision = revision();
    readRows(response);
  } catch (...) {
    sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
  SqliteStatement(database_, "COMMIT").step();
  response.ok = true;
  return response;
}

ReadResponse SqliteFile::readAll() {
  return readTransaction([this](ReadResponse& response) {
    SqliteStatement statement(database_, "SELECT key, value, revision FROM doc");
    addRows(statement, response);
  });
}

ReadResponse SqliteFile::read(const std::vector<std::string>& keys) {
  return readTransaction([this, &keys](ReadResponse& response) {
    for (const std::string& key : keys) {
      SqliteStatement statement(database_, "SELECT key, value, revision FROM doc WHERE key=?");
      addRows(statement.bind(key), response);
    }
  });
}

}  // namespace inference_router::coordination
