/// The store that the fleet's routers share. It holds leases, and a few small documents that are
/// written by compare-and-swap on their revision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/lease.h"

namespace inference_router::coordination {

/// Size limits of a fleet. They bound all tables with an entry for each router or instance; the
/// limits on documents and on the store are derived from them (docs/design/bounds.md).
inline constexpr std::size_t kMaxFleetRouters = 1024;
inline constexpr std::size_t kMaxFleetInstances = 1024;

inline constexpr std::size_t kMaxKeyBytes = 200;
/// Limits of one commit: etcd accepts 1.5 MiB and 128 conditions by default, and a fence needs two
/// of the conditions.
inline constexpr std::size_t kMaxCommitBytes = 1536UL * 1024;
inline constexpr std::size_t kMaxWritesPerCommit = 96;
/// The largest value that fits into a commit together with the keys of the maximum number of
/// writes.
inline constexpr std::size_t kMaxValueBytes =
    kMaxCommitBytes - kMaxWritesPerCommit * 2 * kMaxKeyBytes;
/// Sufficient for the presence and the part of each router and of its previous process, whose
/// documents remain until the cleanup removes them, and for the plan and the digest.
inline constexpr std::size_t kMaxDocuments = 4 * kMaxFleetRouters;

struct Document {
  std::string value;
  /// The store's revision of the last write; above 0.
  std::uint64_t revision = 0;
  bool operator==(const Document&) const = default;
};

/// One change of a document, conditional on the revision that the writer read.
struct Write {
  std::string key;
  std::uint64_t expectedRevision = 0;  ///< 0: the document must not exist.
  std::optional<std::string> value;    ///< None: the document is deleted.
};

enum class CommitStatus {
  kDone,
  kStaleFence,   ///< The task's lease is held by another router or by nobody.
  kConflict,     ///< A document has another revision than expected; nothing was written.
  kRefused,      ///< The commit or the store would be too large, or a key is invalid.
  kUnavailable,  ///< No usable response; whether it was written is unknown.
};
/// Returns the status' name in logs.
const char* nameOf(CommitStatus status);

struct CommitResponse {
  CommitStatus status = CommitStatus::kUnavailable;
  std::uint64_t revision = 0;  ///< Done: the new revision of the written documents.
};

/// A consistent snapshot of documents.
struct ReadResponse {
  bool ok = false;
  std::string error;  ///< Not ok: the reason, for operators.
  std::map<std::string, Document> documents;
  std::uint64_t revision = 0;  ///< The store's revision.
};

/// Calls every callback exactly once, on the event loop's thread, also if the store is unreachable;
/// callbacks that are pending when the store is destroyed are dropped. Not thread-safe: used on the
/// event loop's thread only.
class Store {
 public:
  using LeaseCallback = std::function<void(const LeaseResponse&)>;
  using CommitCallback = std::function<void(CommitResponse)>;
  using ReadCallback = std::function<void(const ReadResponse&)>;

  virtual ~Store() = default;
  /// The store's kind and address, for logs and reports.
  virtual std::string describe() const = 0;
  virtual void requestLease(const LeaseRequest& request, LeaseCallback callback) = 0;
  /// Executes all writes or none, and only while the fence is the newest of its task.
  virtual void commit(const Fence& fence, std::vector<Write> writes, CommitCallback callback) = 0;
  /// Executes one write without a fence: of a document that belongs to this router, or on an
  /// operator's command.
  virtual void write(Write write, CommitCallback callback) = 0;
  virtual void readAll(ReadCallback callback) = 0;
  /// Reads only the documents with these keys; those that do not exist are omitted.
  virtual void read(std::vector<std::string> keys, ReadCallback callback) = 0;
};

/// Whether the writes of one commit are within the limits above.
bool withinLimits(const std::vector<Write>& writes);

}  // namespace inference_router::coordination
