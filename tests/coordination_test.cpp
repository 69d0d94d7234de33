// What routers do together: the maintenance and the clean-up as decisions, the presence of a
// router, the plan's drains in the membership, the operator's file and the admin endpoint.
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

#include "control/commands.h"
#include "coordination/cleanup.h"
#include "coordination/lease_encoding.h"
#include "coordination/plan_commands.h"
#include "coordination/presence.h"
#include "coordination/runner.h"
#include "coordination/setup.h"
#include "coordination/sqlite_store.h"
#include "fleet.h"
#include "fleet/membership.h"
#include "net/line_server.h"
#include "support/plan_checker.h"
#include "support/program.h"

namespace inference_router {
namespace {

using namespace coordination;
using nlohmann::json;
// ---- Maintenance
// -----------------------------------------------------------------------------------

coordination::Presence said(const std::string& name,
                            std::uint64_t beat,
                            const std::string& plan,
                            std::uint64_t steps,
                            const std::map<std::string, std::uint64_t>& open = {}) {
  coordination::Presence told;
  told.holder.name = name;
  told.holder.incarnation = 1;
  told.sequence = beat;
  told.plan = plan;
  told.steps = steps;
  told.open = open;
  return told;
}

struct Site {
  FleetInstances instances{{"r1", {"read", 0, true}},
                           {"r2", {"read", 0, true}},
                           {"r3", {"read", 1, true}},
                           {"w1", {"write", 0, true}},
                           {"w2", {"write", 0, true}}};
  View view;
  std::uint64_t revision = 0;
  double now = 0;
  MaintenanceConfig config;
  std::unique_ptr<Maintenance> holder = fresh();

  std::unique_ptr<Maintenance> fresh() {
    config.warmupMs = 1000;
    config.silentNodeMs = 5000;
    return std::make_unique<Maintenance>(config, [this] { return instances; });
  }
  void put(const std::string& key, const std::string& value) {
    view.documents[key] = {value, ++revision};
  }
  PlanDecision say(PlanCommand command) {
    const PlanDecision answer = decide(command, view, instances, 0);
    if (answer.write)
      put(answer.write->key, *answer.write->value);
    return answer;
  }
  PlanDecision start(std::vector<std::string> names, const std::string& id = "june") {
    PlanCommand command;
    command.id = id;
    command.instances = std::move(names);
    command.operatorName = "anna";
    return say(command);
  }
  PlanDecision say(PlanCommand::Kind kind, std::vector<std::string> names = {}) {
    PlanCommand command;
    command.kind = kind;
    command.instances = std::move(names);
    return say(command);
  }
  Plan plan() { return *Plan::parse(view.documents.at(kPlanKey).value); }
  void node(const std::string& name, std::map<std::string, std::uint64_t> open = {}) {
    static std::uint64_t beats = 0;
    put("node/" + name, said(name, ++beats, plan().id, plan().steps, open).serialize());
  }
  bool step() {
    const auto step = holder->next(view, 5, now);
    if (!step)
      return false;
    EXPECT_EQ(step->writes.size(), 1u);
    EXPECT_EQ(step->writes[0].expectedRevision, view.documents.at(kPlanKey).revision);
    put(kPlanKey, *step->writes[0].value);
    return true;
  }
  std::string states() {
    std::string text;
    for (const PlanItem& item : plan().items)
      text += item.instance + ":" + nameOf(item.state) + " ";
    return text;
  }
};

TEST(MaintenanceOfAFleet, TakesInstancesOutInTurnOneOfARoleAndCellAtATime) {
  Site site;
  ASSERT_EQ(site.start({"r1", "r2", "w1"}).error, "");
  ASSERT_TRUE(site.step());
  ASSERT_TRUE(site.step());
  EXPECT_EQ(site.states(), "r1:draining r2:waiting w1:draining ");
  EXPECT_FALSE(site.step()) << "no conductor has said that it heard";
  site.node("c1");
  site.node("c2", {{"r1", 2}});
  ASSERT_TRUE(site.step());
  EXPECT_EQ(site.states(), "r1:draining r2:waiting w1:out ") << "c2 has two requests open at r1";
  site.node("c2");
  while (site.step())
    site.node("c1"), site.node("c2");
  EXPECT_EQ(site.states(), "r1:warming r2:waiting w1:warming ");
  site.now += 999;
  EXPECT_FALSE(site.step());
  site.now += 1;
  while (site.step())
    site.node("c1"), site.node("c2");
  EXPECT_EQ(site.states(), "r1:done r2:warming w1:done ");
  site.now += 1000;
  while (site.step()) {
  }
  EXPECT_EQ(site.plan().state, PlanState::kDone);
  EXPECT_EQ(site.plan().fence, 5u);
}

TEST(MaintenanceOfAFleet, NeverTakesTheLastOfARole) {
  Site site;
  site.instances["w2"].serves = false;  // an operator has it out by hand
  site.start({"w1"});
  EXPECT_FALSE(site.step());
  site.instances["w2"].serves = true;
  EXPECT_TRUE(site.step());
  EXPECT_EQ(site.states(), "w1:draining ");
}

TEST(MaintenanceOfAFleet, GoesOnAtTheRightInstanceAfterItsHolderWasLost) {
  Site site;
  site.start({"r1", "r2"});
  for (int i = 0; i < 60; ++i) {
    site.holder = site.fresh();  // a new holder for every step
    for (int j = 0; j < 3 && !site.step(); ++j)
      site.now += 1000, site.node("c1");
  }
  EXPECT_EQ(site.plan().state, PlanState::kDone);
  // Each instance went its five ways once: draining, out, warming, done; and one step ended the
  // plan.
  EXPECT_EQ(site.plan().steps, 2u * 4 + 1);
}

TEST(MaintenanceOfAFleet, DoesNotWaitForAConductorThatIsSilentForLong) {
  Site site;
  site.start({"r1"});
  site.step();
  site.node("c1");
  site.put("node/gone", said("gone", 1, "", 0).serialize());
  EXPECT_FALSE(site.step());
  for (site.now = 1000; site.now < 5000; site.now += 1000) {
    site.node("c1");
    EXPECT_FALSE(site.step()) << site.now;
  }
  site.now = 5000;
  site.node("c1");
  EXPECT_TRUE(site.step());
  EXPECT_EQ(site.states(), "r1:out ");
}

TEST(MaintenanceOfAFleet, PausesGoesOnEndsAndWaitsForAnOperatorsWord) {
  Site site;
  PlanCommand command;
  command.id = "july";
  command.instances = {"r1", "r2"};
  command.confirm = true;
  ASSERT_EQ(site.say(command).error, "");
  site.step();
  EXPECT_NE(site.say(PlanCommand::Kind::kConfirmReturn, {"r1"}).error, "") << "it is not out yet";
  site.node("c1");
  site.step();
  site.now += 60'000;
  EXPECT_FALSE(site.step());
  ASSERT_EQ(site.say(PlanCommand::Kind::kPause).error, "");
  ASSERT_EQ(site.say(PlanCommand::Kind::kConfirmReturn, {"r1"}).error, "");
  EXPECT_TRUE(site.step());
  EXPECT_EQ(site.states(), "r1:warming r2:waiting ");
  EXPECT_FALSE(site.step());  // seen now, and warm after its time
  site.now += 5000;
  EXPECT_TRUE(site.step());
  EXPECT_FALSE(site.step()) << "paused, it begins no other";
  ASSERT_EQ(site.say(PlanCommand::Kind::kResume).error, "");
  EXPECT_TRUE(site.step());
  EXPECT_EQ(site.states(), "r1:done r2:draining ");
  ASSERT_EQ(site.say(PlanCommand::Kind::kCancel).error, "");
  EXPECT_NE(site.say(PlanCommand::Kind::kResume).error, "");
  EXPECT_TRUE(site.step());
  EXPECT_EQ(site.states(), "r1:done r2:warming ");
  EXPECT_TRUE(site.plan().finished());
  EXPECT_FALSE(site.step());
}

TEST(MaintenanceOfAFleet, OfTwoPlansOneWinsAndWhatCannotBeIsToldApart) {
  Site site;
  EXPECT_NE(site.start({"nobody"}).error.find("nobody"), std::string::npos);
  EXPECT_NE(site.start({"r1", "r1"}).error.find("twice"), std::string::npos);
  EXPECT_NE(site.start({}).error, "");
  EXPECT_NE(site.say(PlanCommand::Kind::kPause).error, "") << "none is under way";
  ASSERT_EQ(site.start({"r1"}).error, "");
  const std::string told = site.start({"r2"}, "other").error;
  EXPECT_NE(told.find("plan june of anna is running"), std::string::npos) << told;
  PlanCommand stale;
  stale.kind = PlanCommand::Kind::kCancel;
  stale.expectedRevision = 999;
  EXPECT_NE(site.say(stale).error.find("revision"), std::string::npos);
  // What this program cannot read it does not write over.
  site.put(kPlanKey, R"({"form":"dahliastall-plan-9"})");
  EXPECT_NE(site.start({"r1"}, "x").error.find("cannot be read"), std::string::npos);
  EXPECT_FALSE(site.step());
}

TEST(CleanUpAfterConductors, RemovesWhatHasNotSpokenForLongAndNothingElse) {
  Cleanup cleanup({});
  const double gone = Cleanup::Config{}.goneMs;
  View view;
  view.documents["node/lives"] = {"{}", 1};
  view.documents["node/dead"] = {"{}", 2};
  view.documents["other"] = {"{}", 3};
  double now = 1e9;
  std::uint64_t revision = 10;
  std::optional<Step> step;
  for (const double begun = now; now < begun + gone; now += 1000) {
    view.documents["node/lives"].revision = ++revision;
    ASSERT_FALSE(step = cleanup.next(view, 1, now)) << step->description;
  }
  step = cleanup.next(view, 1, now);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->writes.front().key, "node/dead");
  EXPECT_EQ(step->writes.front().expectedRevision, 2u)
      << "only as it was seen: it may speak at this moment";
  EXPECT_FALSE(step->writes.front().value);
  // A holder that was stopped for as long knows nothing of what has happened meanwhile.
  now += gone;
  EXPECT_FALSE(cleanup.next(view, 1, now));
}

// ---- A router's own word
// ------------------------------------------------------------------------

TEST(OwnWordOfAConductor, StepsBackBeforeANamesakeThatWritesOverIt) {
  PresencePublisher older({"c1", 1}, 1000), newer({"c1", 2}, 1000);
  std::map<std::string, Document> documents;
  std::uint64_t revision = 0;
  const auto speak = [&](PresencePublisher& who, double now) {
    who.onRead(documents, now);
    const auto write = who.nextWrite({}, now);
    if (!write)
      return;
    const auto it = documents.find(write->key);
    const bool fits = write->expectedRevision == (it == documents.end() ? 0 : it->second.revision);
    if (fits)
      documents[write->key] = {*write->value, ++revision};
    who.onWritten({fits ? CommitStatus::kDone : CommitStatus::kConflict, revision}, now);
  };
  speak(older, 0);
  speak(newer, 10);  // as after a restart: what was left is written over
  speak(older, 2000);
  EXPECT_TRUE(older.nameConflict());
  speak(newer, 3000);
  EXPECT_FALSE(newer.nameConflict());
  EXPECT_EQ(Presence::parse(documents.at("node/c1").value)->holder.incarnation, 2u);
  documents.clear();  // taken for dead, it says again that it lives
  speak(newer, 5000);
  EXPECT_EQ(documents.size(), 1u);
}

TEST(DocumentsOfTheFleet, ThatAreDamagedOrForeignAreNone) {
  const std::string plan = [] {
    Plan one;
    one.id = "june";
    one.items = {{"r1", ItemState::kOut, 2, false, ""}};
    return one.serialize();
  }();
  ASSERT_TRUE(Plan::parse(plan));
  const std::string node = said("c1", 1, "june", 2, {{"r1", 1}}).serialize();
  ASSERT_TRUE(Presence::parse(node));
  LeaseCell cell;
  cell.fence = 3;
  cell.record = LeaseRecord{{"c1", 1}, 3, 1, 0, 0};
  ASSERT_EQ(parseLeaseCell(serialize(cell)), cell);
  for (std::size_t cut = 0; cut + 1 < plan.size(); ++cut)
    EXPECT_FALSE(Plan::parse(plan.substr(0, cut)));
  for (std::size_t cut = 0; cut + 1 < node.size(); ++cut)
    EXPECT_FALSE(Presence::parse(node.substr(0, cut)));
  for (const char* other : {"{}", "[]", "null", "7", R"({"form":"dahliastall-plan-2"})"}) {
    EXPECT_FALSE(Plan::parse(other));
    EXPECT_FALSE(Presence::parse(other));
    EXPECT_FALSE(parseLeaseCell(other));
    EXPECT_FALSE(parseLeaseRecord(std::string_view(other)));
  }
}

TEST(MembershipUnderAPlan, DrainsAndBringsBackAsJustStarted) {
  using routing::EndpointState, routing::endpoint, routing::kPrefill;
  fleet::Membership members(1);
  members.applyUpdate(
      {1, routing::EndpointListForm::kFull, {endpoint("a", kPrefill), endpoint("b", kPrefill)}}, 0);
  const auto out = members.setPlannedDrains({"a", "unlisted"}, 10);
  ASSERT_TRUE(out);
  ASSERT_EQ(out->entries.size(), 1u);
  EXPECT_EQ(out->entries[0].state, EndpointState::kDraining);
  EXPECT_FALSE(members.setPlannedDrains({"a", "unlisted"}, 20)) << "heard again it is no news";
  EXPECT_EQ(
      members.applyUpdate({2, routing::EndpointListForm::kChanges, {endpoint("a", kPrefill)}}, 30)
          .entries[0]
          .state,
      EndpointState::kDraining);
  // An operator's exclusion holds beyond the plan.
  members.exclude("a", 40);
  const auto back = members.setPlannedDrains({}, 50);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->entries[0].state, EndpointState::kDraining);
  const auto in = members.include("a", 60);
  EXPECT_EQ(in.update->entries[0].state, EndpointState::kActive);
  members.setPlannedDrains({"b"}, 70);
  EXPECT_EQ(members.setPlannedDrains({}, 80)->entries[0].started, core::toModuleTime(80));
}

// ---- The operator's file and the door
// --------------------------------------------------------------

TEST(CoordinationInTheFile, NamesWhatIsWrongByItsPath) {
  const json good = json::parse(R"({"name":"c1","store":{"kind":"sqlite","path":"/tmp/x.db"}})");
  EXPECT_EQ(setupOf(core::ConfigReader(good, "coordination"), 1000).sqlitePath, "/tmp/x.db");
  const auto told = [&](const char* change) {
    json file = good;
    file.merge_patch(json::parse(change));
    try {
      setupOf(core::ConfigReader(file, "coordination"), 1000);
    } catch (const std::invalid_argument& fault) {
      return std::string(fault.what());
    }
    return std::string();
  };
  const std::pair<const char*, const char*> wrong[] = {
      {R"({"name":null})", "coordination.name is missing"},
      {R"({"name":"a/b"})", "coordination.name is not a plain word"},
      {R"({"store":{"path":null}})", "coordination.store.path is missing"},
      {R"({"store":{"kind":"redis"}})", "coordination.store.kind is sqlite or etcd, not redis"},
      {R"({"store":{"kind":"etcd","path":null}})", "coordination.store.endpoints is missing"},
      {R"({"store":{"kind":"etcd","path":null,"endpoints":["here"]}})",
       "coordination.store.endpoints[0]: 'here'"},
      {R"({"store":{"kind":"etcd","path":null,"endpoints":["127.0.0.1:1"]},"lease_s":7.5})",
       "whole number of seconds"},
      {R"({"lease_s":1.2})", "coordination cannot be used: the lease is too short"},
      {R"({"drift":0.9})", "coordination cannot be used: drift"},
      {R"({"lease_s":"5"})", "coordination.lease_s is not a number"},
      {R"({"leases":1})", "coordination.leases is not known here"},
      {R"({"cleanup":{"gone_s":0}})", "coordination.cleanup.gone_s is not above 0"}};
  for (const auto& [change, what] : wrong)
    EXPECT_NE(told(change).find(what), std::string::npos) << told(change);
}

struct Talker final : control::AdminApi {
  control::CommandResult ready() override { return {true, ""}; }
  control::CommandResult exclude(const std::string&) override { return {true, ""}; }
  control::CommandResult include(const std::string&) override { return {true, ""}; }
  control::CommandResult evacuate() override { return {true, ""}; }
  control::CommandResult activate() override { return {true, ""}; }
  const core::RequestMetrics& metrics() override { return metrics_; }
  std::size_t openRequests() override { return 0; }
  control::InstanceCounts instanceCounts() override { return {0, 0}; }
  const std::vector<std::string>& classNames() override { return classes_; }
  std::string instancesReport() override { return ""; }
  std::string leasesReport(control::ReportFormat format) override {
    return format == control::ReportFormat::kJson ? "{}\n" : "lease t\n";
  }
  std::string maintenanceReport() override { return "plan none\n"; }
  void changeMaintenance(const control::Arguments& arguments, ResultHandler onResult) override {
    heard = arguments;
    later = std::move(onResult);
  }
  core::RequestMetrics metrics_;
  std::vector<std::string> classes_, heard;
  ResultHandler later;
};

// An answer that comes later is given when it is there; one for a caller that has gone goes
// nowhere.
TEST(DoorForFleetTasks, AnswersWhenTheStoreHas) {
  Stage stage;
  Talker service;
  net::LineServer door(
      stage.io, anyPort(),
      net::LineServer::LaterAnswer([&](std::string_view line, net::LineServer::Reply reply) {
        control::executeAsync(service, line, std::move(reply));
      }),
      stage.clock, stage.timers, stage.counters, net::LineServer::Limits{});
  EXPECT_EQ(callAdmin(stage.io, door.address(), "leases"), "lease t\neof\n");
  EXPECT_EQ(callAdmin(stage.io, door.address(), "maintenance"), "plan none\neof\n");
  EXPECT_EQ(callAdmin(stage.io, door.address(), "leases all").substr(0, 4), "fail");
  RawPeer caller(stage.io);
  caller.connect(door.address());
  caller.write("maintenance start june r1\n");
  ASSERT_TRUE(stage.until([&] { return static_cast<bool>(service.later); }));
  EXPECT_EQ(service.heard, (std::vector<std::string>{"start", "june", "r1"}));
  service.later({true, "begun"});
  ASSERT_TRUE(stage.until([&] { return caller.ended(); }));
  EXPECT_EQ(caller.seen, "ok begun\n");
  RawPeer gone(stage.io);
  gone.connect(door.address());
  service.later = nullptr;
  gone.write("maintenance pause\n");
  ASSERT_TRUE(stage.until([&] { return static_cast<bool>(service.later); }));
  gone.reset();
  stage.pass(net::LineServer::Limits{}.callMs + 1);
  EXPECT_EQ(door.size(), 0u) << "a store that never answers does not keep callers";
  service.later({true, "too late"});
}

// ---- The checker itself
// ----------------------------------------------------------------------------

TEST(CheckerOfHistories, FindsWhatBreaksThePromises) {
  using Event = EtcdStandIn::Event;
  using Kind = Event::Kind;
  const auto plan = [](std::uint64_t steps, std::uint64_t fence,
                       std::vector<std::pair<std::string, std::string>> items) {
    json list = json::array();
    for (const auto& [instance, state] : items)
      list.push_back({{"box", instance}, {"state", state}});
    return Event{Kind::kPut, "x/doc/plan",
                 json{{"id", "june"},
                      {"state", "running"},
                      {"steps", steps},
                      {"fence", fence},
                      {"items", list}}
                     .dump(),
                 0};
  };
  const auto grant = [](std::uint64_t fence) {
    return std::vector<Event>{{Kind::kPut, "x/lease/maintenance", "", 0},
                              {Kind::kPut, "x/fence/maintenance", std::to_string(fence), 0}};
  };
  const auto course = [&](std::vector<std::vector<Event>> parts) {
    std::vector<Event> all;
    for (const auto& part : parts)
      all.insert(all.end(), part.begin(), part.end());
    return findViolations(all, "x/").size();
  };
  const Event begun = plan(0, 0, {{"a", "waiting"}, {"b", "waiting"}}),
              first = plan(1, 1, {{"a", "draining"}, {"b", "waiting"}});
  const Event second = plan(2, 1, {{"a", "out"}, {"b", "waiting"}});
  EXPECT_EQ(course({grant(1), {begun, first, second}}), 0u);
  EXPECT_EQ(
      course({grant(1), {begun, first}, grant(2), {plan(2, 2, {{"a", "out"}, {"b", "waiting"}})}}),
      0u);
  EXPECT_GT(course({grant(1), {begun, first}, grant(2), {second}}), 0u) << "an older fence";
  EXPECT_GT(
      course({grant(1), {begun, first, {Kind::kExpired, "x/lease/maintenance", "", 0}, second}}),
      0u)
      << "lapsed";
  EXPECT_GT(course({grant(2), grant(2)}), 0u) << "a fence twice";
  EXPECT_GT(course({grant(1), {begun, first, plan(3, 1, {{"a", "out"}, {"b", "waiting"}})}}), 0u)
      << "a step left out";
  EXPECT_GT(course({grant(1), {begun, plan(1, 1, {{"a", "out"}, {"b", "waiting"}})}}), 0u)
      << "out without a drain";
  EXPECT_GT(course({grant(1), {begun, first, plan(2, 1, {{"a", "draining"}, {"b", "draining"}})}}),
            0u)
      << "two at once";
}

}  // namespace
}  // namespace inference_router
