/// RAII wrappers of SQLite's prepared statements and transactions.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace inference_router::coordination {

struct SqliteError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A prepared statement. All members throw SqliteError. The database must outlive it.
class SqliteStatement {
 public:
  SqliteStatement(sqlite3* database, const char* sql);
  ~SqliteStatement();
  SqliteStatement(const SqliteStatement&) = delete;
  SqliteStatement& operator=(const SqliteStatement&) = delete;

  /// Binds the next parameter.
  SqliteStatement& bind(const std::string& text);
  SqliteStatement& bind(std::uint64_t number);
  /// Advances to the next row. Returns whether there is one.
  bool step();
  /// Returns a column of the current row, counted from 0.
  std::string text(int column) const;
  std::uint64_t number(int column) const;

 private:
  void check(int code) const;

  sqlite3* database_;
  sqlite3_stmt* statement_ = nullptr;
  int boundParameters_ = 0;
};

/// A transaction that acquires the write lock when it begins, so that no other process changes what
/// it has read. Rolled back when destroyed, unless committed.
class SqliteTransaction {
 public:
  explicit SqliteTransaction(sqlite3* database);
  ~SqliteTransaction();
  SqliteTransaction(const SqliteTransaction&) = delete;
  SqliteTransaction& operator=(const SqliteTransaction&) = delete;
  void commit();

 private:
  sqlite3* database_;
  bool committed_ = false;
};

}  // namespace inference_router::coordination
