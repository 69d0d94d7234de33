/// One long-lived call to discovery, over which endpoint lists and signs of life come.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "frontend/platform/json_document_splitter.h"
#include "net/pool.h"

namespace inference_router::frontend {

class DiscoveryWatch;

/// Who opens watches and hears of them. May drop a watch in each of these calls but onDocument().
class DiscoveryWatchOwner {
 public:
  virtual ~DiscoveryWatchOwner() = default;
  /// One document has come; false if it is no list, which ends the watch.
  virtual bool onDocument(std::string_view text) = 0;
  /// The document was good.
  virtual void onAlive(const DiscoveryWatch& watch) = 0;
  /// Nothing has come for too long. Returns whether the watch goes on all the same.
  virtual bool onSilent(const DiscoveryWatch& watch) = 0;
  /// The call has ended or failed.
  virtual void onEnded(const DiscoveryWatch& watch) = 0;
};

/// The owner, the clock and the timers outlive it. A call and its sink hold each other while the
/// call runs, so the owner closes each watch that it drops.
class DiscoveryWatch final : public net::CallSink {
 public:
  DiscoveryWatch(DiscoveryWatchOwner& owner, const core::Clock& clock, core::TimerQueue& timers)
      : owner_(owner), clock_(clock), timers_(timers) {}

  /// The call whose sink this is.
  void start(std::shared_ptr<net::Call> call);
  /// Ends the call; the owner hears no more.
  void close();

  void head(const net::ResponseHead& head) override;
  bool body(std::string_view bytes) override;
  void done() override { end(); }
  void failed(net::CallFailure) override { end(); }

 private:
  void armSilenceTimer(double ms);
  void timedOut();
  void fail();
  void end();

  DiscoveryWatchOwner& owner_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  std::shared_ptr<net::Call> call_;
  core::Timer silenceTimer_;
  std::string text_;
  JsonDocumentSplitter splitter_;
  bool accepted_ = false;
};

}  // namespace inference_router::frontend
