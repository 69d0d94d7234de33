// What tasks of the whole fleet need of a store: leases, and a few small documents that change only
// from the state that their writer saw. Every answer comes once, on the loop's thread, also when
// the store is gone; one that says "unavailable" leaves open whether it took effect.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/lease.h"

namespace inference_router::coordination {

// What a fleet may have. All tables that are kept by router or by instance reach to these; the
// sizes of texts and of the store follow from them (docs/design/bounds.md).
constexpr std::size_t kMostConductors = 1024;
constexpr std::size_t kMostInstances = 1024;

constexpr std::size_t kLongestKey = 200;
// Of one change: etcd takes 1.5 MiB and 128 conditions as it comes; a fence needs two of these.
constexpr std::size_t kMostChangeBytes = 1536UL * 1024;
constexpr std::size_t kMostWrites = 96;
// The largest text, with all that may be removed by the same change.
constexpr std::size_t kMostValueBytes = kMostChangeBytes - kMostWrites * 2 * kLongestKey;
// Each router's own word and part, those of its process before, and what is removed later; the
// plan and the digest.
constexpr std::size_t kMostDocs = 4 * kMostConductors;

struct Doc {
  std::string value;
  std::uint64_t revision = 0;  // of the store, when this was written; above 0
  bool operator==(const Doc&) const = default;
};

struct Write {
  std::string key;
  std::uint64_t seen = 0;  // the document's revision that the writer saw; 0: there was none
  std::optional<std::string> value;  // none: it is to be gone
};

enum class Committed {
  kDone,
  kStaleFence,   // somebody else holds the task's lease, or nobody
  kConflict,     // a document is not as it was seen; nothing was written
  kRefused,      // too large, too many, or no key
  kUnavailable,  // nothing is known
};
const char* nameOf(Committed how);

struct CommitAnswer {
  Committed how = Committed::kUnavailable;
  std::uint64_t revision = 0;  // of what was written
};

struct Listing {
  bool ok = false;
  std::string why;  // not ok: what is wrong
  std::map<std::string, Doc> docs;
  std::uint64_t revision = 0;  // of the store
};

class Store {
 public:
  virtual ~Store() = default;
  virtual std::string describe() const = 0;
  virtual void ask(const LeaseAsk& ask, std::function<void(const LeaseAnswer&)> answer) = 0;
  // All or nothing, and only while the fence is the newest of its task.
  virtual void commit(const Fence& fence,
                      std::vector<Write> writes,
                      std::function<void(CommitAnswer)> answer) = 0;
  // What a router says of itself, or an operator of a plan: no task's effect, and so without a
  // fence.
  virtual void put(Write write, std::function<void(CommitAnswer)> answer) = 0;
  virtual void list(std::function<void(const Listing&)> answer) = 0;
  // Only the documents with these keys, as far as they are there; of one moment.
  virtual void look(std::vector<std::string> keys, std::function<void(const Listing&)> answer) = 0;
};

// Whether writes keep the bounds above.
bool acceptable(const std::vector<Write>& writes);

}  // namespace inference_router::coordination
