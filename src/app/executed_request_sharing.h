/// Tells another process of this router, which replaces it or is replaced by it, the ids of
/// requests that may have run: their clients may return to either process.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/request_dispatcher.h"
#include "core/timer_queue.h"
#include "net/descriptor_transfer.h"

namespace inference_router::app {

/// Belongs to the thread of the dispatcher's loop. All that it refers to must outlive it.
class ExecutedRequestSharing {
 public:
  ExecutedRequestSharing(core::RequestDispatcher& dispatcher,
                         const core::Clock& clock,
                         core::TimerQueue& timers)
      : dispatcher_(dispatcher), clock_(clock), timers_(timers) {}

  /// Tells all ids that are known, be it none, and each further one, to the process that receives
  /// under this name in the folder. Does nothing while that process is told already.
  void shareWith(const std::string& folder, const std::string& receiverName);
  /// Reads a message of another process. Returns false if it is of another kind.
  bool receive(const std::string& message);
  /// Whether another process has told the ids that it knew.
  bool wasTold() const { return wasTold_; }

 private:
  void tick();
  bool tellEnded();
  void tellExecuting();
  bool send(const std::vector<routing::RequestId>& ids);

  core::RequestDispatcher& dispatcher_;
  const core::Clock& clock_;
  core::TimerQueue& timers_;
  std::unique_ptr<net::DescriptorSender> receiver_;
  std::string receiverName_;
  std::set<routing::RequestId> executing_;  // under way, and told
  std::uint64_t endedTold_ = 0;             // of the requests that have ended
  bool wasTold_ = false;
  core::Timer timer_;
};

}  // namespace inference_router::app
