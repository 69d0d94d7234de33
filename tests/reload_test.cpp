// Reloads of the configuration: those that fail are tried again until they succeed, and a file that
// is replaced just after the signal is taken over.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

#include "app/configuration_file.h"
#include "app/reload_retry.h"
#include "support/platform.h"
#include "support/temporary_directory.h"

namespace inference_router {
namespace {

using nlohmann::json;

struct RetryFixture {
  RetryFixture() {
    reloads.setSteps({.reload =
                          [this] {
                            ++reads;
                            if (!fault.empty())
                              throw std::runtime_error(fault);
                            inUse = content;
                          },
                      .refresh =
                          [this] {
                            if (!fault.empty())
                              throw std::runtime_error(fault);
                            return std::exchange(inUse, content) != content;
                          }});
  }
  void pass(double ms) {
    for (double left = ms; left > 0; left -= 10) {
      clock.advance(10);
      timers.runDue(clock.nowMs());
    }
  }

  core::ManualClock clock;
  core::TimerQueue timers;
  core::Counters counters;
  app::ReloadRetry reloads{clock, timers, counters};
  std::string content = "old", inUse = "old";
  std::string fault;  // why the file cannot be used; empty: it can
  int reads = 0;
};

TEST(ReloadRetry, RepeatsAFailedReloadUntilItSucceeds) {
  for (const double faultMs : {50.0, 1'200.0, 60'000.0}) {
    RetryFixture fixture;
    fixture.content = "new";
    fixture.fault = "half a file";
    fixture.reloads.request();
    fixture.pass(faultMs);
    ASSERT_TRUE(fixture.reloads.pending());
    EXPECT_EQ(fixture.reloads.pending()->reason, "half a file");
    EXPECT_EQ(fixture.inUse, "old");
    fixture.fault.clear();
    fixture.pass(410);
    EXPECT_FALSE(fixture.reloads.pending());
    EXPECT_EQ(fixture.inUse, "new");
    EXPECT_EQ(fixture.counters["reloads.failed"], 1U);
    EXPECT_EQ(fixture.counters["reloads.done"], 1U);
    EXPECT_LE(fixture.reads, 6 + faultMs / 400) << "reads of a file that stays unusable";
  }
}

TEST(ReloadRetry, SignalDuringARetryReloadsAtOnce) {
  RetryFixture fixture;
  fixture.fault = "half a file";
  fixture.reloads.request();
  fixture.pass(5'000);
  fixture.fault.clear();
  fixture.content = "new";
  fixture.reloads.request();
  EXPECT_EQ(fixture.inUse, "new");
  EXPECT_FALSE(fixture.reloads.pending());
}

TEST(ReloadRetry, TakesOverAFileThatIsReplacedJustAfterTheSignal) {
  RetryFixture fixture;
  fixture.reloads.request();
  fixture.pass(3'500);
  fixture.fault = "half a file";  // while it is replaced
  fixture.pass(400);
  EXPECT_TRUE(fixture.reloads.pending());
  fixture.fault.clear();
  fixture.content = "new";
  fixture.pass(1'000);
  EXPECT_EQ(fixture.inUse, "new");
  fixture.pass(10'000);
  fixture.content = "edited later";  // without a signal
  fixture.pass(10'000);
  EXPECT_EQ(fixture.inUse, "new");
  fixture.reloads.refresh();
  EXPECT_EQ(fixture.inUse, "edited later");
}

TEST(ConfigurationFile, TellsWhetherItsTextHasChanged) {
  const TemporaryDirectory directory;
  const std::string path = directory.path + "/file.json";
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  app::ConfigurationFile<int> file(path, [](const json& text) { return text.at("n").get<int>(); });
  EXPECT_THROW(file.readIfChanged(), app::ConfigError);  // missing
  write(R"({"n":1})");
  EXPECT_EQ(file.read(), 1);
  EXPECT_EQ(file.readIfChanged(), std::nullopt);
  write(R"({"n":2)");
  EXPECT_THROW(file.readIfChanged(), app::ConfigError);
  write(R"({"n":2})");
  EXPECT_EQ(file.readIfChanged(), 2);
  EXPECT_EQ(file.readIfChanged(), std::nullopt);
  EXPECT_EQ(file.read(), 2);
}

// A program at a small site, whose file names one model.
struct OperatorSite : NetworkFixture {
  TemporaryDirectory directory;
  StandInInstance instance{io, clock, timers};
  net::Endpoint listen = freePort(), adminAddress = freePort();
  Programs programs;

  OperatorSite() { instance.script = streamFullAnswer; }
  std::string path() const { return directory.path + "/site.json"; }
  std::string fileWithModel(const std::string& model) const {
    return json{
        {"listen", textOf(listen)},
        {"admin_addr", textOf(adminAddress)},
        {"keys", {{{"key", "k"}, {"tenant", "club"}}}},
        {"models", {{model, "member-questions"}}},
        {"boxes",
         {{{"id", "b"}, {"address", textOf(instance.address())}, {"role", "both"}, {"cell", 0}}}},
        {"settings", siteSettings()}}
        .dump();
  }
  bool serves(const std::string& model) {
    RawPeer client(io);
    client.connect(listen);
    const std::string body =
        json{{"model", model}, {"messages", {{{"role", "user"}, {"content", "hi"}}}}}.dump();
    client.write(messageText("POST /v1/chat/completions HTTP/1.1",
                             {{"Host", "x"}, {"Authorization", "Bearer k"}}, body));
    until([&] { return client.ended() || client.seen.find("\r\n\r\n") != std::string::npos; });
    return client.seen.rfind("HTTP/1.1 200", 0) == 0;
  }
};

// Guards against an operator's file that is lost because it is incomplete at SIGHUP.
TEST(Reload, OperatorFileCompletedAfterSighupIsApplied) {
  OperatorSite site;
  std::ofstream(site.path()) << site.fileWithModel("first");
  const pid_t process = site.programs.start({"serve", "--operator", site.path()}, {});
  ASSERT_TRUE(site.until(
      [&] { return callAdmin(site.io, site.adminAddress, "readyz").rfind("ok", 0) == 0; }));
  ASSERT_TRUE(site.serves("first"));
  const std::string file = site.fileWithModel("second");
  std::ofstream(site.path()) << file.substr(0, file.size() / 2);
  ::kill(process, SIGHUP);
  const auto report = [&] { return callAdmin(site.io, site.adminAddress, "config"); };
  ASSERT_TRUE(site.until([&] {
    return report().find("cannot be used since") != std::string::npos;
  })) << report();
  EXPECT_TRUE(site.serves("first"));
  std::ofstream(site.path()) << file;
  ASSERT_TRUE(site.until([&] { return site.serves("second"); })) << report();
  EXPECT_NE(report().find("in use as it was read last"), std::string::npos);
}

// A router on the platform whose discovery can move.
struct MovingPlatform : Platform {
  net::Endpoint door = freePort();
  Discovery newDiscovery{io, clock, timers};

  MovingPlatform() { newDiscovery.line = discovery.line; }
  void moveInFile() {
    json file;
    std::ifstream(folder.path + "/config.json") >> file;
    file["discovery"] = textOf(newDiscovery.listener.address());
    std::ofstream(folder.path + "/config.json") << file;
  }
  std::string report() { return call(door, "config"); }
  bool reports(const std::string& text) {
    return until([&] { return report().find(text) != std::string::npos; });
  }
  static std::string confirmedBy(const Discovery& agent) {
    return "confirmed by " + textOf(agent.listener.address());
  }
};

// Guards against a router that keeps asking an address that discovery has left because the signal
// was missed.
TEST(Reload, FileIsReadAgainWithoutASignalOnceDiscoveryIsLost) {
  MovingPlatform platform;
  platform.start(platform.door);
  ASSERT_TRUE(platform.ready(platform.door));
  ASSERT_TRUE(platform.reports(MovingPlatform::confirmedBy(platform.discovery)));
  platform.moveInFile();
  platform.discovery.listener.drain(0, [] {});
  for (const auto& watch : platform.discovery.watches)
    watch->abortResponse();
  EXPECT_TRUE(platform.reports(MovingPlatform::confirmedBy(platform.newDiscovery)))
      << platform.report();
}

// Guards against a restarted router whose environment still names the address that discovery left
// before.
TEST(Reload, AddressInTheFileIsTriedIfTheOneInTheEnvironmentIsGone) {
  MovingPlatform platform;
  platform.environment = {"GW_DISCOVERY=" + textOf(freePort())};
  platform.moveInFile();
  platform.start(platform.door);
  ASSERT_TRUE(platform.ready(platform.door));
  EXPECT_TRUE(platform.reports(MovingPlatform::confirmedBy(platform.newDiscovery)))
      << platform.report();
}

TEST(Reload, ReportTellsWhyTheListIsNotConfirmedAndWhatIsTriedNext) {
  MovingPlatform platform;
  platform.start(platform.door);
  ASSERT_TRUE(platform.ready(platform.door));
  ASSERT_TRUE(platform.reports(MovingPlatform::confirmedBy(platform.discovery)));
  const std::string address = textOf(platform.discovery.listener.address());
  platform.discovery.listener.drain(0, [] {});
  for (const auto& watch : platform.discovery.watches)
    watch->abortResponse();
  ASSERT_TRUE(platform.reports("(watch_ended)")) << platform.report();
  EXPECT_NE(platform.report().find(address), std::string::npos) << platform.report();
}

}  // namespace
}  // namespace inference_router
