/// dahliastall_soak: plays routers as real processes under drawn faults and judges them by their
/// rules.
#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "outage_report.h"
#include "pressure_report.h"
#include "scenario.h"

namespace {

namespace options = boost::program_options;
using namespace inference_router::soak;

constexpr const char* kUsage =
    "usage: dahliastall_soak run --first SEED --last SEED [options]\n"
    "       dahliastall_soak replay --plan FILE [options]\n"
    "       dahliastall_soak shrink --plan FILE [options]\n"
    "       dahliastall_soak outage [--way WAY] [--start move|loss|silence] [options]\n"
    "       dahliastall_soak pressure --kind KIND [--kind KIND ...] [--connections N] [options]\n";

struct Session {
  Programs programs;
  std::string out;
  bool orderOnly = false;
};

Outcome playInto(const Plan& plan, const Session& session) {
  const std::string folder = session.out + "/" + std::to_string(plan.seed);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/plan.json") << textOf(plan) << '\n';
  Outcome outcome = play(plan, session.programs, folder);
  if (session.orderOnly)
    std::erase_if(outcome.violations,
                  [](const Violation& one) { return dependsOnSpeed(one.rule); });
  std::ofstream report(folder + "/breaks");
  for (const Violation& one : outcome.violations)
    report << one.rule << ' ' << one.request << ": " << one.detail << '\n';
  if (outcome.violations.empty())
    std::filesystem::remove_all(folder);
  return outcome;
}

void tell(const Plan& plan, const Outcome& outcome) {
  std::cout << "seed " << plan.seed << ": " << outcome.requests << " requests, " << outcome.served
            << " served, " << outcome.undecided << " undecided, held for "
            << std::lround(outcome.maxHeldMs) << " ms at most, " << outcome.killedAfterSigterm
            << " routers killed after SIGTERM, " << outcome.sentInSlowStart
            << " attempts in slow start, at most " << std::lround(100 * outcome.maxShareOfFallBound)
            << "% of the bound, " << outcome.falls << " falls, " << outcome.violations.size()
            << " breaks" << std::endl;
  std::map<std::string, int> byRule;
  for (const Violation& one : outcome.violations)
    if (++byRule[one.rule] <= 3)
      std::cout << "  " << one.rule << ' ' << one.request << ": " << one.detail << '\n';
}

Plan readPlan(const std::string& path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto plan = planOf(text);
  if (!plan)
    throw std::runtime_error("no plan can be read from " + path);
  return *plan;
}

Plan drawn(const options::variables_map& given, std::uint64_t seed) {
  const int routers = given["conductors"].as<int>();
  const int instances = given["instances"].as<int>();
  if (given.count("slow-starts") != 0)
    return drawSlowStartPlan(seed, routers, instances);
  const auto draw = given.count("replacements") != 0 ? drawReplacementPlan : drawPlan;
  return draw(seed, routers, instances, given["length-ms"].as<double>());
}

int run(const options::variables_map& given, const Session& session) {
  int broken = 0;
  for (std::uint64_t seed = given["first"].as<std::uint64_t>();
       seed <= given["last"].as<std::uint64_t>(); ++seed) {
    Plan plan = drawn(given, seed);
    if (given.count("no-pressure") != 0)
      plan.pressure.clear();
    const Outcome outcome = playInto(plan, session);
    tell(plan, outcome);
    broken += !outcome.violations.empty();
  }
  std::cout << broken << " seeds broke a rule\n";
  return broken == 0 ? 0 : 1;
}

// Drops faults one by one while the same rule still breaks.
void shrink(Plan plan, const Session& session) {
  const Outcome complete = playInto(plan, session);
  if (complete.violations.empty())
    throw std::runtime_error("the plan breaks no rule");
  const std::string rule = complete.violations.front().rule;
  for (std::size_t i = plan.faults.size(); i-- > 0;) {
    Plan less = plan;
    less.faults.erase(less.faults.begin() + static_cast<std::ptrdiff_t>(i));
    const Outcome outcome = playInto(less, session);
    const bool still = std::any_of(outcome.violations.begin(), outcome.violations.end(),
                                   [&](const Violation& one) { return one.rule == rule; });
    if (still)
      plan = less;
  }
  std::cout << textOf(plan) << '\n';
}

// Plays the outage in each way, or in the one that is given.
void outage(const options::variables_map& given, const Session& session) {
  OutageOptions outage;
  outage.routers = given["conductors"].as<int>();
  outage.start = outageStartNamed(given["start"].as<std::string>());
  outage.forMs = given["outage-ms"].as<double>();
  outage.load = {given["discovery-calls"].as<double>(), given.count("discovery-refuses") != 0};
  const auto way = given["way"].as<std::string>();
  for (int i = 1; i < static_cast<int>(DiscoveryFault::kCount); ++i) {
    outage.way = static_cast<DiscoveryFault>(i);
    if (way != "all" && way != nameOf(outage.way))
      continue;
    const std::string folder = session.out + "/outage";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    reportOutage(outage, session.programs, folder);
  }
}

void pressure(const options::variables_map& given, const Session& session) {
  PressureOptions pressure;
  for (const std::string& kind : given["kind"].as<std::vector<std::string>>())
    pressure.kinds.push_back(pressureKindNamed(kind));
  pressure.connections = given["connections"].as<int>();
  pressure.prefillHangs = given.count("prefill-hangs") != 0;
  if (given.count("long-answers") != 0)
    pressure.answers = {.events = 400, .eventBytes = 4'000, .maxGapMs = 6};
  const std::string folder = session.out + "/pressure";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  reportPressure(pressure, session.programs, folder);
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description known("options");
  known.add_options()("command", options::value<std::string>(),
                      "run, replay, shrink, outage or pressure")(
      "kind", options::value<std::vector<std::string>>()->composing(),
      "of clients that try limits; several at once are allowed")(
      "connections", options::value<int>()->default_value(400), "of such clients")(
      "prefill-hangs", "prefill instances answer nothing")("long-answers", "streams of 1.6 MB")(
      "start", options::value<std::string>()->default_value("loss"),
      "what the outage begins with: move, loss or silence")(
      "way", options::value<std::string>()->default_value("all"),
      "how discovery is out of reach, as plans name it")(
      "outage-ms", options::value<double>()->default_value(6'500), "length of the outage")(
      "discovery-calls", options::value<double>()->default_value(0),
      "that discovery can serve in a second; 0: any number")(
      "discovery-refuses", "answers more calls with 503; else they wait")(
      "first", options::value<std::uint64_t>()->default_value(1), "first seed")(
      "last", options::value<std::uint64_t>()->default_value(1), "last seed")(
      "plan", options::value<std::string>(), "file of a plan")(
      "conductors", options::value<int>()->default_value(24), "processes")(
      "instances", options::value<int>()->default_value(30), "emulated instances")(
      "length-ms", options::value<double>()->default_value(14'000), "of a seed, in real time")(
      "order-only", "judge only rules that do not depend on the speed of this machine")(
      "no-pressure", "without clients that try limits")(
      "replacements",
      "only replacements of processes, while instances hang and clients write slowly")(
      "slow-starts", "instances start again while most warm ones are lost, under a surge")(
      "out", options::value<std::string>()->default_value("soak-out"),
      "folder for plans and logs of breaks")("program", options::value<std::string>()->required(),
                                             "path of dahliastall")(
      "faults", options::value<std::string>()->required(),
      "path of the library of system call faults");
  options::positional_options_description first;
  first.add("command", 1);
  try {
    options::variables_map given;
    options::store(options::command_line_parser(argc, argv).options(known).positional(first).run(),
                   given);
    if (given.count("command") == 0)
      throw std::runtime_error("no command");
    options::notify(given);
    const Session session{{given["program"].as<std::string>(), given["faults"].as<std::string>()},
                          std::filesystem::absolute(given["out"].as<std::string>()).string(),
                          given.count("order-only") != 0};
    const auto command = given["command"].as<std::string>();
    if (command == "run")
      return run(given, session);
    if (command == "outage")
      return outage(given, session), 0;
    if (command == "pressure")
      return pressure(given, session), 0;
    const Plan plan = readPlan(given["plan"].as<std::string>());
    if (command == "shrink")
      return shrink(plan, session), 0;
    if (command != "replay")
      throw std::runtime_error("no such command");
    const Outcome outcome = playInto(plan, session);
    tell(plan, outcome);
    return outcome.violations.empty() ? 0 : 1;
  } catch (const std::exception& fault) {
    std::cerr << "dahliastall_soak: " << fault.what() << '\n' << kUsage << known;
    return 2;
  }
}
