// Simulated days with extreme but valid settings and with long prompts: the invariants hold, each
// request gets its final answer by its deadline, and no decision divides by zero.
#include <cfenv>

#include "support/simulated_day.h"

namespace inference_router::routing {
namespace {

// Adds a test failure if a decision produces NaN or infinity, or sends a prompt to an instance
// without enough memory.
class CheckedRouter {
 public:
  CheckedRouter(const DrawnDay& day, std::uint64_t seed)
      : settings_(day.settings), router_(std::make_shared<Router>(day.settings, seed)) {}
  void operator()(Time now, const Event& event, std::vector<Action>& actions) {
    track(event);
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
  void track(const Event& event) {
    if (const auto* arrival = std::get_if<Arrival>(&event))
      prompts_[arrival->request] = arrival->promptTokens;
    const auto* update = std::get_if<EndpointListUpdate>(&event);
    if (update == nullptr)
      return;
    for (const EndpointRecord& entry : update->entries)
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

struct SettingsCase {
  const char* name;
  DayKind kind;
  bool compared = true;  // with the random policy, which ignores the attempt limit
};

void PrintTo(const SettingsCase& settingsCase, std::ostream* out) {
  *out << settingsCase.name;
}

// Long prompts with few, unequally popular prefixes, and memory for only a part of the slots.
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
    for (ClassSettings& cls : day.settings.classes) {
      cls.latencyObjective = span(in(day.draw, 0.4, 1));
      cls.latencyObjectivePer1000 = span(in(day.draw, 0.04, 0.15));
    }
  };
  kind.fleet = [](DrawnDay& day) {
    for (std::size_t i = 0; i < day.sizes.size(); ++i) {
      const bool isPrefill = day.settings.kinds[i].role == Role::kPrefill;
      day.sizes[i] = {64, 64, in(day.draw, 20'000, 38'000), isPrefill};
      day.settings.kinds[i].memoryTokens = 64 * 5'500 * in(day.draw, 0.3, 0.7);
    }
  };
  return kind;
}

DayKind changedTraffic(std::function<void(DrawnDay&, ClientRequest&)> change) {
  DayKind kind;
  kind.traffic = [change = std::move(change)](DrawnDay& day) {
    for (ClientRequest& clientRequest : day.clientRequests)
      change(day, clientRequest);
  };
  return kind;
}

DayKind changedSettings(std::function<void(Settings&)> change) {
  DayKind kind;
  kind.settings = [change = std::move(change)](DrawnDay& day) { change(day.settings); };
  return kind;
}

DayKind changedFleet(std::function<void(DrawnDay&)> change) {
  DayKind kind;
  kind.fleet = std::move(change);
  return kind;
}

DayKind slotsOf(int count) {
  return changedFleet([count](DrawnDay& day) {
    for (InstanceSize& sizes : day.sizes)
      sizes.slots = count;
  });
}

DayKind weightsFromMin(double minWeight) {
  return changedFleet([minWeight](DrawnDay& day) {
    for (EndpointRecord& instance : day.instances)
      instance.weight = std::max(0.0, in(day.draw, minWeight, 1));
  });
}

DayKind noSharedTexts() {
  DayKind kind = changedTraffic([](DrawnDay&, ClientRequest& clientRequest) {
    clientRequest.arrival.prefix = clientRequest.arrival.session = "";
    clientRequest.arrival.prefixTokens = 0;
  });
  kind.shape.shared = {0, 0};
  return kind;
}

DayKind oneMixedKind() {
  return changedFleet([](DrawnDay& day) {
    for (EndpointRecord& instance : day.instances)
      instance.kind = {0};
    day.settings.kinds = {{Role::kMixed, 150'000}};
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
      day.settings.kinds.push_back({role, 1'000});
      day.instances[i].kind = {static_cast<std::uint32_t>(day.settings.kinds.size()) - 1};
      return;
    }
  });
}

DayKind smallMemory(Role role) {
  return changedFleet([role](DrawnDay& day) {
    for (KindSettings& kind : day.settings.kinds)
      if (kind.role == role)
        kind.memoryTokens = in(day.draw, 500, 4'000);
  });
}

// Only the instances of one role exist.
DayKind oneRole(Role role, bool decodeCanPrefill) {
  DayKind kind = changedFleet([role](DrawnDay& day) {
    std::erase_if(day.instances, [&](const EndpointRecord& instance) {
      return day.settings.kinds[instance.kind.value].role != role;
    });
    for (KindSettings& kind : day.settings.kinds)
      kind.role = role;
  });
  kind.settings = [decodeCanPrefill](DrawnDay& day) {
    day.settings.decodeCanPrefill = decodeCanPrefill;
  };
  return kind;
}

DayKind tenantsWithoutShare() {
  DayKind kind = changedTraffic([](DrawnDay& day, ClientRequest& clientRequest) {
    clientRequest.arrival.tenant = TenantIndex{static_cast<std::uint32_t>(oneOf(day.draw, 0, 1))};
  });
  kind.settings = [](DrawnDay& day) {
    day.settings.tenants = {{0, 0}, {0, 0}};
    day.settings.overQuotaWeight = 0;
  };
  return kind;
}

std::vector<SettingsCase> settingsCases() {
  std::vector<SettingsCase> all;
  all.push_back({"LongPrompts", longPrompts()});
  all.push_back({"NoSharedTexts", noSharedTexts()});
  all.push_back({"WholePromptsShared", changedTraffic([](DrawnDay&, ClientRequest& clientRequest) {
                   clientRequest.arrival.prefixTokens = clientRequest.arrival.promptTokens;
                 })});
  all.push_back(
      {"OneClass", changedSettings([](Settings& settings) { settings.classes.resize(1); })});
  all.push_back({"OneSmallPrefillInstance", oneSmallInstance(Role::kPrefill)});
  all.push_back({"OneSmallDecodeInstance", oneSmallInstance(Role::kDecode)});
  all.push_back({"SmallPrefillInstances", smallMemory(Role::kPrefill)});
  all.push_back({"SmallDecodeInstances", smallMemory(Role::kDecode)});
  all.push_back({"OnlyPrefillInstances", oneRole(Role::kPrefill, true)});
  all.push_back({"OnlyDecodeInstances", oneRole(Role::kDecode, false)});
  all.push_back({"OnlyDecodeInstancesThatPrefill", oneRole(Role::kDecode, true)});
  all.push_back({"SlotsOfOne", slotsOf(1)});
  all.push_back({"SlotsOfAThousand", slotsOf(1'000)});
  all.push_back({"OneMixedKind", oneMixedKind()});
  all.push_back({"TenantsWithoutShare", tenantsWithoutShare()});
  all.push_back({"WeightsOfZero", changedFleet([](DrawnDay& day) {
                   for (EndpointRecord& instance : day.instances)
                     instance.weight = 0;
                 })});
  all.push_back({"SomeWeightsOfZero", weightsFromMin(-1)});
  all.push_back({"PriorityWeightsOfZero", changedSettings([](Settings& settings) {
                   for (ClassSettings& cls : settings.classes)
                     cls.priorityWeight = cls.lateWeightShare = 0;
                 })});
  all.push_back({"NoInitialCapacity", changedSettings([](Settings& settings) {
                   settings.contract.warmupInitialShare = 0;
                 })});
  all.push_back({"WarmAtOnce", changedSettings([](Settings& settings) {
                   settings.contract.warmupDuration = 0s;
                 })});
  all.push_back({"NoGrace", changedSettings([](Settings& settings) {
                   settings.contract.answerGrace = settings.contract.drainGrace = 0s;
                   settings.tick = 0s;
                 })});
  all.push_back({"ObjectivesBeyondDeadlines", changedSettings([](Settings& settings) {
                   settings.contract.answerGrace = settings.tick = 0s;
                   for (ClassSettings& cls : settings.classes)
                     cls.latencyObjective = 2 * cls.deadline;
                 })});
  all.push_back({"NoTimeForRepeats", changedSettings([](Settings& settings) {
                   for (ClassSettings& cls : settings.classes)
                     cls.dedupWindow = 0s;
                 })});
  all.push_back({"EmptyPrompts", changedTraffic([](DrawnDay&, ClientRequest& clientRequest) {
                   clientRequest.arrival.promptTokens = clientRequest.arrival.prefixTokens =
                       clientRequest.arrival.maxTokens = 0;
                 })});
  all.push_back({"OneAttempt",
                 changedSettings([](Settings& settings) { settings.limits.maxAttempts = 1; }),
                 false});
  all.push_back({"TwoAttempts",
                 changedSettings([](Settings& settings) { settings.limits.maxAttempts = 2; })});
  return all;
}

class ExtremeSettings : public ::testing::TestWithParam<SettingsCase> {};

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kDays = 3;
#else
constexpr std::uint64_t kDays = 20;
#endif

// Whether the prompt fits into the memory of a kind whose role satisfies `hasRole`.
template <class RolePredicate>
bool fitsSomewhere(const DrawnDay& day,
                   const ClientRequest& clientRequest,
                   const RolePredicate& hasRole) {
  return std::any_of(
      day.settings.kinds.begin(), day.settings.kinds.end(), [&](const KindSettings& kind) {
        return hasRole(kind.role) && clientRequest.arrival.promptTokens <= kind.memoryTokens;
      });
}

TEST_P(ExtremeSettings, KeepInvariantsAndServeNoLessThanARandomPolicy) {
  double gain = 0;
  for (std::uint64_t seed = 1; seed <= kDays && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const DrawnDay day(seed, GetParam().kind);
    const auto seedOf = [seed](int n) { return seed * 10 + static_cast<std::uint64_t>(n); };
    const auto routerPolicy = [&](int n) { return CheckedRouter(day, seedOf(n)); };
    const auto randomPolicy = [&](int n) { return RandomPolicy(day.settings, seedOf(n)); };
    const SimulatedDay routed(day, routerPolicy, true);
    EXPECT_LE(routed.maxSlowStartExcess(), 0) << "instances in slow start are overloaded";
    EXPECT_EQ(routed.unanswered(), 0U) << "of " << day.clientRequests.size();
    for (const ClientRequest& clientRequest : day.clientRequests) {
      const bool cannotBeServed = !fitsSomewhere(day, clientRequest, [&](Role role) {
        return role != Role::kDecode || day.settings.decodeCanPrefill;
      }) || !fitsSomewhere(day, clientRequest, [](Role role) { return role != Role::kPrefill; });
      EXPECT_TRUE(!cannotBeServed || routed.attemptsOf(clientRequest.arrival.request) == 0);
    }
    const SimulatedDay baseline(day, randomPolicy, false);
    if (!GetParam().compared || baseline.maxSlowStartExcess() > 0)
      continue;  // not comparable: it serves more by overloading instances
    gain += routed.served() - baseline.served();
  }
  EXPECT_GE(gain, 0) << "of " << kDays << " days";
}

// ---- Single requests

TEST(InstanceSize, PromptThatNoInstanceCanPrefillIsRejectedImmediately) {
  Settings settings = plainSettings();
  settings.kinds = {{Role::kPrefill, 500}, {Role::kDecode, 100'000}};
  RouterHarness router(settings);
  router.updateEndpoints({endpoint("r", kPrefill), endpoint("w", kDecode)})
      .arrive("a", "", 6s, 1'000);
  EXPECT_TRUE(router.hasAction<RejectRequest>());
  EXPECT_FALSE(router.hasAction<DispatchAttempt>());
}

TEST(InstanceSize, PromptThatFitsOnlyADecodeInstanceIsPrefilledThere) {
  Settings settings = plainSettings();
  settings.kinds = {{Role::kPrefill, 500}, {Role::kDecode, 100'000}};
  settings.decodeCanPrefill = true;
  RouterHarness router(settings);
  router.updateEndpoints({endpoint("r", kPrefill), endpoint("w", kDecode)})
      .arrive("a", "", 6s, 1'000);
  EXPECT_EQ(router.sentTo(), "w");
}

TEST(InstanceSize, PromptIsSentToInstancesWithEnoughMemory) {
  Settings settings = plainSettings();
  settings.kinds = {
      {Role::kPrefill, 500}, {Role::kDecode, 500}, {Role::kPrefill, 9'000}, {Role::kDecode, 9'000}};
  for (int n = 0; n < 20; ++n) {
    RouterHarness router(settings, static_cast<std::uint64_t>(n));
    router.updateEndpoints(
        {endpoint("r1", 0), endpoint("w1", 1), endpoint("r2", 2), endpoint("w2", 3)});
    EXPECT_EQ(router.arrive("a", numbered("p", n), 6s, 1'000).sentTo(), "r2");
    EXPECT_EQ(router.reservedAt(), "w2");
    EXPECT_EQ(router.advance(20ms).endAttempt("a", "r2", AttemptOutcome::kPrefilled).sentTo(),
              "w2");
  }
}

TEST(Deadlines, WithoutGraceTheFinalAnswerComesByTheDeadline) {
  Settings settings = plainSettings();
  settings.contract.answerGrace = settings.tick = 0s;
  settings.classes[0].latencyObjective = 1min;
  RouterHarness router(settings);
  router.updateEndpoints({}).arrive("a", "", 1'005ms);
  EXPECT_TRUE(router.advance(1'005ms).hasAction<RejectRequest>());
}

TEST(Weights, NegativeWeightsCountAsZero) {
  RouterHarness router;
  std::vector<EndpointRecord> entries{endpoint("r1", kPrefill), endpoint("r2", kPrefill),
                                      endpoint("w", kDecode)};
  entries.front().weight = -1;
  std::feclearexcept(FE_ALL_EXCEPT);
  router.updateEndpoints(entries);
  for (int n = 0; n < 20; ++n)
    EXPECT_EQ(router.arrive(numbered("q", n), numbered("p", n)).sentTo(), "r2");
  EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID));
}

// The start time lies in the future, as the clock of an instance may be ahead of this node's.
TEST(SlowStart, OfInstancesWithoutInitialCapacityDoesNotDivideByZero) {
  Settings settings = plainSettings();
  settings.contract.warmupInitialShare = 0;
  RouterHarness router(settings);
  std::vector<EndpointRecord> entries{endpoint("r1", kPrefill), endpoint("r2", kPrefill),
                                      endpoint("w1", kDecode), endpoint("w2", kDecode)};
  for (EndpointRecord& entry : entries)
    entry.started = router.now() + 10s;
  router.updateEndpoints(entries).advance(4s);
  std::feclearexcept(FE_ALL_EXCEPT);
  EXPECT_NE(router.arrive("a").sentTo(), "");
  EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID));
}

TEST(Prompts, OfAnyLengthAreEstimatedWithoutOverflow) {
  Settings settings = plainSettings();
  settings.kinds = {{Role::kPrefill, 1e300}, {Role::kDecode, 1e300}};
  for (const double tokens : {1e12, 2.3e17, 1e19, 1e200}) {
    RouterHarness router(settings);
    std::feclearexcept(FE_ALL_EXCEPT);
    router.updateEndpoints({endpoint("r", kPrefill), endpoint("w", kDecode)})
        .arrive("a", "", 6s, tokens);
    EXPECT_FALSE(std::fetestexcept(FE_DIVBYZERO | FE_INVALID)) << tokens;
    EXPECT_FALSE(router.hasAction<RejectRequest>()) << tokens << ": its objective grows with it";
  }
}

TEST(InvalidSettings, IfObjectiveDeadlineOrWindowIsZero) {
  const auto problem = [](auto change) {
    Settings settings = plainSettings();
    change(settings);
    return validate(settings).has_value();
  };
  EXPECT_FALSE(problem([](Settings&) {}));
  EXPECT_TRUE(problem([](Settings& s) { s.classes[0].latencyObjective = 0s; }));
  EXPECT_TRUE(problem([](Settings& s) { s.classes[0].deadline = 0s; }));
  EXPECT_TRUE(problem([](Settings& s) { s.contract.overloadWindow = 0s; }));
}

INSTANTIATE_TEST_SUITE_P(Drawn,
                         ExtremeSettings,
                         ::testing::ValuesIn(settingsCases()),
                         [](const auto& settingsCase) { return settingsCase.param.name; });

}  // namespace
}  // namespace inference_router::routing
