/// The store for routers on several machines: an etcd cluster, which provides all consensus.
#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/etcd_client.h"
#include "coordination/etcd_leases.h"
#include "coordination/store.h"

namespace inference_router::coordination {

class EtcdStore final : public Store {
 public:
  /// All references must outlive the store.
  EtcdStore(boost::asio::io_context& io,
            const core::Clock& clock,
            core::TimerQueue& timers,
            core::Counters& counters,
            EtcdConfig config);
  /// Charges the connections to etcd to the budget, which must outlive the store.
  void accountTo(admission::DescriptorBudget& descriptorBudget) {
    client_.accountTo(descriptorBudget);
  }

  std::string describe() const override;
  void requestLease(const LeaseRequest& request, LeaseCallback callback) override;
  void commit(const Fence& fence, std::vector<Write> writes, CommitCallback callback) override;
  void write(Write write, CommitCallback callback) override;
  void readAll(ReadCallback callback) override;
  void read(std::vector<std::string> keys, ReadCallback callback) override;

 private:
  nlohmann::json writesTransaction(const std::vector<Write>& writes,
                                   nlohmann::json conditions) const;
  void addDocuments(ReadResponse& response, const nlohmann::json& range) const;
  std::string documentKey(const std::string& key) const { return prefix_ + "doc/" + key; }

  std::string prefix_;
  EtcdClient client_;
  EtcdLeases leases_;
};

}  // namespace inference_router::coordination
