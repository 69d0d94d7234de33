#include "fronts/platform/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/message.h"

namespace dahliastall::fronts {

using namespace leverrelay;
using nlohmann::json;

namespace {

constexpr double kReopenMs = 100;   // between tries to open the watch
constexpr double kSilentMs = 7000;  // an empty line comes every 2 s; past this the watch is taken for dead
constexpr double kDialMs = 500;
constexpr std::size_t kLineLimit = 4 * 1024 * 1024;

Presence presenceOf(const std::string& phase) {
  if (phase == "active") return Presence::kActive;
  return phase == "leaving" ? Presence::kLeaving : Presence::kGone;
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
    sign();
  }

  void close() {
    owner_.deadlines_.cancel(silent_);
    call_->abandon();
  }

  void head(const net::ResponseHead& head) override { good_ = head.result_int() == 200; }
  bool body(std::string_view part) override {
    sign();
    if (!good_) return true;
    text_ += part;
    std::size_t from = 0;
    for (std::size_t end = text_.find('\n'); end != std::string::npos; end = text_.find('\n', from)) {
      const std::string line = text_.substr(from, end - from);
      from = end + 1;
      if (!owner_.line(line)) return fail();
    }
    text_.erase(0, from);
    if (text_.size() > kLineLimit) return fail();
    return true;
  }
  void done() override { end(); }
  void failed(net::CallFailure) override { end(); }

 private:
  void sign() {
    owner_.deadlines_.cancel(silent_);
    silent_ = owner_.deadlines_.add(owner_.clock_.nowMs() + kSilentMs, [this] {
      silent_.reset();
      fail();
    });
  }
  bool fail() {
    call_->abandon();
    end();
    return true;
  }
  void end() {
    owner_.deadlines_.cancel(silent_);
    Discovery& owner = owner_;
    owner.broken();
  }

  Discovery& owner_;
  std::shared_ptr<net::Call> call_;
  std::optional<core::Deadlines::Key> silent_;
  std::string text_;
  bool good_ = false;
};

Discovery::Discovery(boost::asio::io_context& io, const core::Clock& clock, core::Deadlines& deadlines,
                     core::Counters& counters, core::Conductor& conductor, Directory& directory,
                     net::Pool& droppable, const wire::Vocabulary& names)
    : clock_(clock),
      deadlines_(deadlines),
      counters_(counters),
      conductor_(conductor),
      directory_(directory),
      boxes_(droppable),
      names_(names),
      own_(io, clock, deadlines, counters, {2, kDialMs, 1000}) {}

// A call and its sink hold each other while it runs.
Discovery::~Discovery() {
  if (watch_) watch_->close();
}

void Discovery::known(const json& list) { apply(list, ListForm::kCached); }

void Discovery::watch(const net::Endpoint& address) {
  address_ = address;
  open();
}

void Discovery::open() {
  ++counters_["discovery.watches"];
  watch_ = std::make_shared<Watch>(*this);
  const std::string target = "/api/targets?watch=1&after=" + std::to_string(revision_);
  const std::string host = address_.address().to_string() + ":" + std::to_string(address_.port());
  watch_->hold(
      own_.call(address_, net::headText("GET " + target + " HTTP/1.1", {{"Host", host}}), nullptr, watch_));
}

void Discovery::broken() {
  ++counters_["discovery.broken"];
  deadlines_.add(clock_.nowMs() + kReopenMs, [this] { open(); });
}

bool Discovery::line(std::string_view text) {
  if (text.find_first_not_of(" \r\t") == std::string_view::npos) return true;  // a sign of life
  try {
    apply(json::parse(text), std::nullopt);
    return true;
  } catch (const json::exception&) {
  } catch (const std::invalid_argument&) {
  }
  ++counters_["discovery.malformed"];
  return false;
}

// Everything is read before anything is changed: a list that is malformed changes nothing.
void Discovery::apply(const json& list, std::optional<ListForm> form) {
  ListNews news;
  news.version = list.at("revision").get<std::uint64_t>();
  const bool whole = list.value("complete", false);
  news.form = form.value_or(whole ? ListForm::kFull : ListForm::kChanges);
  std::map<EngineId, Box> named;
  for (const json& member : list.at("members")) {
    const EngineId id{member.at("id").get<std::string>()};
    const std::uint32_t zone = placeOf(names_.zones, member.at("locality").get<std::string>());
    if (zone == names_.zones.size()) continue;  // of a zone that the settings do not name
    const double started = member.value("up_since_ms", 0.0);
    Box box;
    box.address = endpointOf(member.at("host_port").get<std::string>());
    box.presence = presenceOf(member.at("phase").get<std::string>());
    box.startedMs = started;
    news.entries.push_back({
        .engine = id,
        .zone = {zone},
        .kind = {placeOf(names_.kinds, member.at("flavor").get<std::string>())},
        .cell = {member.value("cell", 0U)},
        .presence = box.presence,
        .weight = member.value("size", 1.0),
        .started = started > 0 ? std::optional(core::toModuleTime(started)) : std::nullopt,
    });
    named[id] = box;
  }
  for (auto& [id, box] : directory_.all()) {
    if (news.form == ListForm::kChanges || named.count(id) != 0) continue;
    box.presence = Presence::kGone;
  }
  for (const auto& [id, told] : named) {
    Box& box = directory_.all()[id];
    // Connections from before a restart would only end as resets, which may have run for all that is known.
    const bool fresh = box.startedMs != told.startedMs || box.address != told.address;
    if (fresh || told.presence == Presence::kGone) boxes_.dropIdle(box.address);
    if (fresh) box.failedMs = 0;
    box.address = told.address;
    box.presence = told.presence;
    box.startedMs = told.startedMs;
  }
  revision_ = news.version;
  ++counters_["discovery.lists"];
  conductor_.list(std::move(news));
}

}  // namespace dahliastall::fronts
