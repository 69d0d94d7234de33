#include "coordination/etcd_store.h"

#include <utility>

#include "coordination/etcd_encoding.h"
#include "coordination/first_call_only.h"

namespace inference_router::coordination {

using nlohmann::json;
using namespace etcd;

namespace {

ReadResponse unreadable() {
  ReadResponse response;
  response.error = "etcd does not respond";
  return response;
}

std::uint64_t revisionOf(const json& response) {
  return number(response.value("header", json::object()), "revision");
}

CommitResponse committed(const json& transaction) {
  return {CommitStatus::kDone, number(transaction.at("header"), "revision")};
}

}  // namespace

EtcdStore::EtcdStore(boost::asio::io_context& io,
                     const core::Clock& clock,
                     core::TimerQueue& timers,
                     core::Counters& counters,
                     EtcdConfig config)
    : prefix_(std::move(config.prefix)),
      client_(io, clock, timers, counters, std::move(config.endpoints), config.callTimeoutMs),
      leases_(client_, clock, counters, prefix_) {}

std::string EtcdStore::describe() const {
  return "etcd " + client_.describe() + " " + prefix_;
}

void EtcdStore::requestLease(const LeaseRequest& request, LeaseCallback callback) {
  leases_.request(request, firstCallOnly(std::move(callback)));
}

void EtcdStore::commit(const Fence& fence, std::vector<Write> writes, CommitCallback callback) {
  if (!withinLimits(writes))
    return callback({CommitStatus::kRefused, 0});
  auto conditions = leases_.fenceConditions(fence);
  if (!conditions)
    return callback({CommitStatus::kStaleFence, 0});
#ifdef INFERENCE_ROUTER_WITHOUT_FENCE  // test program that must fail the consistency checks
  conditions = json::array();
#endif
  json transaction = writesTransaction(writes, std::move(*conditions));
  transaction["failure"] = leases_.fenceReads(fence);
  client_.call(
      EtcdClient::kTransactionPath, transaction,
      [callback = firstCallOnly(std::move(callback)), fence](const std::optional<json>& response) {
        if (!response)
          return callback({CommitStatus::kUnavailable, 0});
        if (succeeded(*response))
          return callback(committed(*response));
        const bool stale = EtcdLeases::staleByReads(*response, fence);
        callback({stale ? CommitStatus::kStaleFence : CommitStatus::kConflict, 0});
      });
}

void EtcdStore::write(Write write, CommitCallback callback) {
  if (!withinLimits({write}))
    return callback({CommitStatus::kRefused, 0});
  json transaction = writesTransaction({write}, json::array());
  transaction["failure"] = json::array();
  client_.call(
      EtcdClient::kTransactionPath, transaction,
      [callback = firstCallOnly(std::move(callback))](const std::optional<json>& response) {
        if (!response)
          return callback({CommitStatus::kUnavailable, 0});
        if (succeeded(*response))
          return callback(committed(*response));
        callback({CommitStatus::kConflict, 0});
      });
}

/// Returns a transaction that executes the writes if all documents have their expected revisions
/// and the conditions are met.
json EtcdStore::writesTransaction(const std::vector<Write>& writes, json conditions) const {
  json changes = json::array();
  for (const Write& write : writes) {
    const std::string key = documentKey(write.key);
    conditions.push_back(modifiedAt(key, std::to_string(write.expectedRevision)));
    changes.push_back(write.value ? putRequest(key, *write.value) : deleteRequest(key));
  }
  return {{"compare", std::move(conditions)}, {"success", std::move(changes)}};
}

void EtcdStore::readAll(ReadCallback callback) {
  const std::string firstKey = documentKey("");
  std::string endKey = firstKey;
  ++endKey.back();  // the range from a prefix to its successor selects all keys with the prefix
  const json range{{"key", encodeBase64(firstKey)},
                   {"range_end", encodeBase64(endKey)},
                   {"limit", std::to_string(kMaxDocuments)}};
  client_.call(EtcdClient::kRangePath, range,
               [this, callback = firstCallOnly(std::move(callback))](std::optional<json> found) {
                 if (!found)
                   return callback(unreadable());
                 ReadResponse response;
                 response.revision = revisionOf(*found);
                 addDocuments(response, *found);
                 // In an incomplete response a missing document would be mistaken for one that does
                 // not exist.
                 response.ok = !found->value("more", false);
                 if (!response.ok)
                   response.error =
                       "there are more than " + std::to_string(kMaxDocuments) + " documents";
                 found.reset();  // frees the JSON's memory before the documents are used
                 callback(response);
               });
}

void EtcdStore::read(std::vector<std::string> keys, ReadCallback callback) {
  json ranges = json::array();
  for (const std::string& key : keys)
    ranges.push_back(rangeRequest(documentKey(key)));
  client_.call(EtcdClient::kTransactionPath, {{"success", ranges}},
               [this, callback = firstCallOnly(std::move(callback))](
                   const std::optional<json>& transaction) {
                 if (!transaction)
                   return callback(unreadable());
                 ReadResponse response;
                 response.revision = revisionOf(*transaction);
                 for (const json& range : transaction->value("responses", json::array()))
                   addDocuments(response, range.value("response_range", json::object()));
                 response.ok = true;
                 callback(response);
               });
}

void EtcdStore::addDocuments(ReadResponse& response, const json& range) const {
  const std::size_t prefixLength = documentKey("").size();
  for (const json& keyValue : range.value("kvs", json::array())) {
    const std::string key = decodeBase64(keyValue.value("key", ""));
    if (key.size() > prefixLength)
      response.documents[key.substr(prefixLength)] = {valueOf(keyValue),
                                                      number(keyValue, "mod_revision")};
  }
}

}  // namespace inference_router::coordination
