/// What a router publishes of itself in the store: that it is alive, which plan it follows, and
/// what it still has open at drained instances. Read by the holder of the maintenance lease, and
/// removed by the cleanup when its router is gone.
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
  /// Counts up: a document that does not change is that of a router that is not alive.
  std::uint64_t sequence = 0;
  /// The plan whose steps the router has carried out, and how many of them.
  std::string plan;
  std::uint64_t steps = 0;
  /// Open attempts by instance, at those that the plan drains.
  std::map<std::string, std::uint64_t> open;
  bool operator==(const Presence&) const = default;

  std::string serialize() const;
  /// Nothing if the text is not a complete presence of a known form.
  static std::optional<Presence> parse(std::string_view text);
};

/// Decides when this router's presence is written, and detects another process with its name. No
/// I/O.
class PresencePublisher {
 public:
  PresencePublisher(Holder holder, double periodMs)
      : holder_(std::move(holder)), periodMs_(periodMs) {}

  /// The write to send if the period has passed or the presence has changed; nothing while a write
  /// is under way. The presence's holder and sequence are filled in here.
  std::optional<Write> nextWrite(const Presence& current, double nowMs);
  void onWritten(const CommitResponse& response, double nowMs);
  void onRead(const std::map<std::string, Document>& documents, double nowMs);

  /// Another process with this router's name has written after this one: this one must not act.
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
