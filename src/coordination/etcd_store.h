// The store for routers on several machines: an etcd cluster, by its published v3 API through
// the JSON gateway. A lease here is a key that is attached to a lease of etcd's; the fence is a key
// beside it that is changed in the same transaction and outlives it. Nothing of a consensus is
// decided here.
#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "admission/descriptor_budget.h"
#include "coordination/store.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/timer_queue.h"
#include "net/pool.h"

namespace inference_router::coordination {

struct EtcdConfig {
  std::vector<net::Endpoint> endpoints;
  std::string prefix = "dahliastall/";  // of all keys
  double callMs = 1'000;                // for one call of the API
};

class EtcdStore final : public Store {
 public:
  EtcdStore(boost::asio::io_context& io,
            const core::Clock& clock,
            core::TimerQueue& timers,
            core::Counters& counters,
            EtcdConfig place);
  ~EtcdStore() override;
  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    pool_.accountTo(descriptorBudget, admission::Account::kControl);
  }

  std::string describe() const override;
  void ask(const LeaseAsk& ask, std::function<void(const LeaseAnswer&)> answer) override;
  void commit(const Fence& fence,
              std::vector<Write> writes,
              std::function<void(CommitAnswer)> answer) override;
  void put(Write write, std::function<void(CommitAnswer)> answer) override;
  void list(std::function<void(const Listing&)> answer) override;
  void look(std::vector<std::string> keys, std::function<void(const Listing&)> answer) override;

 private:
  class Exchange;
  // What the API said: nothing if no call came back whole, or it was an error.
  using Reply = std::function<void(std::optional<nlohmann::json>)>;
  using LeaseReply = std::function<void(const LeaseAnswer&)>;
  struct Own {            // of a task whose lease this process acquired
    std::string lease;    // etcd's id
    std::string created;  // the revision at which the key was created
    std::uint64_t fence = 0;
    double sinceMs = 0;
  };

  void call(const std::string& path, const nlohmann::json& body, Reply reply);
  void acquire(const LeaseAsk& ask, const LeaseReply& answer);
  void askLeft(const std::string& lease, LeaseAnswer held, const LeaseReply& answer);
  void take(const LeaseAsk& ask,
            const nlohmann::json& before,
            const std::string& lease,
            const LeaseReply& answer);
  void renew(const LeaseAsk& ask, const Own& own, const LeaseReply& answer);
  void release(const LeaseAsk& ask, const Own& own, const LeaseReply& answer);
  void revoke(const std::string& lease);
  void addTo(Listing& all, const nlohmann::json& range) const;
  void write(const Fence* fence,
             const std::vector<Write>& writes,
             const std::function<void(CommitAnswer)>& answer);
  std::string leaseKey(const std::string& task) const { return place_.prefix + "lease/" + task; }
  std::string fenceKey(const std::string& task) const { return place_.prefix + "fence/" + task; }
  std::string docKey(const std::string& key) const { return place_.prefix + "doc/" + key; }

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters& counters_;
  EtcdConfig place_;
  net::ConnectionPool pool_;
  std::size_t at_ = 0;  // the endpoint in use
  std::map<std::string, Own> own_;
  std::set<Exchange*> open_;
};

}  // namespace inference_router::coordination
