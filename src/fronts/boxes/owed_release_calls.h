/// Carries the releases that are owed to single instances; when they are due is
/// fleet::OwedReleases'.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/counters.h"
#include "core/deadlines.h"
#include "fleet/owed_releases.h"
#include "fronts/boxes/directory.h"
#include "net/pool.h"

namespace dahliastall::fronts {

class OwedReleaseCalls {
 public:
  /// The head of the message that releases a request.
  using Head = std::function<std::string(const leverrelay::RequestId&, const Box&)>;

  OwedReleaseCalls(net::Pool& pool,
                   Directory& directory,
                   const core::Clock& clock,
                   core::Deadlines& deadlines,
                   core::Counters& counters,
                   double withinMs,
                   Head head);
  ~OwedReleaseCalls();
  OwedReleaseCalls(const OwedReleaseCalls&) = delete;
  OwedReleaseCalls& operator=(const OwedReleaseCalls&) = delete;

  /// A call for the request was written to the instance and given up without an answer.
  void owe(const leverrelay::EngineId& instance, const leverrelay::RequestId& request);
  void within(double ms) { owed_.apart(ms / 2); }
  std::size_t size() const { return owed_.size(); }

 private:
  class Sink;
  struct Sent {
    std::shared_ptr<net::Call> call;
    std::optional<core::Deadlines::Key> limit;
  };

  void step();
  void stepAt(std::optional<double> atMs);
  void send(const fleet::OwedReleases::Release& release);
  void ended(std::uint64_t number, const fleet::OwedReleases::Release& release, bool accepted);
  void forgetReplaced();

  net::Pool& pool_;
  Directory& directory_;
  const core::Clock& clock_;
  core::Deadlines& deadlines_;
  core::Counters& counters_;
  Head head_;
  fleet::OwedReleases owed_;
  std::map<leverrelay::EngineId, double>
      startedMs_;  // of instances that are owed any, as told then
  std::map<std::uint64_t, Sent> sent_;
  std::optional<core::Deadlines::Key> next_;
  std::uint64_t calls_ = 0;
};

}  // namespace dahliastall::fronts
