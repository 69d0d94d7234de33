/// One long-lived call to discovery, which returns endpoint lists and keep-alives.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/clock.h"
#include "core/timer_queue.h"
#include "frontend/platform/json_document_splitter.h"
#include "net/endpoint.h"
#include "net/pool.h"

namespace inference_router::frontend {

class DiscoveryWatch;

/// What a document of a watch is.
enum class DocumentKind {
  kList,
  kKeepAlive,  ///< blank text
  kMalformed,
};

/// Why a watch has ended or failed.
enum class WatchEnd {
  kNoConnection,     ///< refused, or not up in time
  kReset,            ///< the connection broke
  kInvalidResponse,  ///< no valid HTTP response, or one that stopped midway
  kErrorStatus,      ///< answered with another status than 200
  kSilent,           ///< nothing, or no list, within the timeout
  kMalformed,        ///< sent what is no list
  kFinished,         ///< discovery has ended the response
  kWithdrawn,        ///< this machine had no connection for it
  kCount,
};
const char* nameOf(WatchEnd end);

/// Receives the events of watches. May drop the watch in any of these calls except onDocument().
class DiscoveryWatchOwner {
 public:
  virtual ~DiscoveryWatchOwner() = default;
  /// The request was sent; the response is awaited.
  virtual void onSent(const DiscoveryWatch& watch) = 0;
  /// A document was received. A malformed one ends the watch.
  virtual DocumentKind onDocument(std::string_view text) = 0;
  /// The document was accepted, and the watch has sent a list if it has to.
  virtual void onAlive(const DiscoveryWatch& watch) = 0;
  /// Nothing was received within the timeout. Returns whether the watch stays open nevertheless.
  virtual bool onSilent(const DiscoveryWatch& watch) = 0;
  /// The call has ended or failed.
  virtual void onEnded(const DiscoveryWatch& watch, WatchEnd end) = 0;
};

/// What a watch asks for.
struct WatchTarget {
  net::Endpoint address;
  /// Keep-alives do not count before the first list, as the call asks for a whole list.
  bool needsList = false;
};

/// The sink of a watch's call. The owner, the clock and the timers must outlive it. A call and its
/// sink own each other while the call runs, so the owner must close each watch that it drops.
class DiscoveryWatch final : public net::CallSink {
 public:
  /// Limits one document of discovery.
  static constexpr std::size_t kMaxDocumentBytes = std::size_t{4} * 1024 * 1024;

  DiscoveryWatch(DiscoveryWatchOwner& owner,
                 const core::Clock& clock,
                 core::TimerQueue& timers,
                 WatchTarget target)
      : owner_(owner),
        clock_(clock),
        timers_(timers),
        address_(std::move(target.address)),
        needsList_(target.needsList) {}

  /// Takes the call whose sink this is, and starts the timeout for its first byte.
  void start(std::shared_ptr<net::Call> call);
  /// Ends the call without further events to the owner.
  void close();
  const net::Endpoint& address() const { return address_; }

  void written() override { owner_.onSent(*this); }
  void head(const net::ResponseHead& head) override;
  bool body(std::string_view bytes) override;
  void done() override { end(accepted_ ? WatchEnd::kFinished : WatchEnd::kErrorStatus); }
  void failed(net::CallFailure failure) override;

 private:
  bool accept(std::string_view document);
  void armSilenceTimer(double ms);
  void timedOut();
  void fail(WatchEnd end);
  void end(WatchEnd end);

  DiscoveryWatchOwner& owner_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  net::Endpoint address_;
  std::shared_ptr<net::Call> call_;
  core::Timer silenceTimer_;
  std::string text_;
  JsonDocumentSplitter splitter_;
  bool accepted_ = false;  // the response has the status 200
  bool needsList_;         // no list has been received that the call asks for
  bool limited_ = false;   // the silence timer runs on until that list
};

}  // namespace inference_router::frontend
