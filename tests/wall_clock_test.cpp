// The program while the wall clock is wrong or stepped: spans are real time, and how old an
// instance is does not depend on this machine's clock.
#include <array>
#include <chrono>
#include <fstream>
#include <thread>

#include "support/platform.h"

namespace inference_router {
namespace {

constexpr double kColdMs = 2'000;
constexpr double kEarliestWarmMs = 0.7 * kColdMs;  // receiving and polling lists takes time

double unixMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
double steadyMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct SteppedPlatform : Platform {
  // From a moment of the monotonic clock on.
  explicit SteppedPlatform(double stepMs, double fromMs = 0) {
    settings["contract"]["coldMs"] = kColdMs;
    writeConfiguration();
    std::ofstream(folder.path + "/faults") << "clock step step=" << std::to_string(stepMs)
                                           << " from=" << std::to_string(fromMs) << "\n";
    environment = {"LD_PRELOAD=" SYSTEM_CALL_FAULTS_LIBRARY,
                   "SYSTEM_CALL_FAULTS=" + folder.path + "/faults",
                   "ASAN_OPTIONS=verify_asan_link_order=0"};
  }
  void begin() {
    start(door);
    ASSERT_TRUE(ready(door));
  }
  bool is(const std::string& id, const std::string& state) {
    return call(door, "boxes").find("box " + id + " " + state) != std::string::npos;
  }
  // How long an instance stays cold for this program, from now on.
  double coldForMs(const std::string& id) {
    const double begunMs = steadyMs();
    EXPECT_TRUE(until([&] { return is(id, "active"); })) << id << " stays cold";
    return steadyMs() - begunMs;
  }
  net::Endpoint door = freePort();
};

// How far the clock of the program is from the one of discovery and the instances.
constexpr std::array kStepsMs{-3'600'000.0, -3'000.0, 0.0, 3'000.0, 3'600'000.0};

TEST(WallClock, AnInstanceThatHasJustStartedStaysColdForTheColdPeriod) {
  for (const double stepMs : kStepsMs) {
    SCOPED_TRACE(stepMs);
    SteppedPlatform platform(stepMs);
    const auto members =
        nlohmann::json::array({Platform::memberOf("m1", platform.instance, unixMs()),
                               Platform::memberOf("m2", platform.other, unixMs() - 60'000)});
    platform.discovery.line = Platform::listOf(1, true, members);
    platform.begin();
    EXPECT_TRUE(platform.is("m1", "warming"));
    EXPECT_TRUE(platform.is("m2", "active")) << "it is a minute older than the other";
    EXPECT_GE(platform.coldForMs("m1"), kEarliestWarmMs);
  }
}

TEST(WallClock, AnInstanceThatStartsAfterAStepIsColdForItsTime) {
  for (const double stepMs : kStepsMs) {
    SCOPED_TRACE(stepMs);
    SteppedPlatform platform(stepMs, steadyMs() + 500);
    platform.begin();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const auto fresh = nlohmann::json::array({Platform::memberOf("m3", platform.other, unixMs())});
    platform.discovery.tell(Platform::listOf(2, false, fresh));
    ASSERT_TRUE(platform.until([&] { return platform.is("m3", ""); }));
    EXPECT_TRUE(platform.is("m3", "warming"));
    EXPECT_GE(platform.coldForMs("m3"), kEarliestWarmMs);
  }
}

}  // namespace
}  // namespace inference_router
