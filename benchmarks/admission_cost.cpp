// What one decision of the controller costs, by how many addresses it remembers.
#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>

#include "admission/admission_controller.h"

namespace {

using namespace inference_router::admission;

Rules rules() {
  return rulesOf({{"connections", {{"total", 400}, {"per_address", 32}}},
                  {"rate", {{"per_second", 10}, {"burst", 60}}},
                  {"known", {{"reserve", 60}, {"ranges", {"10.10.1.0/24"}}}},
                  {"table", 4096}},
                 {}, 464);
}

Address numbered(unsigned n) {
  Address address = *Address::parse("10.0.0.0");
  address.bytes[13] = static_cast<std::uint8_t>(128 + n / 65536);
  address.bytes[14] = static_cast<std::uint8_t>(n / 256);
  address.bytes[15] = static_cast<std::uint8_t>(n);
  return address;
}

// Addresses that are not idle, so that none can be evicted.
void fill(AdmissionController& controller, unsigned addresses) {
  for (unsigned n = 0; n < addresses; ++n) {
    const Decision decision = controller.connect(numbered(n), Level::kNormal, 1000);
    if (decision.admit && controller.open() > 300)
      controller.closed(decision.id, 1000);
  }
}

void admitAndClose(benchmark::State& state) {
  AdmissionController controller(rules());
  const auto addresses = static_cast<unsigned>(state.range(0));
  fill(controller, addresses);
  double now = 1000;
  unsigned n = 0;
  for (auto _ : state) {
    now += 100;
    const Decision decision = controller.connect(numbered(n++ % addresses), Level::kNormal, now);
    benchmark::DoNotOptimize(decision);
    if (decision.admit)
      controller.closed(decision.id, now);
  }
}
BENCHMARK(admitAndClose)->Arg(1)->Arg(1000)->Arg(4096);

void refuseOne(benchmark::State& state) {
  AdmissionController controller(rules());
  fill(controller, static_cast<unsigned>(state.range(0)));
  for (int i = 0; i < 100; ++i)
    controller.connect(numbered(0), Level::kNormal, 1000);
  for (auto _ : state)
    benchmark::DoNotOptimize(controller.connect(numbered(0), Level::kNormal, 1000));
}
BENCHMARK(refuseOne)->Arg(1)->Arg(1000)->Arg(4096);

// Ever new addresses on a full table, none of them idle.
void refuseNewOnes(benchmark::State& state) {
  AdmissionController controller(rules());
  fill(controller, 4096);
  unsigned n = 5000;
  for (auto _ : state)
    benchmark::DoNotOptimize(controller.connect(numbered(n++), Level::kNormal, 1000));
}
BENCHMARK(refuseNewOnes);

}  // namespace

BENCHMARK_MAIN();
