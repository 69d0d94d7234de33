// Carries releases to the instances: everything that is held for a request is let go of, whoever holds it,
// and whatever was under way when it was decided. When to ask how many is fleet::ReleaseCourse's; whom, is
// here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/deadlines.h"
#include "fleet/release_course.h"
#include "fronts/boxes/directory.h"
#include "net/pool.h"

namespace dahliastall::fronts {

class Releases {
 public:
  using Head = std::function<std::string(const leverrelay::RequestId&, const Box&)>;  // of the call's message

  Releases(net::Pool& pool, Directory& directory, const core::Clock& clock, core::Deadlines& deadlines,
           core::Counters& counters, Head head);
  ~Releases();

  void release(const leverrelay::RequestId& request);
  // An attempt of it goes out: what was left is its own affair from now on, and nothing more is asked again.
  void attemptGoesOut(const leverrelay::RequestId& request);
  // Done at once if no release is under way, else after it, as it would let go of what comes of this.
  void afterwards(const leverrelay::RequestId& request, std::function<void()> what);
  // A reservation is on its way to an instance, and, later, was answered or has failed. A release that was
  // asked in between may have arrived before it.
  void placeAsked(const leverrelay::RequestId& request) { ++placesOut_[request]; }
  void placeSettled(const leverrelay::RequestId& request);

  std::size_t underWay() const { return releases_.size(); }

 private:
  class Carrier;
  struct Releasing {
    explicit Releasing(double nowMs) : course(nowMs) {}
    fleet::ReleaseCourse course;
    std::map<std::uint64_t, std::shared_ptr<net::Call>> calls;  // without an answer yet
    std::set<leverrelay::EngineId> tried;                       // since all were asked once
    std::optional<core::Deadlines::Key> next;
    bool again = false;      // asked for once more meanwhile: what the first could not see may be held now
    bool forgotten = false;  // an attempt has gone out since: no second time
    std::vector<std::function<void()>> after;
  };

  void step(const leverrelay::RequestId& request);
  void ask(const leverrelay::RequestId& request, Releasing& state, const leverrelay::EngineId& engine);
  void answered(const leverrelay::RequestId& request, std::uint64_t call, bool through);
  void leaveUnwritten(Releasing& state);
  void finish(const leverrelay::RequestId& request);
  const leverrelay::EngineId* best(const std::set<leverrelay::EngineId>& tried) const;

  net::Pool& pool_;
  Directory& directory_;
  const core::Clock& clock_;
  core::Deadlines& deadlines_;
  core::Counters& counters_;
  Head head_;
  std::map<leverrelay::RequestId, Releasing> releases_;
  std::map<leverrelay::RequestId, int> placesOut_;
  std::uint64_t calls_ = 0;
  std::size_t out_ = 0;  // calls of all releases without an answer
};

}  // namespace dahliastall::fronts
