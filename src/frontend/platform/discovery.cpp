#include "frontend/platform/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "frontend/platform/json_document_splitter.h"
#include "net/message.h"

namespace inference_router::frontend {

using namespace inference_router::routing;
using nlohmann::json;

namespace {

constexpr std::size_t kLineLimit = 4 * 1024 * 1024;

EndpointState endpointStateOf(const std::string& phase) {
  if (phase == "active")
    return EndpointState::kActive;
  return phase == "leaving" ? EndpointState::kDraining : EndpointState::kRemoved;
}

std::uint32_t placeOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

class Discovery::Watch final : public net::CallSink {
 public:
  explicit Watch(Discovery& owner) : owner_(owner) {}
  void hold(std::shared_ptr<net::Call> call) {
    call_ = std::move(call);
    sign(fleet::DiscoveryBackoff::kFirstByteTimeoutMs);
  }

  void close() {
    owner_.timers_.cancel(silent_);
    call_->abandon();
  }

  void head(const net::ResponseHead& head) override { good_ = head.result_int() == 200; }
  bool body(std::string_view part) override {
    sign(fleet::DiscoveryBackoff::kWatchTimeoutMs);
    if (!good_)
      return true;
    text_ += part;
    while (const std::size_t end = gate_.partOf(text_)) {
      const std::string document = text_.substr(0, end);
      text_.erase(0, end);
      if (!owner_.line(document))
        return fail();
      owner_.spoke(*this);
    }
    if (text_.size() > kLineLimit)
      return fail();
    return true;
  }
  void done() override { end(); }
  void failed(net::CallFailure) override { end(); }

 private:
  void sign(double withinMs) {
    owner_.timers_.cancel(silent_);
    silent_ = owner_.timers_.add(owner_.clock_.nowMs() + withinMs, [this] {
      silent_.reset();
      if (!owner_.silent(*this))
        fail();
    });
  }
  bool fail() {
    call_->abandon();
    end();
    return true;
  }
  void end() {
    owner_.timers_.cancel(silent_);
    Discovery& owner = owner_;
    owner.broken(*this);
  }

  Discovery& owner_;
  std::shared_ptr<net::Call> call_;
  std::optional<core::TimerQueue::Key> silent_;
  std::string text_;
  JsonDocumentSplitter gate_;
  bool good_ = false;
};

Discovery::Discovery(boost::asio::io_context& io,
                     const core::Clock& clock,
                     core::TimerQueue& timers,
                     core::Counters& counters,
                     core::EndpointListSink& lists,
                     upstream::InstanceDirectory& directory,
                     net::ConnectionPool& droppable,
                     const wire::Vocabulary& names,
                     fleet::DiscoveryBackoff pace)
    : clock_(clock),
      timers_(timers),
      counters_(counters),
      lists_(lists),
      directory_(directory),
      endpoints_(droppable),
      names_(names),
      own_(io, clock, timers, counters, {2, fleet::DiscoveryBackoff::kConnectTimeoutMs, 1000}),
      pace_(pace),
      ages_(clock) {}

// A call and its sink hold each other while it runs.
Discovery::~Discovery() {
  if (next_)
    next_->close();
  if (watch_)
    watch_->close();
  timers_.cancel(reopen_);
}

void Discovery::known(const json& list) {
  apply(list, EndpointListForm::kCached);
}

// Guards against a gap while discovery moves: the old watch goes on and the list stays as it is
// until the new address has spoken. A move during a move only replaces the watch that has not
// spoken yet.
void Discovery::watch(const net::Endpoint& address) {
  if (address == address_)
    return;
  if (address_ == net::Endpoint())
    spokenFor_ = address;  // the list that is known came from there
  address_ = address;
  doubted_ = false;
  leaveNext();
  open();
}

// At another address the numbers of the versions may mean something else: there the whole list is
// asked for.
void Discovery::open() {
  ++counters_["discovery.watches"];
  const std::uint64_t after = address_ == spokenFor_ ? revision_ : 0;
  const std::string target = "/api/targets?watch=1&after=" + std::to_string(after);
  const std::string host = address_.address().to_string() + ":" + std::to_string(address_.port());
  next_ = std::make_shared<Watch>(*this);
  next_->hold(own_.call(address_, net::headText("GET " + target + " HTTP/1.1", {{"Host", host}}),
                        nullptr, next_));
}

void Discovery::spoke(const Watch& watch) {
  if (&watch == watch_.get() && std::exchange(doubted_, false))
    leaveNext();
  if (&watch != next_.get())
    return;
  doubted_ = false;
  pace_.reset();
  const auto old = std::exchange(watch_, std::exchange(next_, nullptr));
  spokenFor_ = address_;
  if (old)
    old->close();
}

// Only the address that counts now is opened anew: an old watch may end whenever it likes.
void Discovery::broken(const Watch& watch) {
  ++counters_["discovery.broken"];
  const bool replaced = &watch == watch_.get() && (next_ || reopen_);
  if (&watch == watch_.get()) {
    watch_ = nullptr;
    doubted_ = false;
  }
  if (&watch == next_.get())
    next_ = nullptr;
  if (replaced || reopen_)
    return;
  openLater();
}

// Discovery may be down for all, and what is in line for an answer stays in line: the watch is
// kept, for it may go on, and another is tried beside it.
bool Discovery::silent(const Watch& watch) {
  if (&watch != watch_.get())
    return false;
  ++counters_["discovery.silent"];
  if (next_ || reopen_)
    return true;
  doubted_ = true;
  openLater();
  return true;
}

void Discovery::openLater() {
  reopen_ = timers_.add(clock_.nowMs() + pace_.nextDelayMs(), [this] {
    reopen_.reset();
    open();
  });
}

void Discovery::leaveNext() {
  timers_.cancel(reopen_);
  if (next_)
    std::exchange(next_, nullptr)->close();
  pace_.reset();
}

bool Discovery::line(std::string_view text) {
  const bool signOfLife = text.find_first_not_of(" \r\t\n") == std::string_view::npos;
  try {
    if (!signOfLife)
      apply(json::parse(text), std::nullopt);
    ages_.onContact();
    return true;
  } catch (const json::exception&) {
  } catch (const std::invalid_argument&) {
  }
  ++counters_["discovery.malformed"];
  return false;
}

// An instance that leaves and comes back is a new one, whatever start time it has.
void Discovery::fixAges(EndpointListUpdate& news,
                        const std::map<InstanceId, upstream::InstanceEndpoint>& told) {
  for (const auto& [id, endpoint] : told)
    ages_.observeStart(endpoint.startedMs);
  std::set<std::string> listed;
  for (EndpointRecord& entry : news.entries) {
    const std::string& id = entry.instance.value;
    const auto started = ages_.startTime(id, told.at(entry.instance).startedMs);
    if (started)
      entry.started = core::toModuleTime(*started);
    if (entry.state == EndpointState::kRemoved)
      ages_.forget(id);
    listed.insert(id);
  }
  if (news.form != EndpointListForm::kChanges)
    ages_.keepOnly(listed);
}

// Everything is read before anything is changed: a list that is malformed changes nothing.
void Discovery::apply(const json& list, std::optional<EndpointListForm> form) {
  EndpointListUpdate news;
  news.version = list.at("revision").get<std::uint64_t>();
  const bool whole = list.value("complete", false);
  news.form = form.value_or(whole ? EndpointListForm::kFull : EndpointListForm::kChanges);
  std::map<InstanceId, upstream::InstanceEndpoint> named;
  for (const json& member : list.at("members")) {
    const std::uint32_t zone = placeOf(names_.zones, member.at("locality").get<std::string>());
    if (zone == names_.zones.size())
      continue;  // of a zone that the settings do not name
    const InstanceId id{member.at("id").get<std::string>()};
    upstream::InstanceEndpoint endpoint;
    endpoint.address = net::endpointOf(member.at("host_port").get<std::string>());
    endpoint.state = endpointStateOf(member.at("phase").get<std::string>());
    endpoint.startedMs = member.value("up_since_ms", 0.0);
    news.entries.push_back({
        .instance = id,
        .zone = {zone},
        .kind = {placeOf(names_.kinds, member.at("flavor").get<std::string>())},
        .cell = {member.value("cell", 0U)},
        .state = endpoint.state,
        .weight = member.value("size", 1.0),
        .started = std::nullopt,
    });
    named[id] = endpoint;
  }
  fixAges(news, named);
  directory_.update(named, news.form != EndpointListForm::kChanges, endpoints_);
  revision_ = news.version;
  ++counters_["discovery.lists"];
  lists_.list(std::move(news));
}

}  // namespace inference_router::frontend
