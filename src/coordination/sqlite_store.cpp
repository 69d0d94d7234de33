#include "coordination/sqlite_store.h"

#include <spdlog/spdlog.h>
#include <sqlite3.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <ctime>
#include <fstream>
#include <utility>

#include "coordination/records.h"

namespace inference_router::coordination {

namespace {

constexpr int kApplication = 0x64686c31;  // marks the file as this program's
constexpr int kForm = 1;

}  // namespace

MachineTime machineTime() {
  MachineTime time;
  // Goes on while the machine sleeps, and is never set.
  time.monotonicMs = [] {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) * 1000 + static_cast<double>(now.tv_nsec) / 1e6;
  };
  time.unixMs = [] {
    return std::chrono::duration<double, std::milli>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  };
  std::ifstream("/proc/sys/kernel/random/boot_id") >> time.boot;
  return time;
}

// ---- Statements
// ------------------------------------------------------------------------------------

class SqliteFile::Statement {
 public:
  Statement(sqlite3* db, const char* text) : db_(db) {
    if (sqlite3_prepare_v2(db, text, -1, &statement_, nullptr) != SQLITE_OK)
      throw SqliteFault(sqlite3_errmsg(db));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(const std::string& text) {
    check(sqlite3_bind_text(statement_, ++bound_, text.data(), static_cast<int>(text.size()),
                            SQLITE_TRANSIENT));
    return *this;
  }
  Statement& bind(std::uint64_t number) {
    check(sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(number)));
    return *this;
  }
  bool step() {  // whether there is a row
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE)
      throw SqliteFault(sqlite3_errmsg(db_));
    return code == SQLITE_ROW;
  }
  std::string text(int column) const {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    return bytes == nullptr
               ? ""
               : std::string(bytes,
                             static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }
  std::uint64_t number(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }

 private:
  void check(int code) const {
    if (code != SQLITE_OK)
      throw SqliteFault(sqlite3_errmsg(db_));
  }
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

// Takes the right to write at its begin, so that what it reads is what it changes.
class SqliteFile::Transaction {
 public:
  explicit Transaction(sqlite3* db) : db_(db) { Statement(db, "BEGIN IMMEDIATE").step(); }
  ~Transaction() {
    if (!done_)
      sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void commit() {
    Statement(db_, "COMMIT").step();
    done_ = true;
  }

 private:
  sqlite3* db_;
  bool done_ = false;
};

// ---- The file
// --------------------------------------------------------------------------------------

SqliteFile::SqliteFile(const std::string& path, MachineTime time, double busyMs)
    : time_(std::move(time)) {
  const int code =
      sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  try {
    if (code != SQLITE_OK)
      throw SqliteFault(db_ != nullptr ? sqlite3_errmsg(db_) : "no memory for the file");
    sqlite3_busy_timeout(db_, static_cast<int>(busyMs));
    prepareTables();
  } catch (...) {
    sqlite3_close(db_);
    throw;
  }
}

SqliteFile::~SqliteFile() {
  sqlite3_close(db_);
}

// What was acknowledged is on the disk: a fence that came back after a power cut would be given
// twice.
void SqliteFile::prepareTables() {
  Statement(db_, "PRAGMA journal_mode=WAL").step();
  Statement(db_, "PRAGMA synchronous=FULL").step();
  Transaction whole(db_);
  const auto pragma = [this](const char* text) {
    Statement read(db_, text);
    read.step();
    return read.number(0);
  };
  const auto application = pragma("PRAGMA application_id"), form = pragma("PRAGMA user_version");
  if (application == 0 && form == 0) {
    if (Statement any(db_, "SELECT 1 FROM sqlite_master LIMIT 1"); any.step())
      throw SqliteFault("the file belongs to another program");
    Statement(db_,
              "CREATE TABLE lease(task TEXT PRIMARY KEY, cell TEXT NOT NULL, boot TEXT NOT NULL)")
        .step();
    Statement(
        db_,
        "CREATE TABLE doc(key TEXT PRIMARY KEY, value BLOB NOT NULL, revision INTEGER NOT NULL)")
        .step();
    Statement(db_, "CREATE TABLE counter(revision INTEGER NOT NULL)").step();
    Statement(db_, "INSERT INTO counter VALUES(0)").step();
    Statement(db_, ("PRAGMA application_id=" + std::to_string(kApplication)).c_str()).step();
    Statement(db_, ("PRAGMA user_version=" + std::to_string(kForm)).c_str()).step();
    whole.commit();
    return;
  }
  if (application != kApplication)
    throw SqliteFault("the file belongs to another program");
  if (form != kForm)
    throw SqliteFault("the file has form " + std::to_string(form) + ", this program knows " +
                      std::to_string(kForm));
}

LeaseCell SqliteFile::cell(const std::string& task) {
  Statement read(db_, "SELECT cell, boot FROM lease WHERE task=?");
  if (!read.bind(task).step())
    return {};
  auto cell = cellOf(read.text(0));
  if (!cell)
    throw SqliteFault("the lease of " + task + " is damaged");
  if (read.text(1) != time_.boot)
    cell->record.reset();
  return *cell;
}

std::uint64_t SqliteFile::revision() {
  Statement read(db_, "SELECT revision FROM counter");
  if (!read.step())
    throw SqliteFault("the counter of revisions is missing");
  return read.number(0);
}

LeaseAnswer SqliteFile::ask(const LeaseAsk& ask) {
  Transaction whole(db_);
  LeaseCell now = cell(ask.task);
  const LeaseCell before = now;
  LeaseAnswer answer = decide(now, ask, time_.monotonicMs(), time_.unixMs());
  if (now == before)
    return answer;
  Statement(db_, "INSERT OR REPLACE INTO lease VALUES(?,?,?)")
      .bind(ask.task)
      .bind(textOf(now))
      .bind(time_.boot)
      .step();
  whole.commit();
  return answer;
}

CommitAnswer SqliteFile::commit([[maybe_unused]] const Fence* fence,
                                const std::vector<Write>& writes) {
  if (!acceptable(writes))
    return {Committed::kRefused, 0};
  Transaction whole(db_);
#ifndef INFERENCE_ROUTER_WITHOUT_FENCE  // a build of the tests, which they have to find out
  if (fence != nullptr && !accepts(cell(fence->task()), fence->holder(), fence->number()))
    return {Committed::kStaleFence, 0};
#endif
  const std::uint64_t next = revision() + 1;
  for (const Write& write : writes) {
    Statement read(db_, "SELECT revision FROM doc WHERE key=?");
    const std::uint64_t is = read.bind(write.key).step() ? read.number(0) : 0;
    if (is != write.seen)
      return {Committed::kConflict, 0};
    if (write.value)
      Statement(db_, "INSERT OR REPLACE INTO doc VALUES(?,?,?)")
          .bind(write.key)
          .bind(*write.value)
          .bind(next)
          .step();
    else
      Statement(db_, "DELETE FROM doc WHERE key=?").bind(write.key).step();
  }
  Statement many(db_, "SELECT count(*) FROM doc");
  many.step();
  if (many.number(0) > kMostDocs)
    return {Committed::kRefused, 0};
  Statement(db_, "UPDATE counter SET revision=?").bind(next).step();
  whole.commit();
  return {Committed::kDone, next};
}

Listing SqliteFile::list(const std::vector<std::string>* keys) {
  Statement(db_, "BEGIN").step();
  Listing all;
  try {
    all.revision = revision();
    const auto take = [&all](Statement& read) {
      while (read.step())
        all.docs[read.text(0)] = {read.text(1), read.number(2)};
    };
    if (keys == nullptr) {
      Statement read(db_, "SELECT key, value, revision FROM doc");
      take(read);
    } else {
      for (const std::string& key : *keys) {
        Statement read(db_, "SELECT key, value, revision FROM doc WHERE key=?");
        take(read.bind(key));
      }
    }
  } catch (...) {
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
  Statement(db_, "COMMIT").step();
  all.ok = true;
  return all;
}

// ---- The store
// -------------------------------------------------------------------------------------

SqliteStore::SqliteStore(boost::asio::io_context& io, std::string path, double busyMs)
    : io_(io), path_(std::move(path)), busyMs_(busyMs) {}

SqliteStore::~SqliteStore() {
  *alive_ = false;
}

template <class Answer>
void SqliteStore::run(std::function<Answer(SqliteFile&)> work,
                      Answer unavailable,
                      std::function<void(Answer)> answer) {
  const auto back = [this, alive = alive_, answer = std::move(answer)](Answer what) {
    boost::asio::post(io_, [alive, answer, what = std::move(what)] {
      if (*alive)
        answer(what);
    });
  };
  const bool taken = thread_.post([this, work = std::move(work), unavailable, back] {
    try {
      if (!file_)
        file_ = std::make_unique<SqliteFile>(path_, machineTime(), busyMs_);
      back(work(*file_));
    } catch (const SqliteFault& fault) {
      Answer told = unavailable;
      if constexpr (std::is_same_v<Answer, Listing>)
        told.why = fault.what();
      // Opened anew next time: a file that was replaced or mended is found again.
      file_ = nullptr;
      back(std::move(told));
    }
  });
  if (!taken)
    back(std::move(unavailable));
}

void SqliteStore::ask(const LeaseAsk& ask, std::function<void(const LeaseAnswer&)> answer) {
  LeaseAnswer unavailable;
  unavailable.number = ask.number;
  run<LeaseAnswer>([ask](SqliteFile& file) { return file.ask(ask); }, unavailable,
                   std::move(answer));
}

void SqliteStore::commit(const Fence& fence,
                         std::vector<Write> writes,
                         std::function<void(CommitAnswer)> answer) {
  run<CommitAnswer>(
      [fence, writes = std::move(writes)](SqliteFile& file) { return file.commit(&fence, writes); },
      {}, std::move(answer));
}

void SqliteStore::put(Write write, std::function<void(CommitAnswer)> answer) {
  run<CommitAnswer>(
      [write = std::move(write)](SqliteFile& file) { return file.commit(nullptr, {write}); }, {},
      std::move(answer));
}

namespace {
Listing unread() {
  Listing none;
  none.why = "too much waits for the store";
  return none;
}
}  // namespace

void SqliteStore::list(std::function<void(const Listing&)> answer) {
  run<Listing>([](SqliteFile& file) { return file.list(); }, unread(), std::move(answer));
}

void SqliteStore::look(std::vector<std::string> keys, std::function<void(const Listing&)> answer) {
  run<Listing>([keys = std::move(keys)](SqliteFile& file) { return file.list(&keys); }, unread(),
               std::move(answer));
}

}  // namespace inference_router::coordination
