/// Client of etcd's v3 API, through its JSON gateway.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/descriptor_budget.h"
#include "core/callback_guard.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"

namespace inference_router::coordination {

struct EtcdConfig {
  std::vector<net::Endpoint> endpoints;
  std::string prefix = "dahliastall/";  ///< Common prefix of all keys.
  double callTimeoutMs = 1'000;
};

/// Uses one endpoint until a call to it fails, then the next one. Not thread-safe: used on the
/// event loop's thread only.
class EtcdClient {
 public:
  static constexpr const char* kTransactionPath = "/v3/kv/txn";
  static constexpr const char* kRangePath = "/v3/kv/range";

  /// Called with the response's JSON object, or with nothing if the call failed, timed out or
  /// returned an error. If it throws json::exception, as the response has an unexpected form, it is
  /// called once more with nothing. Not called after the client was destroyed.
  using Callback = std::function<void(std::optional<nlohmann::json>)>;

  EtcdClient(boost::asio::io_context& io,
             const core::Clock& clock,
             core::TimerQueue& timers,
             core::Counters& counters,
             std::vector<net::Endpoint> endpoints,
             double callTimeoutMs);
  ~EtcdClient();
  EtcdClient(const EtcdClient&) = delete;
  EtcdClient& operator=(const EtcdClient&) = delete;

  /// Charges the client's connections to the budget, which must outlive the client.
  void accountTo(admission::DescriptorBudget& descriptorBudget);
  /// Returns the endpoints' addresses, separated by spaces.
  std::string describe() const;
  void call(const std::string& path, const nlohmann::json& body, Callback callback);

 private:
  class Exchange;

  void useNextEndpoint() { endpointIndex_ = (endpointIndex_ + 1) % endpoints_.size(); }

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  std::vector<net::Endpoint> endpoints_;
  double callTimeoutMs_;
  net::ConnectionPool pool_;
  std::size_t endpointIndex_ = 0;
  std::set<Exchange*> exchanges_;
  core::CallbackGuard guard_;
};

}  // namespace inference_router::coordination
