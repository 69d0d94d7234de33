#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "app/admin_client.h"
#include "app/config.h"
#include "app/server.h"

namespace {

namespace options = boost::program_options;
using namespace inference_router;

constexpr const char* kUsage =
    "usage: dahliastall COMMAND [options]\n"
    "\n"
    "  serve          run a conductor: on the platform, or with --operator at a small site\n"
    "  check-config   read the configuration, say whether it can be used, and end\n"
    "  admission      'admission explain' says which rules of an operator's file apply to whom, "
    "and why\n"
    "  leases         says who holds the tasks of the whole fleet, as the conductor at --door sees "
    "it\n"
    "  shared         says what the conductor at --door shares with the others: budgets, bills, "
    "boxes left "
    "out\n"
    "  maintenance    takes boxes out in turn: show, start ID BOX,BOX, pause, resume, cancel, back "
    "BOX\n"
    "  version        print the version\n"
    "  help           print this\n"
    "\n"
    "While it serves, SIGHUP reads the configuration again, SIGUSR1 prints the counters to the "
    "log, and\n"
    "SIGTERM ends it once all that it has taken is answered.\n"
    "\n";

options::options_description describe() {
  options::options_description known("options of serve and check-config");
  auto add = known.add_options();
  add("config", options::value<std::string>(), "the platform's configuration; else $GW_CONFIG");
  add("operator", options::value<std::string>(),
      "an operator's file: serve the chat API to its boxes");
  add("otlp", options::value<std::string>(),
      "export the counters to this OTLP/HTTP collector, HOST:PORT");
  add("trace", options::bool_switch(),
      "log what the decision module is told and decides, a line each");
  add("otlp-interval", options::value<double>()->default_value(10), "seconds between two exports");
  return known;
}

options::variables_map parse(const std::vector<std::string>& words) {
  options::variables_map given;
  options::store(options::command_line_parser(words).options(describe()).positional({}).run(),
                 given);
  options::notify(given);
  if (given.count("config") != 0 && given.count("operator") != 0)
    throw app::ConfigError("--config and --operator exclude each other");
  return given;
}

app::Config readConfig(const options::variables_map& given) {
  const app::Environment environment = app::environmentOf(environ);
  const auto variable = environment.find("GW_CONFIG");
  if (given.count("config") == 0 && variable == environment.end())
    throw app::ConfigError("no configuration: give --config or --operator FILE, or set GW_CONFIG");
  const std::string path =
      given.count("config") != 0 ? given["config"].as<std::string>() : variable->second;
  return app::configOf(app::readJson(path), environment);
}

app::Telemetry readTelemetry(const options::variables_map& given) {
  app::Telemetry telemetry;
  telemetry.intervalMs = given["otlp-interval"].as<double>() * 1000;
  if (!(telemetry.intervalMs >= 100))
    throw app::ConfigError("--otlp-interval is 0.1 or more");
  telemetry.trace = given["trace"].as<bool>();
  if (given.count("otlp") != 0)
    telemetry.collector = net::endpointOf(given["otlp"].as<std::string>());
  return telemetry;
}

void serveOrCheck(const options::variables_map& given, bool check) {
  const app::Telemetry telemetry = readTelemetry(given);
  if (given.count("operator") != 0) {
    const auto path = given["operator"].as<std::string>();
    const auto site = frontend::operatorFileOf(app::readJson(path));
    if (!check)
      return app::serve(site, telemetry,
                        [path] { return frontend::operatorFileOf(app::readJson(path)); });
    std::cout << "usable: " << site.instances.entries.size() << " boxes, " << site.models.size()
              << " models, " << site.keys.size() << " keys\n";
    return;
  }
  const app::Config config = readConfig(given);
  if (!check)
    return app::serve(config, telemetry, [&given] { return readConfig(given); });
  std::cout << "usable: " << config.name << ", " << config.setup.settings.classes.size()
            << " classes, " << config.setup.settings.kinds.size() << " kinds of box\n";
}

options::options_description describeExplain() {
  options::options_description known("options of admission explain");
  auto add = known.add_options();
  add("operator", options::value<std::string>()->required(), "the operator's file");
  add("address", options::value<std::string>()->required(), "of a client, like 10.1.2.3");
  add("key-name", options::value<std::string>(), "the name of the API key that it sends");
  return known;
}

void explainAdmission(std::vector<std::string> words) {
  if (words.empty() || words.front() != "explain")
    throw app::ConfigError(
        "the command is 'admission explain --operator FILE --address A [--key-name K]'");
  words.erase(words.begin());
  options::variables_map given;
  options::store(
      options::command_line_parser(words).options(describeExplain()).positional({}).run(), given);
  options::notify(given);
  const auto site = frontend::operatorFileOf(app::readJson(given["operator"].as<std::string>()));
  const auto text = given["address"].as<std::string>();
  const auto address = admission::Address::parse(text);
  if (!address)
    throw app::ConfigError("--address: '" + text + "' is no IPv4 or IPv6 address");
  std::optional<std::string> key;
  if (given.count("key-name") != 0) {
    key = given["key-name"].as<std::string>();
    const bool there = std::any_of(site.keys.begin(), site.keys.end(),
                                   [&](const auto& entry) { return entry.second.name == *key; });
    if (!there)
      throw app::ConfigError("--key-name: no entry of `keys` has the name '" + *key + "'");
  }
  if (site.admission)
    std::cout << admission::explain(*site.admission, *address, key);
  else
    std::cout << "the file has no `admission`: whoever finds room may connect\n";
}

options::options_description describeDoor() {
  options::options_description known("options of leases, shared and maintenance");
  auto add = known.add_options();
  add("door", options::value<std::string>()->required(),
      "the operators' door of a conductor (its admin_addr)");
  add("json", options::bool_switch(), "leases, shared: one line of JSON");
  return known;
}

// The words of a call go to the door as they are; what they mean is decided there. 0 if it says
// yes.
int callAtDoor(const std::string& command, const std::vector<std::string>& words) {
  options::options_description all = describeDoor();
  all.add_options()("words", options::value<std::vector<std::string>>());
  options::positional_options_description plain;
  plain.add("words", -1);
  options::variables_map given;
  options::store(options::command_line_parser(words).options(all).positional(plain).run(), given);
  options::notify(given);
  std::string line = command;
  if (given.count("words") != 0)
    for (const std::string& word : given["words"].as<std::vector<std::string>>())
      line += " " + word;
  if (given["json"].as<bool>())
    line += " json";
  std::string answer = app::callAdmin(net::endpointOf(given["door"].as<std::string>()), line);
  const bool no = answer.rfind("fail", 0) == 0;
  constexpr std::string_view kEnd = "eof\n";
  if (answer.size() >= kEnd.size() &&
      answer.compare(answer.size() - kEnd.size(), kEnd.size(), kEnd) == 0)
    answer.resize(answer.size() - kEnd.size());
  (no ? std::cerr : std::cout) << answer;
  return no ? 1 : 0;
}

int run(const std::vector<std::string>& words) {
  const std::string command = words.empty() ? "help" : words.front();
  const std::vector<std::string> rest(words.begin() + (words.empty() ? 0 : 1), words.end());
  if (command == "serve" || command == "check-config") {
    if (command == "serve")
      app::holdReloads();
    serveOrCheck(parse(rest), command == "check-config");
  } else if (command == "admission") {
    explainAdmission(rest);
  } else if (command == "leases" || command == "maintenance" || command == "shared") {
    return callAtDoor(command, rest);
  } else if (command == "version" || command == "--version") {
    std::cout << "dahliastall " << INFERENCE_ROUTER_VERSION << '\n';
  } else if (command == "help" || command == "--help") {
    std::cout << kUsage << describe() << describeExplain() << describeDoor();
  } else {
    std::cerr << "dahliastall: no command '" << command << "'\n\n" << kUsage << describe();
    return 2;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    spdlog::set_default_logger(spdlog::stderr_logger_st("dahliastall"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    return run({argv + 1, argv + argc});
  } catch (const std::exception& fault) {
    std::cerr << "dahliastall: " << fault.what() << '\n';
    return 1;
  }
}
