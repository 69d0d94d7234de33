// Tests of the fleet tasks: decisions of maintenance and cleanup, the presence of a router, planned
// drains in the membership, the coordination section of the operator's file, and the commands of
// the admin endpoint.
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
#include "fleet/membership.h"
#include "net/line_server.h"
#include "router_harness.h"
#include "support/plan_checker.h"
#include "support/program.h"

namespace inference_router {
namespace {

using namespace coordination;
using nlohmann::json;

// ---- Maintenance

coordination::Presence presenceOf(const std::string& name,
                                  std::uint64_t sequence,
                                  const std::string& plan,
                                  std::uint64_t steps,
                                  const std::map<std::string, std::uint64_t>& open = {}) {
  coordination::Presence presence;
  presence.holder.name = name;
  presence.holder.incarnation = 1;
  presence.sequence = sequence;
  presence.plan = plan;
  presence.steps = steps;
  presence.open = open;
  return presence;
}

struct MaintenanceFixture {
  FleetInstances instances{{"r1", {"read", 0, true}},
                           {"r2", {"read", 0, true}},
                           {"r3", {"read", 1, true}},
                           {"w1", {"write", 0, true}},
                           {"w2", {"write", 0, true}}};
  View view;
  std::uint64_t revision = 0;
  double now = 0;
  MaintenanceConfig config;
  std::unique_ptr<Maintenance> maintenance = newMaintenance();

  std::unique_ptr<Maintenance> newMaintenance() {
    config.warmupMs = 1000;
    config.silentNodeMs = 5000;
    return std::make_unique<Maintenance>(config, [this] { return instances; });
  }
  void put(const std::string& key, const std::string& value) {
    view.documents[key] = {value, ++revision};
  }
  PlanDecision execute(PlanCommand command) {
    const PlanDecision decision = decide(command, view, instances, 0);
    if (decision.write)
      put(decision.write->key, *decision.write->value);
    return decision;
  }
  PlanDecision start(std::vector<std::string> instanceIds, const std::string& id = "june") {
    PlanCommand command;
    command.id = id;
    command.instances = std::move(instanceIds);
    command.operatorName = "anna";
    return execute(command);
  }
  PlanDecision execute(PlanCommand::Kind kind, std::vector<std::string> instanceIds = {}) {
    PlanCommand command;
    command.kind = kind;
    command.instances = std::move(instanceIds);
    return execute(command);
  }
  Plan plan() { return *Plan::parse(view.documents.at(kPlanKey).value); }
  void putPresence(const std::string& name, std::map<std::string, std::uint64_t> open = {}) {
    static std::uint64_t sequence = 0;
    put("node/" + name, presenceOf(name, ++sequence, plan().id, plan().steps, open).serialize());
  }
  bool step() {
    const auto step = maintenance->next(view, 5, now);
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

TEST(MaintenanceTask, DrainsOneInstanceOfARoleAndCellAtATime) {
  MaintenanceFixture fixture;
  ASSERT_EQ(fixture.start({"r1", "r2", "w1"}).error, "");
  ASSERT_TRUE(fixture.step());
  ASSERT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "r1:draining r2:waiting w1:draining ");
  EXPECT_FALSE(fixture.step()) << "no router has confirmed the drain yet";
  fixture.putPresence("c1");
  fixture.putPresence("c2", {{"r1", 2}});
  ASSERT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "r1:draining r2:waiting w1:out ") << "c2 has two requests open at r1";
  fixture.putPresence("c2");
  while (fixture.step())
    fixture.putPresence("c1"), fixture.putPresence("c2");
  EXPECT_EQ(fixture.states(), "r1:warming r2:waiting w1:warming ");
  fixture.now += 999;
  EXPECT_FALSE(fixture.step());
  fixture.now += 1;
  while (fixture.step())
    fixture.putPresence("c1"), fixture.putPresence("c2");
  EXPECT_EQ(fixture.states(), "r1:done r2:warming w1:done ");
  fixture.now += 1000;
  while (fixture.step()) {
  }
  EXPECT_EQ(fixture.plan().state, PlanState::kDone);
  EXPECT_EQ(fixture.plan().fence, 5u);
}

TEST(MaintenanceTask, NeverDrainsTheLastInstanceOfARole) {
  MaintenanceFixture fixture;
  fixture.instances["w2"].serves = false;  // excluded by an operator
  fixture.start({"w1"});
  EXPECT_FALSE(fixture.step());
  fixture.instances["w2"].serves = true;
  EXPECT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "w1:draining ");
}

TEST(MaintenanceTask, ContinuesThePlanAfterEachChangeOfHolder) {
  MaintenanceFixture fixture;
  fixture.start({"r1", "r2"});
  for (int i = 0; i < 60; ++i) {
    fixture.maintenance = fixture.newMaintenance();  // a new holder for every step
    for (int j = 0; j < 3 && !fixture.step(); ++j)
      fixture.now += 1000, fixture.putPresence("c1");
  }
  EXPECT_EQ(fixture.plan().state, PlanState::kDone);
  // Each instance passed through draining, out, warming and done once, and one step finished the
  // plan.
  EXPECT_EQ(fixture.plan().steps, 2u * 4 + 1);
}

TEST(MaintenanceTask, IgnoresARouterWithoutPresenceUpdates) {
  MaintenanceFixture fixture;
  fixture.start({"r1"});
  fixture.step();
  fixture.putPresence("c1");
  fixture.put("node/stopped", presenceOf("stopped", 1, "", 0).serialize());
  EXPECT_FALSE(fixture.step());
  for (fixture.now = 1000; fixture.now < 5000; fixture.now += 1000) {
    fixture.putPresence("c1");
    EXPECT_FALSE(fixture.step()) << fixture.now;
  }
  fixture.now = 5000;
  fixture.putPresence("c1");
  EXPECT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "r1:out ");
}

TEST(MaintenanceTask, FollowsPauseResumeCancelAndConfirmCommands) {
  MaintenanceFixture fixture;
  PlanCommand command;
  command.id = "july";
  command.instances = {"r1", "r2"};
  command.confirm = true;
  ASSERT_EQ(fixture.execute(command).error, "");
  fixture.step();
  EXPECT_NE(fixture.execute(PlanCommand::Kind::kConfirmReturn, {"r1"}).error, "")
      << "it is not out yet";
  fixture.putPresence("c1");
  fixture.step();
  fixture.now += 60'000;
  EXPECT_FALSE(fixture.step());
  ASSERT_EQ(fixture.execute(PlanCommand::Kind::kPause).error, "");
  ASSERT_EQ(fixture.execute(PlanCommand::Kind::kConfirmReturn, {"r1"}).error, "");
  EXPECT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "r1:warming r2:waiting ");
  EXPECT_FALSE(fixture.step());  // the warm-up is measured from this observation
  fixture.now += 5000;
  EXPECT_TRUE(fixture.step());
  EXPECT_FALSE(fixture.step()) << "a paused plan drains no further instances";
  ASSERT_EQ(fixture.execute(PlanCommand::Kind::kResume).error, "");
  EXPECT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "r1:done r2:draining ");
  ASSERT_EQ(fixture.execute(PlanCommand::Kind::kCancel).error, "");
  EXPECT_NE(fixture.execute(PlanCommand::Kind::kResume).error, "");
  EXPECT_TRUE(fixture.step());
  EXPECT_EQ(fixture.states(), "r1:done r2:warming ");
  EXPECT_TRUE(fixture.plan().finished());
  EXPECT_FALSE(fixture.step());
}

TEST(MaintenanceTask, RejectsASecondPlanAndInvalidCommands) {
  MaintenanceFixture fixture;
  EXPECT_NE(fixture.start({"nobody"}).error.find("nobody"), std::string::npos);
  EXPECT_NE(fixture.start({"r1", "r1"}).error.find("twice"), std::string::npos);
  EXPECT_NE(fixture.start({}).error, "");
  EXPECT_NE(fixture.execute(PlanCommand::Kind::kPause).error, "") << "no plan is in progress";
  ASSERT_EQ(fixture.start({"r1"}).error, "");
  const std::string error = fixture.start({"r2"}, "other").error;
  EXPECT_NE(error.find("plan june of anna is running"), std::string::npos) << error;
  PlanCommand stale;
  stale.kind = PlanCommand::Kind::kCancel;
  stale.expectedRevision = 999;
  EXPECT_NE(fixture.execute(stale).error.find("revision"), std::string::npos);
  // A plan that this program cannot parse is not overwritten.
  fixture.put(kPlanKey, R"({"form":"dahliastall-plan-9"})");
  EXPECT_NE(fixture.start({"r1"}, "x").error.find("cannot be read"), std::string::npos);
  EXPECT_FALSE(fixture.step());
}

TEST(CleanupTask, RemovesOnlyPresencesOfStoppedRouters) {
  Cleanup cleanup({});
  const double timeoutMs = Cleanup::Config{}.presenceTimeoutMs;
  View view;
  view.documents["node/live"] = {"{}", 1};
  view.documents["node/dead"] = {"{}", 2};
  view.documents["other"] = {"{}", 3};
  double now = 1e9;
  std::uint64_t revision = 10;
  std::optional<Step> step;
  for (const double start = now; now < start + timeoutMs; now += 1000) {
    view.documents["node/live"].revision = ++revision;
    ASSERT_FALSE(step = cleanup.next(view, 1, now)) << step->description;
  }
  step = cleanup.next(view, 1, now);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->writes.front().key, "node/dead");
  EXPECT_EQ(step->writes.front().expectedRevision, 2u)
      << "only if it is unchanged: its router may just write it again";
  EXPECT_FALSE(step->writes.front().value);
  // After a suspension of this length the holder's earlier observations are void.
  now += timeoutMs;
  EXPECT_FALSE(cleanup.next(view, 1, now));
}

// ---- Presence

TEST(PresencePublisherTest, DetectsAnotherProcessWithTheSameName) {
  PresencePublisher older({"c1", 1}, 1000), newer({"c1", 2}, 1000);
  std::map<std::string, Document> documents;
  std::uint64_t revision = 0;
  const auto publish = [&](PresencePublisher& publisher, double now) {
    publisher.onRead(documents, now);
    const auto write = publisher.nextWrite({}, now);
    if (!write)
      return;
    const auto it = documents.find(write->key);
    const bool matches =
        write->expectedRevision == (it == documents.end() ? 0 : it->second.revision);
    if (matches)
      documents[write->key] = {*write->value, ++revision};
    publisher.onWritten({matches ? CommitStatus::kDone : CommitStatus::kConflict, revision}, now);
  };
  publish(older, 0);
  publish(newer, 10);  // as after a restart: overwrites the earlier process's document
  publish(older, 2000);
  EXPECT_TRUE(older.nameConflict());
  publish(newer, 3000);
  EXPECT_FALSE(newer.nameConflict());
  EXPECT_EQ(Presence::parse(documents.at("node/c1").value)->holder.incarnation, 2u);
  documents.clear();  // removed by the cleanup, the presence is written again
  publish(newer, 5000);
  EXPECT_EQ(documents.size(), 1u);
}

TEST(StoredDocuments, AreRejectedIfDamagedOrForeign) {
  const std::string plan = [] {
    Plan newPlan;
    newPlan.id = "june";
    newPlan.items = {{"r1", ItemState::kOut, 2, false, ""}};
    return newPlan.serialize();
  }();
  ASSERT_TRUE(Plan::parse(plan));
  const std::string presence = presenceOf("c1", 1, "june", 2, {{"r1", 1}}).serialize();
  ASSERT_TRUE(Presence::parse(presence));
  LeaseCell cell;
  cell.fence = 3;
  cell.record = LeaseRecord{{"c1", 1}, 3, 1, 0, 0};
  ASSERT_EQ(parseLeaseCell(serialize(cell)), cell);
  for (std::size_t length = 0; length + 1 < plan.size(); ++length)
    EXPECT_FALSE(Plan::parse(plan.substr(0, length)));
  for (std::size_t length = 0; length + 1 < presence.size(); ++length)
    EXPECT_FALSE(Presence::parse(presence.substr(0, length)));
  for (const char* invalid : {"{}", "[]", "null", "7", R"({"form":"dahliastall-plan-2"})"}) {
    EXPECT_FALSE(Plan::parse(invalid));
    EXPECT_FALSE(Presence::parse(invalid));
    EXPECT_FALSE(parseLeaseCell(invalid));
    EXPECT_FALSE(parseLeaseRecord(std::string_view(invalid)));
  }
}

TEST(PlannedDrains, EndWithTheInstanceTreatedAsJustStarted) {
  using routing::EndpointState, routing::endpoint, routing::kPrefill;
  fleet::Membership members(1);
  members.applyUpdate(
      {1, routing::EndpointListForm::kFull, {endpoint("a", kPrefill), endpoint("b", kPrefill)}}, 0);
  const auto drains = members.setPlannedDrains({"a", "unlisted"}, 10);
  ASSERT_TRUE(drains);
  ASSERT_EQ(drains->entries.size(), 1u);
  EXPECT_EQ(drains->entries[0].state, EndpointState::kDraining);
  EXPECT_FALSE(members.setPlannedDrains({"a", "unlisted"}, 20))
      << "a repeated plan changes nothing";
  EXPECT_EQ(
      members.applyUpdate({2, routing::EndpointListForm::kChanges, {endpoint("a", kPrefill)}}, 30)
          .entries[0]
          .state,
      EndpointState::kDraining);
  // An operator's exclusion outlasts the plan.
  members.exclude("a", 40);
  const auto drainEnd = members.setPlannedDrains({}, 50);
  ASSERT_TRUE(drainEnd);
  EXPECT_EQ(drainEnd->entries[0].state, EndpointState::kDraining);
  const auto inclusion = members.include("a", 60);
  EXPECT_EQ(inclusion.update->entries[0].state, EndpointState::kActive);
  members.setPlannedDrains({"b"}, 70);
  EXPECT_EQ(members.setPlannedDrains({}, 80)->entries[0].started, core::toModuleTime(80));
}

// ---- The operator's file and the admin endpoint

TEST(CoordinationSetup, ReportsThePathOfAFaultySetting) {
  const json validSection =
      json::parse(R"({"name":"c1","store":{"kind":"sqlite","path":"/tmp/x.db"}})");
  EXPECT_EQ(setupOf(core::ConfigReader(validSection, "coordination"), 1000).sqlitePath,
            "/tmp/x.db");
  const auto errorFor = [&](const char* change) {
    json section = validSection;
    section.merge_patch(json::parse(change));
    try {
      setupOf(core::ConfigReader(section, "coordination"), 1000);
    } catch (const std::invalid_argument& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  const std::pair<const char*, const char*> faultySettings[] = {
      {R"({"name":null})", "coordination.name is missing"},
      {R"({"name":"a/b"})", "coordination.name is not a name of 1 to 64 letters"},
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
  for (const auto& [change, expectedError] : faultySettings)
    EXPECT_NE(errorFor(change).find(expectedError), std::string::npos) << errorFor(change);
}

struct FakeAdminApi final : control::AdminApi {
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
    receivedArguments = arguments;
    pendingResult = std::move(onResult);
  }
  core::RequestMetrics metrics_;
  std::vector<std::string> classes_, receivedArguments;
  ResultHandler pendingResult;
};

// The admin endpoint sends an asynchronous result when it is available, and discards it if its
// client has disconnected.
TEST(AdminEndpointFleetCommands, RespondWhenTheStoreHasResponded) {
  NetworkFixture stage;
  FakeAdminApi api;
  net::LineServer adminEndpoint(
      stage.io, anyPort(),
      net::LineServer::AsyncHandler(
          [&](std::string_view line, net::LineServer::ReplyCallback reply) {
            control::executeAsync(api, line, std::move(reply));
          }),
      stage.clock, stage.timers, stage.counters, net::LineServer::Limits{});
  EXPECT_EQ(callAdmin(stage.io, adminEndpoint.address(), "leases"), "lease t\neof\n");
  EXPECT_EQ(callAdmin(stage.io, adminEndpoint.address(), "maintenance"), "plan none\neof\n");
  EXPECT_EQ(callAdmin(stage.io, adminEndpoint.address(), "leases all").substr(0, 4), "fail");
  RawPeer client(stage.io);
  client.connect(adminEndpoint.address());
  client.write("maintenance start june r1\n");
  ASSERT_TRUE(stage.until([&] { return static_cast<bool>(api.pendingResult); }));
  EXPECT_EQ(api.receivedArguments, (std::vector<std::string>{"start", "june", "r1"}));
  api.pendingResult({true, "begun"});
  ASSERT_TRUE(stage.until([&] { return client.ended(); }));
  EXPECT_EQ(client.seen, "ok begun\n");
  RawPeer disconnectedClient(stage.io);
  disconnectedClient.connect(adminEndpoint.address());
  api.pendingResult = nullptr;
  disconnectedClient.write("maintenance pause\n");
  ASSERT_TRUE(stage.until([&] { return static_cast<bool>(api.pendingResult); }));
  disconnectedClient.reset();
  stage.pass(net::LineServer::Limits{}.callMs + 1);
  EXPECT_EQ(adminEndpoint.size(), 0u)
      << "a store that never responds does not keep connections open";
  api.pendingResult({true, "too late"});
}

// ---- Plan checker

TEST(PlanChecker, FindsViolations) {
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
  const auto countViolations = [&](std::vector<std::vector<Event>> phases) {
    std::vector<Event> history;
    for (const auto& phase : phases)
      history.insert(history.end(), phase.begin(), phase.end());
    return findViolations(history, "x/").size();
  };
  const Event started = plan(0, 0, {{"a", "waiting"}, {"b", "waiting"}}),
              first = plan(1, 1, {{"a", "draining"}, {"b", "waiting"}});
  const Event second = plan(2, 1, {{"a", "out"}, {"b", "waiting"}});
  EXPECT_EQ(countViolations({grant(1), {started, first, second}}), 0u);
  EXPECT_EQ(
      countViolations(
          {grant(1), {started, first}, grant(2), {plan(2, 2, {{"a", "out"}, {"b", "waiting"}})}}),
      0u);
  EXPECT_GT(countViolations({grant(1), {started, first}, grant(2), {second}}), 0u)
      << "an older fence";
  EXPECT_GT(
      countViolations(
          {grant(1), {started, first, {Kind::kExpired, "x/lease/maintenance", "", 0}, second}}),
      0u)
      << "an expired lease";
  EXPECT_GT(countViolations({grant(2), grant(2)}), 0u) << "a fence granted twice";
  EXPECT_GT(
      countViolations({grant(1), {started, first, plan(3, 1, {{"a", "out"}, {"b", "waiting"}})}}),
      0u)
      << "a skipped step";
  EXPECT_GT(countViolations({grant(1), {started, plan(1, 1, {{"a", "out"}, {"b", "waiting"}})}}),
            0u)
      << "out without draining";
  EXPECT_GT(countViolations(
                {grant(1), {started, first, plan(2, 1, {{"a", "draining"}, {"b", "draining"}})}}),
            0u)
      << "two instances at once";
}

}  // namespace
}  // namespace inference_router
