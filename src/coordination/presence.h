// What a router says of itself in the store: that it lives, which plan it acts by, and what it
// still has open at instances that are drained. Read by whoever holds the maintenance; cleaned up
// when its router is gone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/lease.h"
#include "coordination/store.h"

namespace inference_router::coordination {

inline constexpr const char* kNodePrefix = "node/";

struct Presence {
  Holder who;
  std::uint64_t beat = 0;   // counts up: a text that stays the same is a router that does not speak
  std::string plan;         // whose steps it has carried out,
  std::uint64_t steps = 0;  // and how many of them
  std::map<std::string, std::uint64_t> open;  // attempts at instances that the plan drains
  bool operator==(const Presence&) const = default;

  std::string text() const;
  static std::optional<Presence> parse(std::string_view text);
};

// Writes this router's own document: what to write next, and what the answers mean. No I/O.
class OwnPresence {
 public:
  OwnPresence(Holder who, double periodMs) : who_(std::move(who)), periodMs_(periodMs) {}

  // Something to write if it is time, or if what it says has changed; nothing while a write is
  // under way.
  std::optional<Write> next(const Presence& now, double nowMs);
  void written(const CommitAnswer& answer, double nowMs);
  // What the store has under this router's name.
  void read(const std::map<std::string, Doc>& docs, double nowMs);

  // Another process with this router's name that goes on after this one had written: this one
  // steps back.
  bool rivalled() const { return rivalled_; }

 private:
  std::string key() const { return kNodePrefix + who_.name; }

  Holder who_;
  double periodMs_, nextMs_ = 0;
  std::uint64_t seen_ = 0, beat_ = 0;
  std::optional<Presence> said_;  // last, without its beat
  bool known_ = false, writing_ = false, rivalled_ = false, owned_ = false;
};

}  // namespace inference_router::coordination
