// A fake etcd cluster with one member. It implements the part of the v3 API that the program uses,
// in the JSON encoding of the gateway: revisions, compare-and-swap and leases that expire. Faults
// can be injected, and all changes are recorded in order for later checks.
#pragma once

#include <boost/beast/core/detail/base64.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/network_fixture.h"

namespace inference_router {

class EtcdStandIn final : public net::RequestHandler {
 public:
  using json = nlohmann::json;

  struct Event {  // the change of one key
    enum class Kind { kPut, kDeleted, kExpired } kind;
    std::string key, value;
    double atMs;
  };

  EtcdStandIn(boost::asio::io_context& io, const core::Clock& clock, core::TimerQueue& timers)
      : clock_(clock),
        timers_(timers),
        listener_(
            std::make_unique<net::Listener>(io, anyPort(), 1000, *this, clock, timers, counters_)) {
  }

  net::Endpoint address() const { return listener_->address(); }
  const std::vector<Event>& history() const { return history_; }
  std::optional<std::string> value(const std::string& key) {
    expire();
    const auto it = keys_.find(key);
    return it == keys_.end() ? std::nullopt : std::optional(it->second.value);
  }
  std::uint64_t revision() const { return revision_; }

  // ---- Faults

  // Responds with status 503, like members without a leader; leases do not expire meanwhile.
  bool noLeader = false;
  // Selects requests that are executed, but whose connection is closed instead of a response.
  std::function<bool(const json&)> loseResponse;
  double responseDelayMs = 0;

  // Simulates a change of leader, which extends every lease by its whole duration.
  void newLeader() {
    for (auto& [id, lease] : leases_)
      lease.untilMs = clock_.nowMs() + lease.ttlMs;
    noLeader = false;
  }
  // A backup of all keys with their revisions, and its restoration.
  struct Backup;
  std::shared_ptr<Backup> makeBackup() const;
  void restore(const Backup& backup);

  // ---- HTTP requests
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double) override {
    const std::string path(request.target());
    json body = json::parse(request.body(), nullptr, false);
    if (request.method() != boost::beast::http::verb::post || !body.is_object())
      return error(connection, 400, 3, "not a request of this API");
    const auto respond = [this, connection, path, body] {
      if (noLeader)
        return error(connection, 503, 14, "etcdserver: no leader");
      expire();
      try {
        const json response = execute(path, body);
        if (loseResponse && loseResponse(body))
          return connection->abortResponse();
        connection->answer(200, {{"Content-Type", "application/json"}}, response.dump());
      } catch (const RequestError& requestError) {
        error(connection, requestError.status, requestError.code, requestError.message);
      }
    };
    if (responseDelayMs > 0)
      timers_.runAt(clock_.nowMs() + responseDelayMs, respond);
    else
      respond();
  }
  void disconnected(net::ClientConnection&) override {}
  void writable(net::ClientConnection&) override {}
  void reject(net::ClientConnection& connection, unsigned status, std::string_view) override {
    connection.answer(status, {}, "");
  }

  static std::string decoded(const std::string& text) {
    namespace base64 = boost::beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
  }

 private:
  struct Key {
    std::string value;
    std::uint64_t created = 0, modified = 0, version = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double ttlMs, untilMs;
  };
  struct RequestError {
    unsigned status;
    int code;
    std::string message;
  };

  static std::string encoded(const std::string& bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
  }
  static std::uint64_t number(const json& object, const char* field) {
    if (!object.contains(field))
      return 0;
    return object.at(field).is_string() ? std::stoull(object.at(field).get<std::string>())
                                        : object.at(field).get<std::uint64_t>();
  }
  static std::string bytes(const json& object, const char* field) {
    return decoded(object.value(field, ""));
  }
  json header() const {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision_)},
            {"raft_term", "2"}};
  }
  void error(const std::shared_ptr<net::ClientConnection>& connection,
             unsigned status,
             int code,
             const std::string& message) {
    connection->answer(status, {{"Content-Type", "application/json"}},
                       json{{"error", message}, {"code", code}, {"message", message}}.dump());
  }

  void expire() {
    if (noLeader)
      return;
    const double now = clock_.nowMs();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now < it->second.untilMs)
        ++it;
      else
        it = removeLease(it, Event::Kind::kExpired);
    }
  }
  std::map<std::uint64_t, Lease>::iterator removeLease(
      std::map<std::uint64_t, Lease>::iterator lease,
      Event::Kind kind) {
    for (auto key = keys_.begin(); key != keys_.end();) {
      if (key->second.lease != lease->first) {
        ++key;
        continue;
      }
      history_.push_back({kind, key->first, key->second.value, clock_.nowMs()});
      ++revision_;
      key = keys_.erase(key);
    }
    return leases_.erase(lease);
  }

  json range(const json& request) const {
    const std::string begin = bytes(request, "key"), rangeEnd = bytes(request, "range_end");
    if (const auto revision = number(request, "revision"); revision != 0 && revision < compacted_)
      throw RequestError{400, 11, "etcdserver: mvcc: required revision has been compacted"};
    json keyValues = json::array();
    const auto end = rangeEnd.empty() ? keys_.upper_bound(begin) : keys_.lower_bound(rangeEnd);
    for (auto it = keys_.lower_bound(begin); it != end; ++it)
      keyValues.push_back({{"key", encoded(it->first)},
                           {"value", encoded(it->second.value)},
                           {"create_revision", std::to_string(it->second.created)},
                           {"mod_revision", std::to_string(it->second.modified)},
                           {"version", std::to_string(it->second.version)},
                           {"lease", std::to_string(it->second.lease)}});
    json response{{"header", header()}};
    if (!keyValues.empty())
      response["kvs"] = keyValues, response["count"] = std::to_string(keyValues.size());
    return response;
  }

  bool isMet(const json& compare) const {
    const auto it = keys_.find(bytes(compare, "key"));
    const Key missing, &key = it == keys_.end() ? missing : it->second;
    const std::string target = compare.value("target", "VERSION");
    if (compare.value("result", "EQUAL") != "EQUAL")
      throw RequestError{400, 3, "only comparisons for equality are supported"};
    if (target == "CREATE")
      return key.created == number(compare, "create_revision");
    if (target == "MOD")
      return key.modified == number(compare, "mod_revision");
    if (target == "VERSION")
      return key.version == number(compare, "version");
    return it != keys_.end() && key.value == bytes(compare, "value");
  }

  json transaction(const json& request) {
    bool conditionsMet = true;
    for (const json& compare : request.value("compare", json::array()))
      conditionsMet = conditionsMet && isMet(compare);
    const json operations = request.value(conditionsMet ? "success" : "failure", json::array());
    bool writes = false;
    std::set<std::string> changedKeys;
    for (const json& operation : operations) {
      if (operation.contains("request_range"))
        continue;
      writes = true;
      const json& change = operation.contains("request_put") ? operation["request_put"]
                                                             : operation["request_delete_range"];
      if (!changedKeys.insert(bytes(change, "key")).second)
        throw RequestError{400, 3, "etcdserver: duplicate key given in txn request"};
      const auto lease = number(change, "lease");
      if (lease != 0 && leases_.count(lease) == 0)
        throw RequestError{404, 5, "etcdserver: requested lease not found"};
    }
    if (writes)
      ++revision_;
    json responses = json::array();
    for (const json& operation : operations) {
      if (operation.contains("request_range")) {
        responses.push_back({{"response_range", range(operation["request_range"])}});
      } else if (operation.contains("request_put")) {
        put(operation["request_put"]);
        responses.push_back({{"response_put", {{"header", header()}}}});
      } else {
        const std::string key = bytes(operation["request_delete_range"], "key");
        if (const auto it = keys_.find(key); it != keys_.end()) {
          history_.push_back({Event::Kind::kDeleted, key, it->second.value, clock_.nowMs()});
          keys_.erase(it);
        }
        responses.push_back({{"response_delete_range", {{"header", header()}}}});
      }
    }
    json response{{"header", header()}, {"responses", responses}};
    if (conditionsMet)
      response["succeeded"] = true;  // the gateway omits false values
    return response;
  }

  void put(const json& request) {
    Key& key = keys_[bytes(request, "key")];
    key.value = bytes(request, "value");
    key.lease = number(request, "lease");
    key.modified = revision_;
    if (key.version++ == 0)
      key.created = revision_;
    history_.push_back({Event::Kind::kPut, bytes(request, "key"), key.value, clock_.nowMs()});
  }

  json execute(const std::string& path, const json& body) {
    if (path == "/v3/kv/range")
      return range(body);
    if (path == "/v3/kv/txn")
      return transaction(body);
    if (path == "/v3/lease/grant") {
      const std::uint64_t id = 7587800000000000000ULL + ++grantedLeases_;
      const double ttl = static_cast<double>(number(body, "TTL"));
      leases_[id] = {ttl * 1000, clock_.nowMs() + ttl * 1000};
      return {{"header", header()},
              {"ID", std::to_string(id)},
              {"TTL", std::to_string(static_cast<long>(ttl))}};
    }
    const auto lease = leases_.find(number(body, "ID"));
    if (path == "/v3/lease/keepalive") {
      json result{{"header", header()}, {"ID", body.value("ID", "0")}};
      if (lease != leases_.end()) {
        lease->second.untilMs = clock_.nowMs() + lease->second.ttlMs;
        result["TTL"] = std::to_string(static_cast<long>(lease->second.ttlMs / 1000));
      }
      return {{"result", result}};
    }
    // In whole seconds, rounded down; -1 for an expired lease.
    if (path == "/v3/lease/timetolive") {
      const long remainingS =
          lease == leases_.end()
              ? -1
              : static_cast<long>((lease->second.untilMs - clock_.nowMs()) / 1000);
      return {
          {"header", header()}, {"ID", body.value("ID", "0")}, {"TTL", std::to_string(remainingS)}};
    }
    if (path == "/v3/lease/revoke") {
      if (lease == leases_.end())
        throw RequestError{404, 5, "etcdserver: requested lease not found"};
      removeLease(lease, Event::Kind::kDeleted);
      return {{"header", header()}};
    }
    throw RequestError{404, 5, "Not Found"};
  }

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters counters_;
  std::map<std::string, Key> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1, compacted_ = 0, grantedLeases_ = 0;
  std::vector<Event> history_;
  std::unique_ptr<net::Listener> listener_;
};

struct EtcdStandIn::Backup {
  std::map<std::string, Key> keys;
  std::uint64_t revision;
};
inline std::shared_ptr<EtcdStandIn::Backup> EtcdStandIn::makeBackup() const {
  return std::make_shared<Backup>(Backup{keys_, revision_});
}
inline void EtcdStandIn::restore(const Backup& backup) {
  keys_ = backup.keys;
  revision_ = backup.revision;
  compacted_ = backup.revision;
  // Restored keys whose lease no longer exists are deleted, as by its expiry.
  std::erase_if(keys_, [this](const auto& key) {
    return key.second.lease != 0 && leases_.count(key.second.lease) == 0;
  });
}

}  // namespace inference_router
