/// A restart without an interruption: the new process of a router begins to serve beside the old
/// one, which hands its open streams over and ends. They find each other in a shared folder.
#pragma once

#include <functional>
#include <memory>

#include "app/config.h"
#include "app/exclusion_store.h"
#include "app/executed_request_sharing.h"
#include "app/handover.h"
#include "app/server.h"
#include "app/shared_folder.h"

namespace inference_router::app {

/// One process's part in it: opens the listener when it may, keeps within the limits that both
/// processes share, and hands streams over. Belongs to the thread of the server's loop.
class HotRestart {
 public:
  struct Context {
    Server& server;
    net::Listener& listener;
    frontend::Front& front;
    const routing::wire::Setup& setup;
    Limits limits;
    /// Whether discovery has confirmed the endpoint list since the start.
    std::function<bool()> listConfirmed;
  };

  /// folder: null where this process is alone in any case. It must outlive this object, as must
  /// exclusions.
  HotRestart(Context context, SharedFolder* folder, ExclusionStore& exclusions);

  /// Opens the listener: at once where no other process runs, else as soon as this one may.
  void start();
  /// Whether this process knows enough to serve: the endpoint list, the exclusions, and which
  /// requests may have run at another process. After some time without them it serves
  /// all the same.
  bool mayServe() const;

  /// Changes the memory that all processes of this router may use together.
  void setMemory(std::size_t memoryMb);

  /// Whether another process serves at the same address, so that this one can close its listener
  /// at once.
  bool hasSuccessor();
  /// From now on open streams go to the successor, as soon as there is one.
  void handOver();
  /// Whether the successor takes over the streams that are handed to it.
  bool successorTakesStreams() const { return handover_.receiverTakesStreams(); }
  /// Whether streams were sent that may still come back.
  bool handoverUnderWay() const { return handover_.unacknowledged() > 0; }

 private:
  void tick();
  void beginHandover();
  void synchronizeWithFolder();
  void logFolderState(bool usable);
  void openReceiver();
  void openListener();
  void announceServing();
  void withdrawServing();
  void receive(net::ReceivedMessage message);
  void limitMemory();
  void shareLimits(const SharedFolder::OtherProcesses& others);
  bool exclusionsKnownOrOverdue() const;
  bool executedRequestsKnownOrOverdue() const;
  double sinceStartMs() const;

  Context context_;
  SharedFolder* folder_;
  ExclusionStore& exclusions_;
  Handover handover_;
  ExecutedRequestSharing executedRequests_;
  std::unique_ptr<net::DescriptorReceiver> receiver_;
  SharedFolder::OtherProcesses others_;
  bool announced_ = false;     // that this process serves, and not that it ends
  bool handsOver_ = false;     // its streams, to whoever succeeds it
  bool folderFailed_ = false;  // as was logged last
  double startedMs_;
  core::Timer timer_;
};

}  // namespace inference_router::app
