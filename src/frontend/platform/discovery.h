/// The watch on the fleet's endpoint list. While it is broken the list stays as it is and the watch
/// is opened anew.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/counters.h"
#include "core/ports.h"
#include "core/timer_queue.h"
#include "fleet/discovery_backoff.h"
#include "fleet/instance_ages.h"
#include "frontend/platform/discovery_watch.h"
#include "net/pool.h"
#include "settings_parser.h"
#include "upstream/instance_directory.h"

namespace inference_router::frontend {

/// Belongs to one thread; all that it is given outlives it.
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

  /// Takes the list that the configuration carries: possibly old. Throws json::exception or
  /// net::AddressError on what is no list.
  void loadCached(const nlohmann::json& list);
  /// Also while another address is watched: the list stays, and that watch too, until the new one
  /// has sent something.
  void watch(const net::Endpoint& address);
  /// Where its descriptors are accounted for.
  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    watchPool_.accountTo(descriptorBudget, admission::Account::kDiscovery);
  }
  /// Whether there is a watch that has sent something.
  bool hasWatch() const { return watch_ != nullptr; }
  /// Takes one document of a watch; false if it is no list. Blank text is a sign of life.
  bool onDocument(std::string_view text) override;

 private:
  void onAlive(const DiscoveryWatch& watch) override;
  bool onSilent(const DiscoveryWatch& watch) override;
  void onEnded(const DiscoveryWatch& watch) override;

  void open();
  void scheduleOpen();
  void dropCandidate();
  void apply(const nlohmann::json& list, std::optional<routing::EndpointListForm> form);
  // Sets when the instances of a list started, from the start times that it tells.
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
  net::Endpoint revisionAddress_;              // where revision_ was told
  std::shared_ptr<DiscoveryWatch> watch_;      // has sent something
  std::shared_ptr<DiscoveryWatch> candidate_;  // has not sent anything yet
  core::Timer openTimer_;
  bool watchSilent_ = false;  // the watch has gone silent, and another is tried beside it
  fleet::DiscoveryBackoff backoff_;
  fleet::InstanceAges ages_;
  std::uint64_t revision_ = 0;
};

}  // namespace inference_router::frontend
