// Days on settings at the edge of what may be set, and on the kind of instances that read long
// prompts: the rules hold, each request has its answer by its deadline, and no decision divides by
// nothing.
#include <cfenv>

#include "support/day_play.h"

namespace inference_router::routing {
namespace {

// Adds a failure where a decision makes a number that is none or infinite, or sends a prompt to
// where it does not fit.
class WatchedRouter {
 public:
  WatchedRouter(const DrawnDay& day, std::uint64_t seed)
      : settings_(day.set), router_(std::make_shared<Router>(day.set, seed)) {}
  void operator()(Time now, const Event& event, std::vector<Action>& actions) {
    note(event);
    std::feclearexcept(FE_ALL_EXCEPT);
    router_->handle(now, event, actions);
    EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID | FE_OVERFLOW))
        << "event " << event.index();
    for (const Action& action : actions) {
      const auto* send = std::get_if<DispatchAttempt>(&action);
      if (send == nullptr)
        continue;
      EXPECT_LE(prompts_.at(send->request), memoryOf(send->instance)) << send->instance.value;
    }
  }

 private:
  void note(const Event& event) {
    if (const auto* told = std::get_if<Arrival>(&event))
      prompts_[told->request] = told->promptTokens;
    const auto* news = std::get_if<EndpointListUpdate>(&event);
    if (news == nullptr)
      return;
    for (const EndpointRecord& entry : news->entries)
      kinds_[entry.instance] = entry.kind;
  }
  double memoryOf(const InstanceId& id) const {
    return settings_.kinds[kinds_.at(id).value].memoryTokens;
  }

  Settings settings_;
  std::shared_ptr<Router> router_;
  std::map<RequestId, double> prompts_;
  std::map<InstanceId, KindIndex> kinds_;
};

struct Edge {
  const char* name;
  DayKind kind;
  bool compared = true;  // with the plainest policy, which knows no limit of attempts
};

void PrintTo(const Edge& edge, std::ostream* out) {
  *out << edge.name;
}

// Long prompts of few texts, of which some are far more popular; memory for a part of the slots.
DayKind longPrompts() {
  DayKind kind;
  kind.shape = {.prompt = {4'000, 7'000},
                .promptSpread = {0.8, 1.2},
                .shared = {0.5, 0.9},
                .answer = {40, 200},
                .answerSpread = {0.1, 4},
                .load = {0.35, 0.85},
                .popularity = 1.2,
                .memoryBounds = true};
  kind.settings = [](DrawnDay& day) {
    for (ClassSettings& cls : day.set.classes) {
      cls.latencyObjective = span(in(day.draw, 0.4, 1));
      cls.latencyObjectivePer1000 = span(in(day.draw, 0.04, 0.15));
    }
  };
  kind.fleet = [](DrawnDay& day) {
    for (std::size_t i = 0; i < day.sizes.size(); ++i) {
      const bool reads = day.set.kinds[i].role == Role::kPrefill;
      day.sizes[i] = {64, 64, in(day.draw, 20'000, 38'000), reads};
      day.set.kinds[i].memoryTokens = 64 * 5'500 * in(day.draw, 0.3, 0.7);
    }
  };
  return kind;
}

DayKind changedTraffic(std::function<void(DrawnDay&, Asked&)> change) {
  DayKind kind;
  kind.traffic = [change = std::move(change)](DrawnDay& day) {
    for (Asked& asked : day.asks)
      change(day, asked);
  };
  return kind;
}

DayKind changedSettings(std::function<void(Settings&)> change) {
  DayKind kind;
  kind.settings = [change = std::move(change)](DrawnDay& day) { change(day.set); };
  return kind;
}

DayKind changedFleet(std::function<void(DrawnDay&)> change) {
  DayKind kind;
  kind.fleet = std::move(change);
  return kind;
}

DayKind slotsOf(int count) {
  return changedFleet([count](DrawnDay& day) {
    for (Sizes& sizes : day.sizes)
      sizes.slots = count;
  });
}

DayKind weightsFrom(double least) {
  return changedFleet([least](DrawnDay& day) {
    for (EndpointRecord& instance : day.instances)
      instance.weight = std::max(0.0, in(day.draw, least, 1));
  });
}

DayKind noSharedTexts() {
  DayKind kind = changedTraffic([](DrawnDay&, Asked& asked) {
    asked.told.prefix = asked.told.session = "";
    asked.told.prefixTokens = 0;
  });
  kind.shape.shared = {0, 0};
  return kind;
}

DayKind oneKindThatDoesBoth() {
  return changedFleet([](DrawnDay& day) {
    for (EndpointRecord& instance : day.instances)
      instance.kind = {0};
    day.set.kinds = {{Role::kMixed, 150'000}};
    day.sizes = {{20, 20, 12'000}};
  });
}

// One instance of a kind whose memory is smaller than most prompts.
DayKind oneSmallInstance(Role role) {
  return changedFleet([role](DrawnDay& day) {
    for (std::size_t i = 0; i < day.instances.size(); ++i) {
      if (day.roleOf(i) != role)
        continue;
      day.sizes.push_back(day.sizes[day.instances[i].kind.value]);
      day.set.kinds.push_back({role, 1'000});
      day.instances[i].kind = {static_cast<std::uint32_t>(day.set.kinds.size()) - 1};
      return;
    }
  });
}

DayKind smallMemory(Role role) {
  return changedFleet([role](DrawnDay& day) {
    for (KindSettings& kind : day.set.kinds)
      if (kind.role == role)
        kind.memoryTokens = in(day.draw, 500, 4'000);
  });
}

// Of the kinds that are drawn, the instances of one role are all that there is.
DayKind oneRole(Role role, bool decodeCanPrefill) {
  DayKind kind = changedFleet([role](DrawnDay& day) {
    std::erase_if(day.instances, [&](const EndpointRecord& instance) {
      return day.set.kinds[instance.kind.value].role != role;
    });
    for (KindSettings& kind : day.set.kinds)
      kind.role = role;
  });
  kind.settings = [decodeCanPrefill](DrawnDay& day) {
    day.set.decodeCanPrefill = decodeCanPrefill;
  };
  return kind;
}

DayKind tenantsWithoutShare() {
  DayKind kind = changedTraffic([](DrawnDay& day, Asked& asked) {
    asked.told.tenant = TenantIndex{static_cast<std::uint32_t>(oneOf(day.draw, 0, 1))};
  });
  kind.settings = [](DrawnDay& day) {
    day.set.tenants = {{0, 0}, {0, 0}};
    day.set.overQuotaWeight = 0;
  };
  return kind;
}

std::vector<Edge> edges() {
  std::vector<Edge> all;
  all.push_back({"LongPrompts", longPrompts()});
  all.push_back({"NoSharedTexts", noSharedTexts()});
  all.push_back({"WholePromptsShared", changedTraffic([](DrawnDay&, Asked& asked) {
                   asked.told.prefixTokens = asked.told.promptTokens;
                 })});
  all.push_back({"OneClass", changedSettings([](Settings& set) { set.classes.resize(1); })});
  all.push_back({"OneSmallReader", oneSmallInstance(Role::kPrefill)});
  all.push_back({"OneSmallWriter", oneSmallInstance(Role::kDecode)});
  all.push_back({"SmallReaders", smallMemory(Role::kPrefill)});
  all.push_back({"SmallWriters", smallMemory(Role::kDecode)});
  all.push_back({"ReadersAlone", oneRole(Role::kPrefill, true)});
  all.push_back({"WritersAlone", oneRole(Role::kDecode, false)});
  all.push_back({"WritersThatReadAlone", oneRole(Role::kDecode, true)});
  all.push_back({"SlotsOfOne", slotsOf(1)});
  all.push_back({"SlotsOfAThousand", slotsOf(1'000)});
  all.push_back({"OneKindThatDoesBoth", oneKindThatDoesBoth()});
  all.push_back({"TenantsWithoutShare", tenantsWithoutShare()});
  all.push_back({"WeightsOfZero", changedFleet([](DrawnDay& day) {
                   for (EndpointRecord& instance : day.instances)
                     instance.weight = 0;
                 })});
  all.push_back({"SomeWeightsOfZero", weightsFrom(-1)});
  all.push_back({"NothingIsWorthAnything", changedSettings([](Settings& set) {
                   for (ClassSettings& cls : set.classes)
                     cls.priorityWeight = cls.lateWeightShare = 0;
                 })});
  all.push_back({"ColdFromNothing",
                 changedSettings([](Settings& set) { set.contract.warmupInitialShare = 0; })});
  all.push_back(
      {"WarmAtOnce", changedSettings([](Settings& set) { set.contract.warmupDuration = 0s; })});
  all.push_back({"NoGraceAtAll", changedSettings([](Settings& set) {
                   set.contract.answerGrace = set.contract.drainGrace = 0s;
                   set.tick = 0s;
                 })});
  all.push_back({"AimsBeyondDeadlines", changedSettings([](Settings& set) {
                   set.contract.answerGrace = set.tick = 0s;
                   for (ClassSettings& cls : set.classes)
                     cls.latencyObjective = 2 * cls.deadline;
                 })});
  all.push_back({"NoTimeForRepeats", changedSettings([](Settings& set) {
                   for (ClassSettings& cls : set.classes)
                     cls.dedupWindow = 0s;
                 })});
  all.push_back({"EmptyPrompts", changedTraffic([](DrawnDay&, Asked& asked) {
                   asked.told.promptTokens = asked.told.prefixTokens = asked.told.maxTokens = 0;
                 })});
  all.push_back(
      {"OneAttempt", changedSettings([](Settings& set) { set.limits.maxAttempts = 1; }), false});
  all.push_back(
      {"TwoAttempts", changedSettings([](Settings& set) { set.limits.maxAttempts = 2; })});
  return all;
}

class SettingsAtTheEdge : public ::testing::TestWithParam<Edge> {};

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kDays = 3;
#else
constexpr std::uint64_t kDays = 20;
#endif

// Whether some kind that can do it has the memory for the prompt.
template <class Does>
bool holds(const DrawnDay& day, const Asked& asked, const Does& does) {
  return std::any_of(day.set.kinds.begin(), day.set.kinds.end(), [&](const KindSettings& kind) {
    return does(kind.role) && asked.told.promptTokens <= kind.memoryTokens;
  });
}

TEST_P(SettingsAtTheEdge, KeepTheRulesAnswerInTimeAndServeNoLessThanThePlainestPolicy) {
  double gained = 0;
  for (std::uint64_t seed = 1; seed <= kDays && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const DrawnDay day(seed, GetParam().kind);
    const auto seedOf = [seed](int n) { return seed * 10 + static_cast<std::uint64_t>(n); };
    const auto module = [&](int n) { return WatchedRouter(day, seedOf(n)); };
    const auto plainest = [&](int n) { return Plainest(day.set, seedOf(n)); };
    const Play ours(day, module, true);
    EXPECT_LE(ours.mostOver(), 0) << "rule four";
    EXPECT_EQ(ours.unanswered(), 0U) << "of " << day.asks.size();
    for (const Asked& asked : day.asks) {
      const bool nowhere = !holds(day, asked, [&](Role role) {
        return role != Role::kDecode || day.set.decodeCanPrefill;
      }) || !holds(day, asked, [](Role role) { return role != Role::kPrefill; });
      EXPECT_TRUE(!nowhere || ours.attemptsOf(asked.told.request) == 0);
    }
    const Play plain(day, plainest, false);
    if (!GetParam().compared || plain.mostOver() > 0)
      continue;  // it serves more, and breaks a rule for it
    gained += ours.served() - plain.served();
  }
  EXPECT_GE(gained, 0) << "of " << kDays << " days";
}

// ---- One by one

TEST(Sizes, APromptThatNothingCanReadIsRefusedAtOnce) {
  Settings settings = plainSettings();
  settings.kinds = {{Role::kPrefill, 500}, {Role::kDecode, 100'000}};
  Fleet fleet(settings);
  fleet.list({endpoint("r", kPrefill), endpoint("w", kDecode)}).arrive("a", "", 6s, 1'000);
  EXPECT_TRUE(fleet.any<RejectRequest>());
  EXPECT_FALSE(fleet.any<DispatchAttempt>());
}

TEST(Sizes, APromptThatOnlyAWriterHoldsIsReadThereWhereWritersRead) {
  Settings settings = plainSettings();
  settings.kinds = {{Role::kPrefill, 500}, {Role::kDecode, 100'000}};
  settings.decodeCanPrefill = true;
  Fleet fleet(settings);
  fleet.list({endpoint("r", kPrefill), endpoint("w", kDecode)}).arrive("a", "", 6s, 1'000);
  EXPECT_EQ(fleet.sentTo(), "w");
}

TEST(Sizes, APromptGoesWhereItFits) {
  Settings settings = plainSettings();
  settings.kinds = {
      {Role::kPrefill, 500}, {Role::kDecode, 500}, {Role::kPrefill, 9'000}, {Role::kDecode, 9'000}};
  for (int n = 0; n < 20; ++n) {
    Fleet fleet(settings, static_cast<std::uint64_t>(n));
    fleet.list({endpoint("r1", 0), endpoint("w1", 1), endpoint("r2", 2), endpoint("w2", 3)});
    EXPECT_EQ(fleet.arrive("a", numbered("p", n), 6s, 1'000).sentTo(), "r2");
    EXPECT_EQ(fleet.reservedAt(), "w2");
    EXPECT_EQ(fleet.wait(20ms).end("a", "r2", AttemptOutcome::kPrefilled).sentTo(), "w2");
  }
}

TEST(TimerQueue, WithoutAnyGraceTheAnswerComesBeforeTheDeadline) {
  Settings settings = plainSettings();
  settings.contract.answerGrace = settings.tick = 0s;
  settings.classes[0].latencyObjective = 1min;
  Fleet fleet(settings);
  fleet.list({}).arrive("a", "", 1'005ms);
  EXPECT_TRUE(fleet.wait(1'005ms).any<RejectRequest>());
}

TEST(Weights, BelowZeroAreTakenForZero) {
  Fleet fleet;
  std::vector<EndpointRecord> entries{endpoint("r1", kPrefill), endpoint("r2", kPrefill),
                                      endpoint("w", kDecode)};
  entries.front().weight = -1;
  std::feclearexcept(FE_ALL_EXCEPT);
  fleet.list(entries);
  for (int n = 0; n < 20; ++n)
    EXPECT_EQ(fleet.arrive(numbered("q", n), numbered("p", n)).sentTo(), "r2");
  EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID));
}

// Their clock may be ahead of this node's, too.
TEST(ColdInstances, ThatBearNothingAtTheirStartAreNoDivisor) {
  Settings settings = plainSettings();
  settings.contract.warmupInitialShare = 0;
  Fleet fleet(settings);
  std::vector<EndpointRecord> entries{endpoint("r1", kPrefill), endpoint("r2", kPrefill),
                                      endpoint("w1", kDecode), endpoint("w2", kDecode)};
  for (EndpointRecord& entry : entries)
    entry.started = fleet.now() + 10s;
  fleet.list(entries).wait(4s);
  std::feclearexcept(FE_ALL_EXCEPT);
  EXPECT_NE(fleet.arrive("a").sentTo(), "");
  EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID));
}

TEST(Prompts, OfAnyLengthAreReckonedWithoutAnOverflow) {
  Settings settings = plainSettings();
  settings.kinds = {{Role::kPrefill, 1e300}, {Role::kDecode, 1e300}};
  for (const double tokens : {1e12, 2.3e17, 1e19, 1e200}) {
    Fleet fleet(settings);
    std::feclearexcept(FE_ALL_EXCEPT);
    fleet.list({endpoint("r", kPrefill), endpoint("w", kDecode)}).arrive("a", "", 6s, tokens);
    EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID)) << tokens;
    EXPECT_FALSE(fleet.any<RejectRequest>()) << tokens << ": its aim grows with it";
  }
}

TEST(Unusable, AreAnAimADeadlineOrAWindowOfNothing) {
  const auto problem = [](auto change) {
    Settings settings = plainSettings();
    change(settings);
    return problemWith(settings).has_value();
  };
  EXPECT_FALSE(problem([](Settings&) {}));
  EXPECT_TRUE(problem([](Settings& s) { s.classes[0].latencyObjective = 0s; }));
  EXPECT_TRUE(problem([](Settings& s) { s.classes[0].deadline = 0s; }));
  EXPECT_TRUE(problem([](Settings& s) { s.contract.overloadWindow = 0s; }));
}

INSTANTIATE_TEST_SUITE_P(Drawn,
                         SettingsAtTheEdge,
                         ::testing::ValuesIn(edges()),
                         [](const auto& edge) { return edge.param.name; });

}  // namespace
}  // namespace inference_router::routing
