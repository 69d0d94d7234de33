// The watch on the fleet list. While it is broken the list stays as it is and the watch is opened
// anew.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/counters.h"
#include "core/ports.h"
#include "core/timer_queue.h"
#include "fleet/discovery_backoff.h"
#include "fleet/instance_ages.h"
#include "net/pool.h"
#include "upstream/instance_directory.h"
#include "settings_parser.h"

namespace inference_router::frontend {

class Discovery {
 public:
  // droppable: the pool of the instances, whose idle connections go when an instance restarts or
  // leaves.
  Discovery(boost::asio::io_context& io,
            const core::Clock& clock,
            core::TimerQueue& timers,
            core::Counters& counters,
            core::EndpointListSink& lists,
            upstream::InstanceDirectory& directory,
            net::ConnectionPool& droppable,
            const routing::wire::Vocabulary& names,
            fleet::DiscoveryBackoff pace);

  ~Discovery();

  // The list that the configuration carries: possibly old. Throws on what is no list.
  void known(const nlohmann::json& list);
  // Also while another address is watched: the list stays, and that watch too, until the new one
  // speaks.
  void watch(const net::Endpoint& address);
  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    own_.accountTo(descriptorBudget, admission::Account::kDiscovery);
  }
  bool spoken() const { return watch_ != nullptr; }  // whether a watch has said anything
  // One line of the watch; false if it is no list.
  bool line(std::string_view text);

 private:
  class Watch;

  void open();
  void spoke(const Watch& watch);
  void broken(const Watch& watch);
  bool silent(const Watch& watch);  // whether that one is kept
  void openLater();
  void leaveNext();
  void apply(const nlohmann::json& list, std::optional<routing::EndpointListForm> form);
  // Sets when the instances of a list started, from the start times that it tells.
  void fixAges(routing::EndpointListUpdate& news,
               const std::map<routing::InstanceId, upstream::InstanceEndpoint>& told);

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  core::EndpointListSink& lists_;
  upstream::InstanceDirectory& directory_;
  net::ConnectionPool& endpoints_;
  const routing::wire::Vocabulary& names_;
  net::ConnectionPool own_;
  net::Endpoint address_, spokenFor_;    // where to watch, and where the version was told
  std::shared_ptr<Watch> watch_, next_;  // the one that speaks, and the one that has not spoken yet
  std::optional<core::TimerQueue::Key> reopen_;
  bool doubted_ = false;  // the watch has gone silent, and another is tried beside it
  fleet::DiscoveryBackoff pace_;
  fleet::InstanceAges ages_;
  std::uint64_t revision_ = 0;
};

}  // namespace inference_router::frontend
