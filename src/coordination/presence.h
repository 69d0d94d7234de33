/// The document that a router publishes about itself in the store: that it is alive, which
/// maintenance plan it applies, and its open attempts at drained instances. Read by the holder of
/// the maintenance lease, and removed by the cleanup once the router has stopped.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/store.h"

namespace inference_router::coordination {

inline constexpr const char* kNodePrefix = "node/";

/// Whether this is the key of a router's presence.
bool isPresenceKey(const std::string& key);

struct Presence {
  Holder holder;
  /// Incremented by each write, so that the document of a live router keeps changing.
  std::uint64_t sequence = 0;
  /// The plan that the router applies, and the number of its steps applied so far.
  std::string plan;
  std::uint64_t steps = 0;
  /// Number of open attempts at each instance that the plan drains; instances without any are
  /// omitted.
  std::map<std::string, std::uint64_t> open;
  bool operator==(const Presence&) const = default;

  std::string serialize() const;
  /// Returns nothing if the text is not a complete presence in the supported format.
  static std::optional<Presence> parse(std::string_view text);
};

/// Decides when this router's presence is written, and detects another process with the same name.
/// Performs no I/O.
class PresencePublisher {
 public:
  PresencePublisher(Holder holder, double periodMs)
      : holder_(std::move(holder)), periodMs_(periodMs) {}

  /// Returns the write to send if the period has passed or the presence has changed; nothing while
  /// a write is pending. Sets the presence's holder and sequence.
  std::optional<Write> nextWrite(const Presence& current, double nowMs);
  void onWritten(const CommitResponse& response, double nowMs);
  void onRead(const std::map<std::string, Document>& documents, double nowMs);

  /// Another process with this router's name has written after this one, which must not hold leases
  /// any more.
  bool nameConflict() const { return nameConflict_; }

 private:
  std::string key() const { return kNodePrefix + holder_.name; }

  Holder holder_;
  double periodMs_;
  double nextMs_ = 0;
  std::uint64_t storedRevision_ = 0;
  std::uint64_t sequence_ = 0;
  std::optional<Presence> lastPublished_;  // without holder and sequence
  bool revisionKnown_ = false;
  bool writing_ = false;
  bool nameConflict_ = false;
  bool hasWritten_ = false;
};

}  // namespace inference_router::coordination
