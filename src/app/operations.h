// What operators' calls act on: the parts of the running program, and what two processes of one
// router share while one replaces the other.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/admission_watch.h"
#include "app/config.h"
#include "app/handover.h"
#include "app/server.h"
#include "app/shared_folder.h"
#include "control/commands.h"
#include "fleet/lifecycle.h"

namespace inference_router::app {

class Coordinator;
class SharedStateService;

class Operations final : public control::Service {
 public:
  struct Parts {
    Server& server;
    net::Listener& listener;
    const routing::wire::Setup& setup;
    Limits limits;
    std::function<bool()> spoken;  // whether the list is what discovery says now
    frontend::Front& front;
    bool doors = false;  // whether anybody can ask
  };

  // folder: none where this process is alone in any case.
  Operations(Parts parts, std::unique_ptr<SharedFolder> folder);
  ~Operations() override;

  void admissionBy(AdmissionWatch& watch) { admission_ = &watch; }
  void coordinatedBy(Coordinator& coordinator) { coordinator_ = &coordinator; }
  void sharedBy(SharedStateService& sharedState) { sharedState_ = &sharedState; }

  // Opens the listener: at once where nobody serves, else as soon as the list is known.
  void start();
  // Whether another process serves at the same address, so that nothing is lost if this one closes
  // its door.
  bool hasSuccessor();
  // Streams that are open go to that process from now on.
  void handOver();
  bool handsOver() const {
    return handover_.unacknowledged() > 0;
  }  // and might have to go on with it

  Done ready() override;
  Done exclude(const std::string& id) override;
  Done include(const std::string& id) override;
  Done evacuate() override;
  Done activate() override;
  const core::RequestMetrics& metrics() override { return parts_.server.dispatcher.metrics(); }
  std::size_t open() override { return parts_.server.dispatcher.open(); }
  Pool pool() override;
  std::string instances() override;
  std::string admission() override { return admission_ == nullptr ? "" : admission_->report(); }
  std::string leases(bool json) override;
  std::string plan() override;
  std::string shared(bool json) override;
  void maintenance(const std::vector<std::string>& words, std::function<void(Done)> reply) override;
  const std::vector<std::string>& classes() override { return parts_.setup.names.classes; }

 private:
  void tick();
  void share(SharedFolder::OtherProcesses others);
  void openReceiver();
  void lookIntoFolder();
  void readExclusions();
  void merge(const std::string& text);
  bool storeExclusions();
  void sayServing();
  void tell(const std::optional<routing::EndpointListUpdate>& news);
  Done setExcluded(const std::string& id, bool out);
  bool mayServe() const;
  bool exclusionsAreKnown() const;
  void openDoor();
  void reconcileLifecycles();

  Parts parts_;
  std::unique_ptr<SharedFolder> folder_;
  Handover handover_;
  std::unique_ptr<net::DescriptorReceiver> receiver_;
  SharedFolder::OtherProcesses others_;
  bool exclusionsRead_ = false;  // what the folder stores is known here
  bool unstored_ = false;        // what holds here is not stored there
  bool saidServing_ = false;
  bool folderFails_ = false;  // as was logged
  AdmissionWatch* admission_ = nullptr;
  Coordinator* coordinator_ = nullptr;         // none: this router shares nothing
  SharedStateService* sharedState_ = nullptr;  // none: nothing but leases
  std::map<routing::InstanceId, fleet::InstanceLifecycle>
      lifecycles_;  // of the instances that are listed, and of a few that are gone
  double reconciledMs_ = 0;
  std::optional<core::TimerQueue::Key> next_;
  double startedMs_;
};

}  // namespace inference_router::app
