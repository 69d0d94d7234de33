/// The store that the fleet's routers share: leases, and a few small documents that change only
/// from the revision that their writer saw.
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

/// The largest fleet. All tables that are kept by router or by instance are bounded by these; the
/// sizes of documents and of the store follow from them (docs/design/bounds.md).
inline constexpr std::size_t kMaxFleetRouters = 1024;
inline constexpr std::size_t kMaxFleetInstances = 1024;

inline constexpr std::size_t kMaxKeyBytes = 200;
/// Of one commit: etcd accepts 1.5 MiB and 128 conditions by default, and a fence needs two of the
/// conditions.
inline constexpr std::size_t kMaxCommitBytes = 1536UL * 1024;
inline constexpr std::size_t kMaxWritesPerCommit = 96;
/// The largest value that fits into a commit beside the keys of all other writes.
inline constexpr std::size_t kMaxValueBytes =
    kMaxCommitBytes - kMaxWritesPerCommit * 2 * kMaxKeyBytes;
/// Each router's presence and part, those of its previous process until the cleanup removes them,
/// the plan and the digest.
inline constexpr std::size_t kMaxDocuments = 4 * kMaxFleetRouters;

struct Document {
  std::string value;
  /// The store's revision at the write; above 0.
  std::uint64_t revision = 0;
  bool operator==(const Document&) const = default;
};

/// One change of a document, conditional on the revision that the writer saw.
struct Write {
  std::string key;
  std::uint64_t expectedRevision = 0;  ///< 0: the document must not exist.
  std::optional<std::string> value;    ///< None: the document is deleted.
};

enum class CommitStatus {
  kDone,
  kStaleFence,   ///< Another router holds the task's lease, or nobody does.
  kConflict,     ///< A document has another revision than expected; nothing was written.
  kRefused,      ///< The commit or the store would be too large, or a key is invalid.
  kUnavailable,  ///< Whether it was written is unknown.
};
/// The status' name in logs.
const char* nameOf(CommitStatus status);

struct CommitResponse {
  CommitStatus status = CommitStatus::kUnavailable;
  std::uint64_t revision = 0;  ///< Of what was written.
};

/// Documents as they were at one moment.
struct ReadResponse {
  bool ok = false;
  std::string error;  ///< Not ok: what is wrong, for operators.
  std::map<std::string, Document> documents;
  std::uint64_t revision = 0;  ///< Of the store.
};

/// Every callback is called exactly once, on the event loop's thread, also if the store cannot be
/// reached; but not after the store was destroyed. Belongs to the event loop's thread.
class Store {
 public:
  using LeaseCallback = std::function<void(const LeaseResponse&)>;
  using CommitCallback = std::function<void(CommitResponse)>;
  using ReadCallback = std::function<void(const ReadResponse&)>;

  virtual ~Store() = default;
  /// The store's kind and address, for logs and reports.
  virtual std::string describe() const = 0;
  virtual void requestLease(const LeaseRequest& request, LeaseCallback callback) = 0;
  /// Carries out all writes or none, and only while the fence is the newest of its task.
  virtual void commit(const Fence& fence, std::vector<Write> writes, CommitCallback callback) = 0;
  /// One write without a fence: of a document that belongs to this router, or on an operator's
  /// command.
  virtual void write(Write write, CommitCallback callback) = 0;
  virtual void readAll(ReadCallback callback) = 0;
  /// Reads only the documents with these keys; those that do not exist are left out.
  virtual void read(std::vector<std::string> keys, ReadCallback callback) = 0;
};

/// Whether the writes of one commit keep the bounds above.
bool withinLimits(const std::vector<Write>& writes);

}  // namespace inference_router::coordination
