/// Task leases in etcd. A task's lease is a key that is attached to an etcd lease, so that it is
/// deleted when the etcd lease expires. The task's fence is a second key, which is written in the
/// same transaction and outlives the lease.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "coordination/etcd_client.h"
#include "coordination/lease.h"

namespace inference_router::coordination {

class EtcdLeases {
 public:
  using Callback = std::function<void(const LeaseResponse&)>;

  /// prefix: common prefix of all keys. The client's callbacks use this object: none may run after
  /// it is destroyed.
  EtcdLeases(EtcdClient& client,
             const core::Clock& clock,
             core::Counters& counters,
             std::string prefix);

  void request(const LeaseRequest& request, const Callback& callback);

  /// Returns the conditions for a transaction that may succeed only under this fence; nothing if
  /// this process no longer holds the lease under it.
  std::optional<nlohmann::json> fenceConditions(const Fence& fence) const;
  /// Returns the reads to execute if the transaction fails, as input for staleByReads().
  nlohmann::json fenceReads(const Fence& fence) const;
  /// Whether the transaction failed because of its fence, judged by the responses to fenceReads().
  static bool staleByReads(const nlohmann::json& transaction, const Fence& fence);

 private:
  /// A lease that this process holds. Revisions and ids are decimal strings, as in etcd's JSON.
  struct HeldLease {
    std::string etcdLease;
    std::string createRevision;  // of the lease's key
    std::uint64_t fence = 0;
    double acquiredUnixMs = 0;
  };

  void acquire(const LeaseRequest& request, const Callback& callback);
  void respondHeld(const LeaseRequest& request,
                   const nlohmann::json& keyValue,
                   const Callback& callback);
  void grantAndWriteLease(const LeaseRequest& request,
                          const nlohmann::json& current,
                          const Callback& callback);
  void writeLease(const LeaseRequest& request,
                  const nlohmann::json& current,
                  const std::string& etcdLease,
                  const Callback& callback);
  void onLeaseWritten(const LeaseRequest& request,
                      const LeaseRecord& record,
                      const std::string& etcdLease,
                      const nlohmann::json& transaction,
                      const Callback& callback);
  void renew(const LeaseRequest& request, const HeldLease& held, const Callback& callback);
  void keepAlive(const LeaseRequest& request,
                 const std::string& etcdLease,
                 const Callback& callback);
  void release(const LeaseRequest& request, const HeldLease& held, const Callback& callback);
  void revoke(const std::string& etcdLease);
  nlohmann::json holdConditions(const std::string& task, const HeldLease& held) const;

  std::string leaseKey(const std::string& task) const { return prefix_ + "lease/" + task; }
  std::string fenceKey(const std::string& task) const { return prefix_ + "fence/" + task; }

  EtcdClient& client_;
  const core::Clock& clock_;
  core::Counters& counters_;
  std::string prefix_;
  std::map<std::string, HeldLease> heldLeases_;  // by task
};

}  // namespace inference_router::coordination
