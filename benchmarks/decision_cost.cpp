// What the module takes for a request, from its arrival to its end, and for a change of the list,
// by the number of instances that are listed.
#include <benchmark/benchmark.h>

#include "../tests/router_harness.h"

namespace {

using namespace inference_router::routing;

// A third of the instances read, the others write; five to a cell.
std::vector<EndpointRecord> instances(int count) {
  std::vector<EndpointRecord> list;
  for (int i = 0; i < count; ++i)
    list.push_back(endpoint(numbered("box-", i), i % 3 == 0 ? kPrefill : kDecode,
                            static_cast<std::uint32_t>(i / 5)));
  return list;
}

Settings hundredNodes() {
  Settings settings = plainSettings();
  settings.nodes = 100;
  return settings;
}

void wholeRequest(benchmark::State& state) {
  RouterHarness router(hundredNodes());
  router.updateEndpoints(instances(static_cast<int>(state.range(0))));
  int n = 0;
  for (auto _ : state) {
    router.serve(numbered("request-", n), numbered("prefix-", n % 20));
    ++n;
  }
}
BENCHMARK(wholeRequest)
    ->Arg(12)
    ->Arg(60)
    ->Arg(100)
    ->Arg(1000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();

void oneInstanceChanges(benchmark::State& state) {
  RouterHarness router(hundredNodes());
  const std::vector<EndpointRecord> all = instances(static_cast<int>(state.range(0)));
  router.updateEndpoints(all);
  std::size_t n = 0;
  for (auto _ : state) {
    EndpointRecord entry = all[n++ % all.size()];
    entry.started = router.advance(1ms).now();
    router.updateEndpoints({entry}, EndpointListForm::kChanges);
  }
}
BENCHMARK(oneInstanceChanges)
    ->Arg(12)
    ->Arg(60)
    ->Arg(100)
    ->Arg(1000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();

void wholeListAgain(benchmark::State& state) {
  RouterHarness router(hundredNodes());
  const std::vector<EndpointRecord> all = instances(static_cast<int>(state.range(0)));
  for (auto _ : state)
    router.updateEndpoints(all);
}
BENCHMARK(wholeListAgain)
    ->Arg(12)
    ->Arg(60)
    ->Arg(100)
    ->Arg(1000)
    ->Repetitions(5)
    ->ReportAggregatesOnly();

}  // namespace

BENCHMARK_MAIN();
