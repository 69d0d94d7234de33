// Carries releases to the instances: everything that is held for a request is let go of, whoever
// holds it, and whatever was under way when it was decided. When to ask how many is
// ReleaseRetry's; whom, is here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "upstream/release_retry.h"

namespace inference_router::upstream {

class Releases {
 public:
  using Head = std::function<std::string(const routing::RequestId&,
                                         const InstanceEndpoint&)>;  // of the call's message
  // While an attempt of a request is out: until when a release may take what it goes on with.
  using Report = std::function<void(const std::string&)>;  // of a line for the log
  using HeldBackMs = std::function<std::optional<double>(const routing::RequestId&)>;

  Releases(net::ConnectionPool& pool,
           InstanceDirectory& directory,
           const core::Clock& clock,
           core::TimerQueue& timers,
           core::Counters& counters,
           double withinMs,
           Head head,
           HeldBackMs heldBackMs,
           Report report);
  ~Releases();

  void release(const routing::RequestId& request);
  void within(double ms) { withinMs_ = ms; }  // in which what is held has to be let go of
  // The same while an attempt is out, of which nothing shows yet that it has reached its instance:
  // if it has, the instances skip what it waits for.
  void releaseBeside(const routing::RequestId& request);
  // An attempt of it goes out. What was left may have been missed, and nothing tells whether the
  // attempt will reach its instance and take it: further rounds wait until its bytes have been out
  // for the time that a read usually takes, so that they take nothing from it. Once it has ended
  // without a new release, they are off.
  void attemptGoesOut(const routing::RequestId& request);
  // Done at once if no release is under way, else after it, as it would let go of what comes of
  // this.
  void afterwards(const routing::RequestId& request, std::function<void()> what);
  // A reservation is on its way to an instance, and, later, was answered or has failed. A release
  // that was asked in between may have arrived before it.
  void placeAsked(const routing::RequestId& request) { ++placesOut_[request]; }
  void placeSettled(const routing::RequestId& request);

  // Releases, and calls for places of which one may yet come: the program waits for both before it
  // ends.
  std::size_t underWay() const { return releases_.size() + placesOut_.size(); }

 private:
  class Carrier;
  struct Releasing {
    Releasing(double nowMs, double withinMs) : course(nowMs, withinMs), askedMs(nowMs) {}
    ReleaseRetry course;
    std::map<std::uint64_t, std::shared_ptr<net::Call>> calls;  // without an answer yet
    std::set<routing::InstanceId> tried;                        // since all were asked once
    std::uint64_t first =
        0;  // of the calls of this round: an answer to an earlier one proves nothing for it
    routing::InstanceId heard;  // who took the last round: a later one goes to another, if it can
    std::optional<core::TimerQueue::Key> next;
    double askedMs = 0;     // since when what may be held has to be let go of
    bool accepted = false;  // by any instance
    bool again =
        false;  // asked for once more meanwhile: what the first could not see may be held now
    bool attempted = false;  // an attempt has gone out since: see attemptGoesOut()
    std::vector<std::function<void()>> after;
  };

  void step(const routing::RequestId& request);
  void checkTime(const routing::RequestId& request, Releasing& state);
  std::optional<double> roundMs(const routing::RequestId& request, const Releasing& state) const;
  void ask(const routing::RequestId& request,
           Releasing& state,
           const routing::InstanceId& instance);
  void answered(const routing::RequestId& request,
                std::uint64_t call,
                const routing::InstanceId& by,
                bool through);
  void leaveUnwritten(Releasing& state);
  void finish(const routing::RequestId& request);
  const routing::InstanceId* best(const Releasing& state) const;

  net::ConnectionPool& pool_;
  InstanceDirectory& directory_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  double withinMs_;
  Head head_;
  HeldBackMs heldBackMs_;
  Report report_;
  std::map<routing::RequestId, Releasing> releases_;
  std::map<routing::RequestId, int> placesOut_;
  std::uint64_t calls_ = 0;
  std::size_t out_ = 0;  // calls of all releases without an answer
};

}  // namespace inference_router::upstream
