// The program's command line.
#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/admin_client.h"
#include "app/config.h"
#include "app/configuration_file.h"
#include "app/serve_operator_file.h"
#include "app/serve_platform.h"

namespace {

namespace options = boost::program_options;
using namespace inference_router;

constexpr int kExitFailure = 1;  // the command failed
constexpr int kExitUsage = 2;    // there is no such command
constexpr double kMsPerSecond = 1000;
constexpr double kMinOtlpIntervalMs = 100;

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
    "While it serves, SIGHUP reads the configuration again, and retries until it can be used; "
    "SIGUSR1\n"
    "prints the counters to the log; SIGTERM ends it once all that it has taken is answered.\n"
    "\n";

options::options_description describeServe() {
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

using Arguments = std::vector<std::string>;

options::variables_map parse(const Arguments& arguments,
                             const options::options_description& known,
                             const options::positional_options_description& positional = {}) {
  options::variables_map values;
  options::store(
      options::command_line_parser(arguments).options(known).positional(positional).run(), values);
  options::notify(values);
  return values;
}

app::ConfigError optionError(const std::string& option, const std::string& reason) {
  return {app::ConfigInput::kCommandLine, option, reason};
}

// ---- serve and check-config ----

options::variables_map parseServeOptions(const Arguments& arguments) {
  options::variables_map values = parse(arguments, describeServe());
  if (values.count("config") != 0 && values.count("operator") != 0)
    throw optionError("config", "--config and --operator exclude each other");
  return values;
}

app::ConfigurationFile<app::Config> configFile(const options::variables_map& values) {
  app::Environment environment = app::environmentOf(environ);
  const auto variable = environment.find("GW_CONFIG");
  if (values.count("config") == 0 && variable == environment.end())
    throw optionError("config",
                      "no configuration: give --config or --operator FILE, or set GW_CONFIG");
  const std::string path =
      values.count("config") != 0 ? values["config"].as<std::string>() : variable->second;
  return {path, [environment = std::move(environment)](const nlohmann::json& file) {
            return app::configOf(file, environment);
          }};
}

app::ConfigurationFile<frontend::OperatorFile> operatorFile(const options::variables_map& values) {
  return {values["operator"].as<std::string>(), frontend::operatorFileOf};
}

app::Telemetry readTelemetry(const options::variables_map& values) {
  app::Telemetry telemetry;
  telemetry.intervalMs = values["otlp-interval"].as<double>() * kMsPerSecond;
  if (!(telemetry.intervalMs >= kMinOtlpIntervalMs))
    throw optionError("otlp-interval", "--otlp-interval is 0.1 or more");
  telemetry.trace = values["trace"].as<bool>();
  if (values.count("otlp") != 0)
    telemetry.collector = net::parseEndpoint(values["otlp"].as<std::string>());
  return telemetry;
}

int serve(const Arguments& arguments) {
  app::blockReloadSignal();
  const options::variables_map values = parseServeOptions(arguments);
  const app::Telemetry telemetry = readTelemetry(values);
  if (values.count("operator") != 0)
    app::serveOperatorFile(operatorFile(values), telemetry);
  else
    app::servePlatform(configFile(values), telemetry);
  return 0;
}

int checkConfig(const Arguments& arguments) {
  const options::variables_map values = parseServeOptions(arguments);
  readTelemetry(values);
  if (values.count("operator") != 0) {
    const frontend::OperatorFile file = operatorFile(values).read();
    std::cout << "usable: " << file.instances.entries.size() << " boxes, " << file.models.size()
              << " models, " << file.keys.size() << " keys\n";
    return 0;
  }
  const app::Config config = configFile(values).read();
  std::cout << "usable: " << config.name << ", " << config.setup.settings.classes.size()
            << " classes, " << config.setup.settings.kinds.size() << " kinds of box\n";
  return 0;
}

// ---- admission ----

options::options_description describeExplain() {
  options::options_description known("options of admission explain");
  auto add = known.add_options();
  add("operator", options::value<std::string>()->required(), "the operator's file");
  add("address", options::value<std::string>()->required(), "of a client, like 10.1.2.3");
  add("key-name", options::value<std::string>(), "the name of the API key that it sends");
  return known;
}

admission::Address addressIn(const options::variables_map& values) {
  const auto text = values["address"].as<std::string>();
  const auto address = admission::Address::parse(text);
  if (!address)
    throw optionError("address", "--address: '" + text + "' is no IPv4 or IPv6 address");
  return *address;
}

std::optional<std::string> keyNameIn(const options::variables_map& values,
                                     const frontend::OperatorFile& file) {
  if (values.count("key-name") == 0)
    return std::nullopt;
  const auto name = values["key-name"].as<std::string>();
  const bool exists = std::any_of(file.keys.begin(), file.keys.end(),
                                  [&](const auto& entry) { return entry.second.name == name; });
  if (!exists)
    throw optionError("key-name", "--key-name: no entry of `keys` has the name '" + name + "'");
  return name;
}

int explainAdmission(Arguments arguments) {
  if (arguments.empty() || arguments.front() != "explain")
    throw optionError(
        "", "the command is 'admission explain --operator FILE --address A [--key-name K]'");
  arguments.erase(arguments.begin());
  const options::variables_map values = parse(arguments, describeExplain());
  const frontend::OperatorFile file = operatorFile(values).read();
  const admission::Address address = addressIn(values);
  const std::optional<std::string> keyName = keyNameIn(values, file);
  if (file.admission)
    std::cout << admission::explain(*file.admission, address, keyName);
  else
    std::cout << "the file has no `admission`: whoever finds room may connect\n";
  return 0;
}

// ---- leases, shared and maintenance ----

options::options_description describeAdmin() {
  options::options_description known("options of leases, shared and maintenance");
  auto add = known.add_options();
  add("door", options::value<std::string>()->required(),
      "the operators' door of a conductor (its admin_addr)");
  add("json", options::bool_switch(), "leases, shared: one line of JSON");
  return known;
}

std::string withoutEndMark(std::string answer) {
  constexpr std::string_view kEndMark = "eof\n";
  const bool marked =
      answer.size() >= kEndMark.size() &&
      answer.compare(answer.size() - kEndMark.size(), kEndMark.size(), kEndMark) == 0;
  if (marked)
    answer.resize(answer.size() - kEndMark.size());
  return answer;
}

// Sends the command to the admin endpoint as it is: what it means is decided there.
int callAdminEndpoint(const std::string& command, const Arguments& arguments) {
  options::options_description known = describeAdmin();
  known.add_options()("words", options::value<Arguments>());
  options::positional_options_description positional;
  positional.add("words", -1);
  const options::variables_map values = parse(arguments, known, positional);
  std::string line = command;
  if (values.count("words") != 0)
    for (const std::string& argument : values["words"].as<Arguments>())
      line += " " + argument;
  if (values["json"].as<bool>())
    line += " json";
  const std::string answer =
      app::callAdmin(net::parseEndpoint(values["door"].as<std::string>()), line);
  const bool failed = answer.rfind("fail", 0) == 0;
  (failed ? std::cerr : std::cout) << withoutEndMark(answer);
  return failed ? kExitFailure : 0;
}

// ---- help and version ----

int printVersion() {
  std::cout << "dahliastall " << INFERENCE_ROUTER_VERSION << '\n';
  return 0;
}

int printHelp() {
  std::cout << kUsage << describeServe() << describeExplain() << describeAdmin();
  return 0;
}

int rejectCommand(const std::string& command) {
  std::cerr << "dahliastall: no command '" << command << "'\n\n" << kUsage << describeServe();
  return kExitUsage;
}

int run(const Arguments& arguments) {
  if (arguments.empty())
    return printHelp();
  const std::string& command = arguments.front();
  const Arguments rest(arguments.begin() + 1, arguments.end());
  if (command == "serve")
    return serve(rest);
  if (command == "check-config")
    return checkConfig(rest);
  if (command == "admission")
    return explainAdmission(rest);
  if (command == "leases" || command == "maintenance" || command == "shared")
    return callAdminEndpoint(command, rest);
  if (command == "version" || command == "--version")
    return printVersion();
  if (command == "help" || command == "--help")
    return printHelp();
  return rejectCommand(command);
}

// The allocator would keep blocks of this size after they were freed once, between smaller ones.
void returnLargeBlocks() {
  constexpr int kLargeBlockBytes = 64 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace

int main(int argc, char** argv) {
  returnLargeBlocks();
  try {
    spdlog::set_default_logger(spdlog::stderr_logger_st("dahliastall"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    return run({argv + 1, argv + argc});
  } catch (const std::exception& fault) {
    std::cerr << "dahliastall: " << fault.what() << '\n';
    return kExitFailure;
  }
}
