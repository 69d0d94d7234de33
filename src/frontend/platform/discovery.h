/// Watches the fleet's endpoint list. While the list is not confirmed by an open watch, the last
/// one remains in use, and calls for a new watch begin again and again, some of them beside others.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/ports.h"
#include "core/timer_queue.h"
#include "fleet/discovery_backoff.h"
#include "fleet/instance_ages.h"
#include "fleet/list_confirmation.h"
#include "frontend/platform/discovery_watch.h"
#include "net/pool.h"
#include "settings_parser.h"
#include "upstream/instance_directory.h"

namespace inference_router::frontend {

/// How current the endpoint list is. Times are of the monotonic clock, in milliseconds.
struct DiscoveryStatus {
  fleet::ListConfirmation list;
  net::Endpoint address;             ///< that is watched, or called next
  std::optional<double> nextCallMs;  ///< nothing if no call is scheduled
  int calls = 0;                     ///< begun since the list was confirmed last
  int waitingCalls = 0;              ///< of these, how many have neither failed nor been accepted
  std::optional<WatchEnd> lastEnd;   ///< of the calls that have failed among them
};

/// Receives endpoint lists from discovery. Used on one thread only; everything passed to the
/// constructor by reference must outlive it.
class Discovery final : public DiscoveryWatchOwner {
 public:
  /// instancePool: its idle connections close when their instance restarts or is removed.
  Discovery(boost::asio::io_context& io,
            const core::Clock& clock,
            core::TimerQueue& timers,
            core::Counters& counters,
            core::EndpointListSink& lists,
            upstream::InstanceDirectory& directory,
            net::ConnectionPool& instancePool,
            const routing::wire::Vocabulary& names,
            fleet::DiscoveryBackoff backoff);
  ~Discovery() override;
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Applies the list from the configuration, which may be outdated. Throws json::exception or
  /// net::AddressError if it is not a valid list.
  void loadCached(const nlohmann::json& list);
  /// Watches an address. If another address is watched already, that watch and the list remain in
  /// use until the new one has sent a document.
  void watch(const net::Endpoint& address);
  /// Sets the budget to which its descriptors are charged.
  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    watchPool_.accountTo(descriptorBudget, admission::Account::kDiscovery);
  }
  /// Another address to call in turn with the watched one while neither has an open watch, each as
  /// often as a single one. The next call of watch() drops it.
  void setFallback(const std::optional<net::Endpoint>& address);
  /// Called before each call that replaces a lost watch or a failed call; may call watch().
  void onRetry(std::function<void()> callback) { onRetry_ = std::move(callback); }
  /// Called when the status changes, and at each call while the list is not confirmed.
  void onStatus(std::function<void(const DiscoveryStatus&)> callback);
  DiscoveryStatus status() const;
  /// Whether there is an open watch that has sent what its call asks for.
  bool hasWatch() const { return watch_ != nullptr; }
  /// Applies one document of a watch. Blank text is a keep-alive.
  DocumentKind onDocument(std::string_view text) override;

 private:
  void onSent(const DiscoveryWatch& watch) override;
  void onAlive(const DiscoveryWatch& watch) override;
  bool onSilent(const DiscoveryWatch& watch) override;
  void onEnded(const DiscoveryWatch& watch, WatchEnd end) override;

  void startCall();
  void makeRoomForCall();
  void callNext();
  bool addressesTakeTurns() const { return !watch_ && fallback_.has_value(); }
  void scheduleCall(double delayMs);
  void scheduleCallAt(double atMs);
  void scheduleCallAfter(WatchEnd end);
  void endSearch();
  void adopt(std::shared_ptr<DiscoveryWatch> candidate);
  void confirm();
  void doubt(fleet::ListDoubt reason, double sinceMs);
  void reportStatus() const;
  void apply(const nlohmann::json& list, std::optional<routing::EndpointListForm> form);
  // Sets the start times of the instances in an update from those in the list.
  void setStartTimes(routing::EndpointListUpdate& update,
                     const std::map<routing::InstanceId, upstream::InstanceEndpoint>& endpoints);

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  core::EndpointListSink& lists_;
  upstream::InstanceDirectory& directory_;
  net::ConnectionPool& instancePool_;
  const routing::wire::Vocabulary& names_;
  net::ConnectionPool watchPool_;
  net::Endpoint address_;
  std::optional<net::Endpoint> fallback_;
  net::Endpoint revisionAddress_;          // the address that sent revision_
  std::shared_ptr<DiscoveryWatch> watch_;  // has sent what its call asks for
  // Calls that have not done so yet, the oldest first: that one keeps its place in discovery's
  // queue, the others are replaced by newer ones.
  std::vector<std::shared_ptr<DiscoveryWatch>> candidates_;
  core::Timer callTimer_;            // armed while the list is unconfirmed
  double nextCallMs_ = 0;            // when callTimer_ is due
  double lastAliveMs_ = 0;           // when a watch last sent a document that was accepted
  int calls_ = 0;                    // since the list was confirmed last
  std::optional<WatchEnd> lastEnd_;  // of these calls
  fleet::ListConfirmation confirmation_;
  std::function<void()> onRetry_;
  std::function<void(const DiscoveryStatus&)> onStatus_;
  bool watchSilent_ = false;  // the watch is silent, and another is tried in parallel
  fleet::DiscoveryBackoff backoff_;
  fleet::InstanceAges ages_;
  std::uint64_t revision_ = 0;
};

}  // namespace inference_router::frontend
