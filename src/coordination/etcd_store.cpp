#include "coordination/etcd_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <charconv>
#include <cmath>

#include "coordination/records.h"
#include "net/message.h"

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr std::size_t kConnections = 8;
constexpr double kIdleMs = 10'000;
// Of all documents, in base64: a third above their bytes, which routers keep to. At most two
// copies of it are held at a time, as text, as JSON or as documents: 96 MiB of the 192 that a
// router has.
constexpr std::size_t kAnswerBytes = 48 << 20;
constexpr std::size_t kMostCalls =
    64;  // open at a time; more are told at once that there is no room

namespace base64 = boost::beast::detail::base64;

std::string encoded(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string decoded(const std::string& text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

// 64-bit numbers are strings in the JSON of protocol buffers; what is zero may be left out.
std::string numberText(const json& in, const char* name) {
  const auto it = in.find(name);
  if (it == in.end())
    return "0";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::uint64_t number(const json& in, const char* name) {
  const std::string text = numberText(in, name);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

json compare(const std::string& key,
             const char* target,
             const char* field,
             const std::string& value) {
  return {{"key", encoded(key)}, {"target", target}, {"result", "EQUAL"}, {field, value}};
}
json wasCreated(const std::string& key, const std::string& revision) {
  return compare(key, "CREATE", "create_revision", revision);
}
json wasModified(const std::string& key, const std::string& revision) {
  return compare(key, "MOD", "mod_revision", revision);
}
json hasValue(const std::string& key, const std::string& value) {
  return compare(key, "VALUE", "value", encoded(value));
}
json putting(const std::string& key, const std::string& value, const std::string& lease = "0") {
  return {{"request_put", {{"key", encoded(key)}, {"value", encoded(value)}, {"lease", lease}}}};
}
json rangeOf(const std::string& key) {
  return {{"request_range", {{"key", encoded(key)}}}};
}
json deleting(const std::string& key) {
  return {{"request_delete_range", {{"key", encoded(key)}}}};
}

// The first key of a range's answer; null if there is none.
json firstOf(const json& txn, std::size_t response) {
  const auto responses = txn.find("responses");
  if (responses == txn.end() || responses->size() <= response)
    return nullptr;
  const json& range = (*responses)[response].value("response_range", json::object());
  const auto kvs = range.find("kvs");
  return kvs == range.end() || kvs->empty() ? json(nullptr) : kvs->front();
}
std::string valueOf(const json& kv) {
  return kv.is_null() ? "" : decoded(kv.value("value", ""));
}

std::uint64_t fenceOf(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

Listing unread() {
  Listing none;
  none.why = "etcd does not answer";
  return none;
}

LeaseAnswer nothingKnown(const LeaseAsk& ask) {
  LeaseAnswer answer;
  answer.number = ask.number;
  return answer;
}

}  // namespace

// ---- One call
// --------------------------------------------------------------------------------------

class EtcdStore::Exchange final : public net::CallSink {
 public:
  Exchange(EtcdStore& store, Reply reply) : store_(&store), reply_(std::move(reply)) {
    store.open_.insert(this);
  }
  ~Exchange() override { leave(); }

  void watch(std::shared_ptr<net::Call> call) {
    if (store_ == nullptr)
      return;
    call_ = std::move(call);
    limit_ = store_->timers_.add(store_->clock_.nowMs() + store_->place_.callMs, [this] {
      limit_.reset();
      const auto keep = call_;
      end(std::nullopt, "etcd.unanswered");
    });
  }
  void head(const net::ResponseHead& head) override { status_ = head.result_int(); }
  bool body(std::string_view part) override {
    text_ += part;
    return true;
  }
  void done() override {
    json value = json::parse(std::exchange(text_, {}), nullptr, /*allow_exceptions=*/false);
    if (status_ == 200 && value.is_object())
      return end(std::move(value), "etcd.answered");
    end(std::nullopt, "etcd.errors");
  }
  void failed(net::CallFailure) override { end(std::nullopt, "etcd.failed"); }
  void drop() {  // the store goes
    reply_ = nullptr;
    const auto call = std::exchange(call_, nullptr);
    leave();
    if (call)
      call->abandon();
  }

 private:
  void leave() {
    if (store_ == nullptr)
      return;
    store_->timers_.cancel(limit_);
    store_->open_.erase(this);
    store_ = nullptr;
  }
  void end(std::optional<json> value, const char* counter) {
    if (store_ == nullptr)
      return;
    ++store_->counters_[counter];
    if (!value)
      store_->at_ = (store_->at_ + 1) % store_->place_.endpoints.size();
    const auto reply = std::exchange(reply_, nullptr);
    const auto call = std::exchange(call_, nullptr);
    leave();
    if (!value && call)
      call->abandon();
    try {
      reply(std::move(value));
    } catch (const json::exception& fault) {
      spdlog::error("etcd answers what cannot be understood: {}", fault.what());
    }
  }

  EtcdStore* store_;
  Reply reply_;
  std::shared_ptr<net::Call> call_;
  std::optional<core::TimerQueue::Key> limit_;
  unsigned status_ = 0;
  std::string text_;
};

EtcdStore::EtcdStore(boost::asio::io_context& io,
                     const core::Clock& clock,
                     core::TimerQueue& timers,
                     core::Counters& counters,
                     EtcdConfig place)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      place_(std::move(place)),
      pool_(io, clock, timers, counters, {kConnections, place_.callMs, kIdleMs, kAnswerBytes}) {}

EtcdStore::~EtcdStore() {
  while (!open_.empty())
    (*open_.begin())->drop();
}

std::string EtcdStore::describe() const {
  std::string text = "etcd";
  for (const net::Endpoint& one : place_.endpoints)
    text += " " + one.address().to_string() + ":" + std::to_string(one.port());
  return text + " " + place_.prefix;
}

void EtcdStore::call(const std::string& path, const json& body, Reply reply) {
  if (open_.size() >= kMostCalls) {
    ++counters_["etcd.no_room"];
    return reply(std::nullopt);
  }
  const net::Endpoint& to = place_.endpoints[at_ % place_.endpoints.size()];
  const auto text = std::make_shared<const std::string>(body.dump());
  const auto exchange = std::make_shared<Exchange>(*this, std::move(reply));
  exchange->watch(pool_.call(
      to,
      net::headText("POST " + path + " HTTP/1.1",
                    {{"Host", to.address().to_string() + ":" + std::to_string(to.port())},
                     {"Content-Type", "application/json"},
                     {"Content-Length", std::to_string(text->size())}}),
      text, exchange));
}

// ---- Leases
// ----------------------------------------------------------------------------------------

void EtcdStore::ask(const LeaseAsk& ask, std::function<void(const LeaseAnswer&)> answer) {
  if (ask.verb == Verb::kAcquire)
    return acquire(ask, answer);
  const auto own = own_.find(ask.task);
  if (own == own_.end() || own->second.fence != ask.fence) {
    LeaseAnswer lost = nothingKnown(ask);
    lost.found = Found::kLost;
    return answer(lost);
  }
  if (ask.verb == Verb::kRenew)
    renew(ask, own->second, answer);
  else
    release(ask, own->second, answer);
}

void EtcdStore::acquire(const LeaseAsk& ask, const LeaseReply& answer) {
  const json look{{"success", {rangeOf(leaseKey(ask.task)), rangeOf(fenceKey(ask.task))}}};
  call("/v3/kv/txn", look, [this, ask, answer](std::optional<json> now) {
    if (!now)
      return answer(nothingKnown(ask));
    const json held = firstOf(*now, 0);
    const auto record = held.is_null() ? std::nullopt : recordOf(valueOf(held));
    // A value that is none of ours is not taken for free: somebody else uses these keys.
    if (!held.is_null() && !(record && record->holder == ask.who)) {
      if (!record)
        ++counters_["coordination.foreign"];
      LeaseAnswer other = nothingKnown(ask);
      other.found = Found::kHeld;
      other.fence = record ? record->fence : 0;
      other.leftMs = ask.ttlMs;
      other.record = record;
      return askLeft(numberText(held, "lease"), other, answer);
    }
    const json grant{{"TTL", std::to_string(std::llround(ask.ttlMs / 1000))}, {"ID", "0"}};
    call("/v3/lease/grant", grant, [this, ask, answer, before = *now](std::optional<json> granted) {
      const std::string lease = granted ? numberText(*granted, "ID") : "0";
      if (lease == "0")
        return answer(nothingKnown(ask));
      take(ask, before, lease, answer);
    });
  });
}

// For how long another's lease lives if nothing renews it, so that a candidate comes back when it
// ends and not a whole time later. The API rounds down to seconds: half of one is put on top.
// Without an answer the most it can be stays.
void EtcdStore::askLeft(const std::string& lease, LeaseAnswer held, const LeaseReply& answer) {
  call("/v3/lease/timetolive", {{"ID", lease}}, [held, answer](std::optional<json> left) mutable {
    const std::string seconds = left ? numberText(*left, "TTL") : "";
    double whole = 0;
    const auto [end, fault] =
        std::from_chars(seconds.data(), seconds.data() + seconds.size(), whole);
    if (!seconds.empty() && fault == std::errc())
      held.leftMs = std::clamp(whole * 1000 + 500, 0.0, held.leftMs);
    answer(held);
  });
}

// The key is created, or taken over from an earlier ask of this process, only if all is as it was
// seen.
void EtcdStore::take(const LeaseAsk& ask,
                     const json& before,
                     const std::string& lease,
                     const LeaseReply& answer) {
  const json held = firstOf(before, 0), last = firstOf(before, 1);
  const std::uint64_t fence = std::max(fenceOf(valueOf(last)), ask.fence) + 1;
  const LeaseRecord record{ask.who, fence, ask.number, ask.progress, clock_.nowMs()};
  const json txn{
      {"compare",
       {wasModified(leaseKey(ask.task), held.is_null() ? "0" : numberText(held, "mod_revision")),
        wasModified(fenceKey(ask.task), last.is_null() ? "0" : numberText(last, "mod_revision"))}},
      {"success",
       {putting(leaseKey(ask.task), textOf(record), lease),
        putting(fenceKey(ask.task), std::to_string(fence)), rangeOf(leaseKey(ask.task))}},
      {"failure", {rangeOf(leaseKey(ask.task))}}};
  call("/v3/kv/txn", txn, [this, ask, answer, lease, record](std::optional<json> done) {
    if (!done)
      return answer(nothingKnown(ask));
    LeaseAnswer told = nothingKnown(ask);
    if (!done->value("succeeded", false)) {
      revoke(lease);
      const json held = firstOf(*done, 0);
      told.record = held.is_null() ? std::nullopt : recordOf(valueOf(held));
      told.found = Found::kHeld;
      told.fence = told.record ? told.record->fence : 0;
      told.leftMs = held.is_null() ? 0 : ask.ttlMs;
      return answer(told);
    }
    own_[ask.task] = {lease, numberText(firstOf(*done, 2), "create_revision"), record.fence,
                      record.sinceMs};
    told.found = Found::kGranted;
    told.fence = record.fence;
    told.leftMs = ask.ttlMs;
    told.record = record;
    answer(told);
  });
}

// The key first: a keep-alive alone says nothing of whose key it is.
void EtcdStore::renew(const LeaseAsk& ask, const Own& own, const LeaseReply& answer) {
  const LeaseRecord record{ask.who, ask.fence, ask.number, ask.progress, own.sinceMs};
  const json txn{{"compare",
                  {wasCreated(leaseKey(ask.task), own.created),
                   hasValue(fenceKey(ask.task), std::to_string(ask.fence))}},
                 {"success", {putting(leaseKey(ask.task), textOf(record), own.lease)}},
                 {"failure", {rangeOf(leaseKey(ask.task))}}};
  call("/v3/kv/txn", txn, [this, ask, answer, lease = own.lease](std::optional<json> done) {
    if (!done)
      return answer(nothingKnown(ask));
    LeaseAnswer told = nothingKnown(ask);
    if (!done->value("succeeded", false)) {
      const json held = firstOf(*done, 0);
      told.record = held.is_null() ? std::nullopt : recordOf(valueOf(held));
      told.fence = told.record ? told.record->fence : 0;
      told.found = Found::kLost;
      return answer(told);
    }
    call("/v3/lease/keepalive", {{"ID", lease}},
         [ask, answer, told](std::optional<json> kept) mutable {
           if (!kept)
             return answer(nothingKnown(ask));
           const bool alive = number(kept->value("result", json::object()), "TTL") > 0;
           told.found = alive ? Found::kGranted : Found::kLost;
           told.fence = alive ? ask.fence : 0;
           told.leftMs = ask.ttlMs;
           answer(told);
         });
  });
}

void EtcdStore::release(const LeaseAsk& ask, const Own& own, const LeaseReply& answer) {
  const json txn{{"compare",
                  {wasCreated(leaseKey(ask.task), own.created),
                   hasValue(fenceKey(ask.task), std::to_string(ask.fence))}},
                 {"success", {deleting(leaseKey(ask.task))}}};
  call("/v3/kv/txn", txn, [this, ask, answer, lease = own.lease](std::optional<json> done) {
    LeaseAnswer told = nothingKnown(ask);
    if (done) {
      told.found = done->value("succeeded", false) ? Found::kReleased : Found::kLost;
      own_.erase(ask.task);
      revoke(lease);
    }
    answer(told);
  });
}

void EtcdStore::revoke(const std::string& lease) {
  call("/v3/lease/revoke", {{"ID", lease}}, [](const std::optional<json>&) {});
}

// ---- Documents
// -------------------------------------------------------------------------------------

void EtcdStore::commit(const Fence& fence,
                       std::vector<Write> writes,
                       std::function<void(CommitAnswer)> answer) {
  write(&fence, writes, answer);
}

void EtcdStore::put(Write write, std::function<void(CommitAnswer)> answer) {
  this->write(nullptr, {std::move(write)}, answer);
}

void EtcdStore::write(const Fence* fence,
                      const std::vector<Write>& writes,
                      const std::function<void(CommitAnswer)>& answer) {
  if (!acceptable(writes))
    return answer({Committed::kRefused, 0});
  json compares = json::array(), changes = json::array(), looks = json::array();
  if (fence != nullptr) {
    const auto own = own_.find(fence->task());
    if (own == own_.end() || own->second.fence != fence->number())
      return answer({Committed::kStaleFence, 0});
#ifndef INFERENCE_ROUTER_WITHOUT_FENCE  // a build of the tests, which they have to find out
    compares.push_back(wasCreated(leaseKey(fence->task()), own->second.created));
    compares.push_back(hasValue(fenceKey(fence->task()), std::to_string(fence->number())));
#endif
    looks = {rangeOf(leaseKey(fence->task())), rangeOf(fenceKey(fence->task()))};
  }
  for (const Write& one : writes) {
    compares.push_back(wasModified(docKey(one.key), std::to_string(one.seen)));
    changes.push_back(one.value ? putting(docKey(one.key), *one.value) : deleting(docKey(one.key)));
  }
  const std::string number = fence == nullptr ? "" : std::to_string(fence->number());
  call("/v3/kv/txn", {{"compare", compares}, {"success", changes}, {"failure", looks}},
       [answer, number](std::optional<json> done) {
         if (!done)
           return answer({Committed::kUnavailable, 0});
         if (done->value("succeeded", false))
           return answer({Committed::kDone,
                          inference_router::coordination::number(done->at("header"), "revision")});
         const bool stale = !number.empty() &&
                            (firstOf(*done, 0).is_null() || valueOf(firstOf(*done, 1)) != number);
         answer({stale ? Committed::kStaleFence : Committed::kConflict, 0});
       });
}

void EtcdStore::list(std::function<void(const Listing&)> answer) {
  const std::string from = docKey("");
  std::string to = from;
  ++to.back();  // all keys with this prefix, as the API has it
  const json range{
      {"key", encoded(from)}, {"range_end", encoded(to)}, {"limit", std::to_string(kMostDocs)}};
  call("/v3/kv/range", range, [this, answer](std::optional<json> found) {
    if (!found)
      return answer(unread());
    Listing all;
    all.revision = number(found->value("header", json::object()), "revision");
    addTo(all, *found);
    all.ok = !found->value("more", false);  // what is missing would be taken for what is not there
    if (!all.ok)
      all.why = "there are more than " + std::to_string(kMostDocs) + " documents";
    found.reset();
    answer(all);
  });
}

void EtcdStore::look(std::vector<std::string> keys, std::function<void(const Listing&)> answer) {
  json ranges = json::array();
  for (const std::string& key : keys)
    ranges.push_back(rangeOf(docKey(key)));
  call("/v3/kv/txn", {{"success", ranges}}, [this, answer](std::optional<json> done) {
    if (!done)
      return answer(unread());
    Listing all;
    all.revision = number(done->value("header", json::object()), "revision");
    for (const json& one : done->value("responses", json::array()))
      addTo(all, one.value("response_range", json::object()));
    all.ok = true;
    answer(all);
  });
}

void EtcdStore::addTo(Listing& all, const json& range) const {
  const std::size_t from = docKey("").size();
  for (const json& kv : range.value("kvs", json::array())) {
    const std::string key = decoded(kv.value("key", ""));
    if (key.size() > from)
      all.docs[key.substr(from)] = {valueOf(kv), number(kv, "mod_revision")};
  }
}

}  // namespace inference_router::coordination
