#include "coordination/sqlite_statement.h"

#include <sqlite3.h>

namespace inference_router::coordination {

SqliteStatement::SqliteStatement(sqlite3* database, const char* sql) : database_(database) {
  if (sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) != SQLITE_OK)
    throw SqliteError(sqlite3_errmsg(database));
}

SqliteStatement::~SqliteStatement() {
  sqlite3_finalize(statement_);
}

SqliteStatement& SqliteStatement::bind(const std::string& text) {
  check(sqlite3_bind_text(statement_, ++boundParameters_, text.data(),
                          static_cast<int>(text.size()), SQLITE_TRANSIENT));
  return *this;
}

SqliteStatement& SqliteStatement::bind(std::uint64_t number) {
  check(sqlite3_bind_int64(statement_, ++boundParameters_, static_cast<sqlite3_int64>(number)));
  return *this;
}

bool SqliteStatement::step() {
  const int code = sqlite3_step(statement_);
  if (code != SQLITE_ROW && code != SQLITE_DONE)
    throw SqliteError(sqlite3_errmsg(database_));
  return code == SQLITE_ROW;
}

std::string SqliteStatement::text(int column) const {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
  if (bytes == nullptr)
    return "";
  return std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
}

std::uint64_t SqliteStatement::number(int column) const {
  return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
}

void SqliteStatement::check(int code) const {
  if (code != SQLITE_OK)
    throw SqliteError(sqlite3_errmsg(database_));
}

SqliteTransaction::SqliteTransaction(sqlite3* database) : database_(database) {
  SqliteStatement(database, "BEGIN IMMEDIATE").step();
}

SqliteTransaction::~SqliteTransaction() {
  if (!committed_)
    sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
}

void SqliteTransaction::commit() {
  SqliteStatement(database_, "COMMIT").step();
  committed_ = true;
}

}  // namespace inference_router::coordination
