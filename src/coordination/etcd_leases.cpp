#include "coordination/etcd_leases.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "coordination/etcd_encoding.h"
#include "coordination/lease_encoding.h"

namespace inference_router::coordination {

using nlohmann::json;
using namespace etcd;

namespace {

constexpr const char* kGrantPath = "/v3/lease/grant";
constexpr const char* kKeepAlivePath = "/v3/lease/keepalive";
constexpr const char* kTimeToLivePath = "/v3/lease/timetolive";
constexpr const char* kRevokePath = "/v3/lease/revoke";

// Added to a remaining time, since etcd rounds it down to whole seconds.
constexpr double kMeanRoundingMs = 500;

// Indices of the responses of the transactions below.
constexpr std::size_t kLeaseResponse = 0;
constexpr std::size_t kFenceResponse = 1;
constexpr std::size_t kWrittenLeaseResponse = 2;

LeaseResponse unavailable(const LeaseRequest& request) {
  LeaseResponse response;
  response.number = request.number;
  return response;
}

std::optional<LeaseRecord> recordIn(const json& keyValue) {
  return keyValue.is_null() ? std::nullopt : parseLeaseRecord(valueOf(keyValue));
}

std::string modRevision(const json& keyValue) {
  return keyValue.is_null() ? "0" : numberText(keyValue, "mod_revision");
}

/// Estimates the remaining time of another holder's lease, at most maxMs, so that a candidate
/// retries about when the lease ends and not a full lease duration later.
double remainingMs(const std::optional<json>& timeToLive, double maxMs) {
  const std::string text = timeToLive ? numberText(*timeToLive, "TTL") : "";
  double seconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (text.empty() || parsed.ec != std::errc())
    return maxMs;
  return std::clamp(seconds * 1000 + kMeanRoundingMs, 0.0, maxMs);
}

}  // namespace

EtcdLeases::EtcdLeases(EtcdClient& client,
                       const core::Clock& clock,
                       core::Counters& counters,
                       std::string prefix)
    : client_(client), clock_(clock), counters_(counters), prefix_(std::move(prefix)) {}

void EtcdLeases::request(const LeaseRequest& request, const Callback& callback) {
  if (request.operation == LeaseOperation::kAcquire)
    return acquire(request, callback);
  const auto held = heldLeases_.find(request.task);
  if (held == heldLeases_.end() || held->second.fence != request.fence) {
    LeaseResponse lost = unavailable(request);
    lost.result = LeaseResult::kLost;
    return callback(lost);
  }
  if (request.operation == LeaseOperation::kRenew)
    renew(request, held->second, callback);
  else
    release(request, held->second, callback);
}

void EtcdLeases::acquire(const LeaseRequest& request, const Callback& callback) {
  const json readRequest{
      {"success", {rangeRequest(leaseKey(request.task)), rangeRequest(fenceKey(request.task))}}};
  client_.call(EtcdClient::kTransactionPath, readRequest,
               [this, request, callback](std::optional<json> current) {
                 if (!current)
                   return callback(unavailable(request));
                 const json keyValue = firstKeyValue(*current, kLeaseResponse);
                 const auto record = recordIn(keyValue);
                 const bool free =
                     keyValue.is_null() || (record && record->holder == request.holder);
                 if (free)
                   grantAndWriteLease(request, *current, callback);
                 else
                   respondHeld(request, keyValue, callback);
               });
}

void EtcdLeases::respondHeld(const LeaseRequest& request,
                             const json& keyValue,
                             const Callback& callback) {
  LeaseResponse held = unavailable(request);
  held.result = LeaseResult::kHeld;
  held.record = recordIn(keyValue);
  held.remainingMs = request.ttlMs;
  if (held.record)
    held.fence = held.record->fence;
  else
    ++counters_["coordination.foreign"];  // another program uses these keys
  client_.call(kTimeToLivePath, {{"ID", numberText(keyValue, "lease")}},
               [held, callback](const std::optional<json>& timeToLive) mutable {
                 held.remainingMs = remainingMs(timeToLive, held.remainingMs);
                 callback(held);
               });
}

/// current: the response with the current values of the lease's and the fence's keys.
void EtcdLeases::grantAndWriteLease(const LeaseRequest& request,
                                    const json& current,
                                    const Callback& callback) {
  const json grant{{"TTL", std::to_string(std::llround(request.ttlMs / 1000))}, {"ID", "0"}};
  client_.call(kGrantPath, grant,
               [this, request, callback, current](const std::optional<json>& granted) {
                 const std::string etcdLease = granted ? numberText(*granted, "ID") : "0";
                 if (etcdLease == "0")
                   return callback(unavailable(request));
                 writeLease(request, current, etcdLease, callback);
               });
}

/// Writes the lease's key and the fence, provided that neither has changed since it was read. The
/// key is new or stems from an earlier request of this process.
void EtcdLeases::writeLease(const LeaseRequest& request,
                            const json& current,
                            const std::string& etcdLease,
                            const Callback& callback) {
  const json lease = firstKeyValue(current, kLeaseResponse);
  const json fence = firstKeyValue(current, kFenceResponse);
  const std::uint64_t newFence = std::max(parseNumber(valueOf(fence)), request.fence) + 1;
  const LeaseRecord record{request.holder, newFence, request.number, request.progress,
                           clock_.nowMs()};
  const std::string key = leaseKey(request.task);
  const std::string keyOfFence = fenceKey(request.task);
  const json transaction{
      {"compare",
       {modifiedAt(key, modRevision(lease)), modifiedAt(keyOfFence, modRevision(fence))}},
      {"success",
       {putRequest(key, serialize(record), etcdLease),
        putRequest(keyOfFence, std::to_string(newFence)), rangeRequest(key)}},
      {"failure", {rangeRequest(key)}}};
  client_.call(EtcdClient::kTransactionPath, transaction,
               [this, request, callback, etcdLease, record](const std::optional<json>& response) {
                 if (!response)
                   return callback(unavailable(request));
                 onLeaseWritten(request, record, etcdLease, *response, callback);
               });
}

void EtcdLeases::onLeaseWritten(const LeaseRequest& request,
                                const LeaseRecord& record,
                                const std::string& etcdLease,
                                const json& transaction,
                                const Callback& callback) {
  LeaseResponse response = unavailable(request);
  if (!succeeded(transaction)) {
    revoke(etcdLease);
    const json keyValue = firstKeyValue(transaction, kLeaseResponse);
    response.result = LeaseResult::kHeld;
    response.record = recordIn(keyValue);
    response.fence = response.record ? response.record->fence : 0;
    response.remainingMs = keyValue.is_null() ? 0 : request.ttlMs;
    return callback(response);
  }
  const json keyValue = firstKeyValue(transaction, kWrittenLeaseResponse);
  heldLeases_[request.task] = {etcdLease, numberText(keyValue, "create_revision"), record.fence,
                               record.acquiredUnixMs};
  response.result = LeaseResult::kGranted;
  response.record = record;
  response.fence = record.fence;
  response.remainingMs = request.ttlMs;
  callback(response);
}

/// Conditions: the lease's key is still the one that this process created, and the fence is the
/// newest.
json EtcdLeases::holdConditions(const std::string& task, const HeldLease& held) const {
  return {createdAt(leaseKey(task), held.createRevision),
          valueEquals(fenceKey(task), std::to_string(held.fence))};
}

/// Checks and rewrites the key before the keep-alive, because the keep-alive alone does not prove
/// who owns the key.
void EtcdLeases::renew(const LeaseRequest& request,
                       const HeldLease& held,
                       const Callback& callback) {
  const LeaseRecord record{request.holder, request.fence, request.number, request.progress,
                           held.acquiredUnixMs};
  const std::string key = leaseKey(request.task);
  const json transaction{{"compare", holdConditions(request.task, held)},
                         {"success", {putRequest(key, serialize(record), held.etcdLease)}},
                         {"failure", {rangeRequest(key)}}};
  client_.call(
      EtcdClient::kTransactionPath, transaction,
      [this, request, callback, etcdLease = held.etcdLease](const std::optional<json>& response) {
        if (!response)
          return callback(unavailable(request));
        if (succeeded(*response))
          return keepAlive(request, etcdLease, callback);
        LeaseResponse lost = unavailable(request);
        lost.result = LeaseResult::kLost;
        lost.record = recordIn(firstKeyValue(*response, kLeaseResponse));
        lost.fence = lost.record ? lost.record->fence : 0;
        callback(lost);
      });
}

void EtcdLeases::keepAlive(const LeaseRequest& request,
                           const std::string& etcdLease,
                           const Callback& callback) {
  client_.call(kKeepAlivePath, {{"ID", etcdLease}},
               [request, callback](const std::optional<json>& keptAlive) {
                 if (!keptAlive)
                   return callback(unavailable(request));
                 const bool alive = number(keptAlive->value("result", json::object()), "TTL") > 0;
                 LeaseResponse response = unavailable(request);
                 response.result = alive ? LeaseResult::kGranted : LeaseResult::kLost;
                 response.fence = alive ? request.fence : 0;
                 response.remainingMs = request.ttlMs;
                 callback(response);
               });
}

void EtcdLeases::release(const LeaseRequest& request,
                         const HeldLease& held,
                         const Callback& callback) {
  const json transaction{{"compare", holdConditions(request.task, held)},
                         {"success", {deleteRequest(leaseKey(request.task))}}};
  client_.call(
      EtcdClient::kTransactionPath, transaction,
      [this, request, callback, etcdLease = held.etcdLease](const std::optional<json>& response) {
        if (!response)
          return callback(unavailable(request));
        LeaseResponse released = unavailable(request);
        released.result = succeeded(*response) ? LeaseResult::kReleased : LeaseResult::kLost;
        heldLeases_.erase(request.task);
        revoke(etcdLease);
        callback(released);
      });
}

void EtcdLeases::revoke(const std::string& etcdLease) {
  client_.call(kRevokePath, {{"ID", etcdLease}}, [](const std::optional<json>&) {});
}

std::optional<json> EtcdLeases::fenceConditions(const Fence& fence) const {
  const auto held = heldLeases_.find(fence.task());
  if (held == heldLeases_.end() || held->second.fence != fence.number())
    return std::nullopt;
  return holdConditions(fence.task(), held->second);
}

json EtcdLeases::fenceReads(const Fence& fence) const {
  return {rangeRequest(leaseKey(fence.task())), rangeRequest(fenceKey(fence.task()))};
}

bool EtcdLeases::staleByReads(const json& transaction, const Fence& fence) {
  return firstKeyValue(transaction, kLeaseResponse).is_null() ||
         valueOf(firstKeyValue(transaction, kFenceResponse)) != std::to_string(fence.number());
}

}  // namespace inference_router::coordination
