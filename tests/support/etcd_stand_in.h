// A stand-in for an etcd cluster of one: as much of the published v3 API as the program uses, in
// the JSON form of its gateway, with revisions, compare-and-swap, leases that expire, and the
// troubles that a client may meet. What it carries out it writes down, in order, for checkers to
// read.
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

  struct Event {  // one key that changed
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

  // ---- Troubles
  // ------------------------------------------------------------------------------------
  bool noLeader = false;  // answers 503, as members do without one; leases wait meanwhile
  std::function<bool(const json&)>
      loseAnswer;  // carried out, and the connection broken in place of an answer
  double slowMs = 0;

  // As after a change of leader: every lease lives its whole time once more.
  void newLeader() {
    for (auto& [id, lease] : leases_)
      lease.untilMs = clock_.nowMs() + lease.ttlMs;
    noLeader = false;
  }
  // Put back to what it was, revisions and all.
  struct Copy;
  std::shared_ptr<Copy> copy() const;
  void putBack(const Copy& older);

  // ---- The wire
  // ------------------------------------------------------------------------------------
  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double) override {
    const std::string path(request.target());
    json body = json::parse(request.body(), nullptr, false);
    if (request.method() != boost::beast::http::verb::post || !body.is_object())
      return error(connection, 400, 3, "not a request of this API");
    const auto work = [this, connection, path, body] {
      if (noLeader)
        return error(connection, 503, 14, "etcdserver: no leader");
      expire();
      try {
        const json answer = carryOut(path, body);
        if (loseAnswer && loseAnswer(body))
          return connection->abortResponse();
        connection->answer(200, {{"Content-Type", "application/json"}}, answer.dump());
      } catch (const Fault& fault) {
        error(connection, fault.status, fault.code, fault.what);
      }
    };
    if (slowMs > 0)
      timers_.runAt(clock_.nowMs() + slowMs, work);
    else
      work();
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
  struct Fault {
    unsigned status;
    int code;
    std::string what;
  };

  static std::string encoded(const std::string& bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
  }
  static std::uint64_t number(const json& in, const char* name) {
    if (!in.contains(name))
      return 0;
    return in.at(name).is_string() ? std::stoull(in.at(name).get<std::string>())
                                   : in.at(name).get<std::uint64_t>();
  }
  static std::string bytes(const json& in, const char* name) { return decoded(in.value(name, "")); }
  json header() const {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision_)},
            {"raft_term", "2"}};
  }
  void error(const std::shared_ptr<net::ClientConnection>& connection,
             unsigned status,
             int code,
             const std::string& what) {
    connection->answer(status, {{"Content-Type", "application/json"}},
                       json{{"error", what}, {"code", code}, {"message", what}}.dump());
  }

  void expire() {
    if (noLeader)
      return;
    const double now = clock_.nowMs();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now < it->second.untilMs)
        ++it;
      else
        it = drop(it, Event::Kind::kExpired);
    }
  }
  std::map<std::uint64_t, Lease>::iterator drop(std::map<std::uint64_t, Lease>::iterator lease,
                                                Event::Kind why) {
    for (auto key = keys_.begin(); key != keys_.end();) {
      if (key->second.lease != lease->first) {
        ++key;
        continue;
      }
      history_.push_back({why, key->first, key->second.value, clock_.nowMs()});
      ++revision_;
      key = keys_.erase(key);
    }
    return leases_.erase(lease);
  }

  json range(const json& asked) const {
    const std::string from = bytes(asked, "key"), to = bytes(asked, "range_end");
    if (const auto at = number(asked, "revision"); at != 0 && at < compacted_)
      throw Fault{400, 11, "etcdserver: mvcc: required revision has been compacted"};
    json found = json::array();
    const auto end = to.empty() ? keys_.upper_bound(from) : keys_.lower_bound(to);
    for (auto it = keys_.lower_bound(from); it != end; ++it)
      found.push_back({{"key", encoded(it->first)},
                       {"value", encoded(it->second.value)},
                       {"create_revision", std::to_string(it->second.created)},
                       {"mod_revision", std::to_string(it->second.modified)},
                       {"version", std::to_string(it->second.version)},
                       {"lease", std::to_string(it->second.lease)}});
    json answer{{"header", header()}};
    if (!found.empty())
      answer["kvs"] = found, answer["count"] = std::to_string(found.size());
    return answer;
  }

  bool holds(const json& compare) const {
    const auto it = keys_.find(bytes(compare, "key"));
    const Key none, &key = it == keys_.end() ? none : it->second;
    const std::string target = compare.value("target", "VERSION");
    if (compare.value("result", "EQUAL") != "EQUAL")
      throw Fault{400, 3, "the stand-in compares for equality only"};
    if (target == "CREATE")
      return key.created == number(compare, "create_revision");
    if (target == "MOD")
      return key.modified == number(compare, "mod_revision");
    if (target == "VERSION")
      return key.version == number(compare, "version");
    return it != keys_.end() && key.value == bytes(compare, "value");
  }

  json txn(const json& asked) {
    bool all = true;
    for (const json& compare : asked.value("compare", json::array()))
      all = all && holds(compare);
    const json operations = asked.value(all ? "success" : "failure", json::array());
    bool writes = false;
    std::set<std::string> named;
    for (const json& one : operations) {
      if (one.contains("request_range"))
        continue;
      writes = true;
      const json& what =
          one.contains("request_put") ? one["request_put"] : one["request_delete_range"];
      if (!named.insert(bytes(what, "key")).second)
        throw Fault{400, 3, "etcdserver: duplicate key given in txn request"};
      const auto lease = number(what, "lease");
      if (lease != 0 && leases_.count(lease) == 0)
        throw Fault{404, 5, "etcdserver: requested lease not found"};
    }
    if (writes)
      ++revision_;
    json responses = json::array();
    for (const json& one : operations) {
      if (one.contains("request_range")) {
        responses.push_back({{"response_range", range(one["request_range"])}});
      } else if (one.contains("request_put")) {
        put(one["request_put"]);
        responses.push_back({{"response_put", {{"header", header()}}}});
      } else {
        const std::string key = bytes(one["request_delete_range"], "key");
        if (const auto it = keys_.find(key); it != keys_.end()) {
          history_.push_back({Event::Kind::kDeleted, key, it->second.value, clock_.nowMs()});
          keys_.erase(it);
        }
        responses.push_back({{"response_delete_range", {{"header", header()}}}});
      }
    }
    json answer{{"header", header()}, {"responses", responses}};
    if (all)
      answer["succeeded"] = true;  // what is false is left out
    return answer;
  }

  void put(const json& asked) {
    Key& key = keys_[bytes(asked, "key")];
    key.value = bytes(asked, "value");
    key.lease = number(asked, "lease");
    key.modified = revision_;
    if (key.version++ == 0)
      key.created = revision_;
    history_.push_back({Event::Kind::kPut, bytes(asked, "key"), key.value, clock_.nowMs()});
  }

  json carryOut(const std::string& path, const json& body) {
    if (path == "/v3/kv/range")
      return range(body);
    if (path == "/v3/kv/txn")
      return txn(body);
    if (path == "/v3/lease/grant") {
      const std::uint64_t id = 7587800000000000000ULL + ++granted_;
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
    if (path ==
        "/v3/lease/timetolive") {  // in whole seconds, rounded down; -1 for one that is gone
      const long left = lease == leases_.end()
                            ? -1
                            : static_cast<long>((lease->second.untilMs - clock_.nowMs()) / 1000);
      return {{"header", header()}, {"ID", body.value("ID", "0")}, {"TTL", std::to_string(left)}};
    }
    if (path == "/v3/lease/revoke") {
      if (lease == leases_.end())
        throw Fault{404, 5, "etcdserver: requested lease not found"};
      drop(lease, Event::Kind::kDeleted);
      return {{"header", header()}};
    }
    throw Fault{404, 5, "Not Found"};
  }

  const core::Clock& clock_;
  core::TimerQueue& timers_;
  core::Counters counters_;
  std::map<std::string, Key> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1, compacted_ = 0, granted_ = 0;
  std::vector<Event> history_;
  std::unique_ptr<net::Listener> listener_;
};

struct EtcdStandIn::Copy {
  std::map<std::string, Key> keys;
  std::uint64_t revision;
};
inline std::shared_ptr<EtcdStandIn::Copy> EtcdStandIn::copy() const {
  return std::make_shared<Copy>(Copy{keys_, revision_});
}
inline void EtcdStandIn::putBack(const Copy& older) {
  keys_ = older.keys;
  revision_ = older.revision;
  compacted_ = older.revision;
  // Leases are not kept alive by whoever has the keys back, unless they are still known.
  std::erase_if(keys_, [this](const auto& key) {
    return key.second.lease != 0 && leases_.count(key.second.lease) == 0;
  });
}

}  // namespace inference_router
