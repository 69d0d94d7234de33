#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "app/conductor_app.h"
#include "app/config.h"

namespace {

namespace options = boost::program_options;
using namespace dahliastall;

constexpr const char* kUsage =
    "usage: dahliastall COMMAND [options]\n"
    "\n"
    "  serve          run a conductor on the platform\n"
    "  check-config   read the configuration, say whether it can be used, and end\n"
    "  version        print the version\n"
    "  help           print this\n";

app::Config readConfig(const std::vector<std::string>& words) {
  options::options_description known("options");
  known.add_options()("config", options::value<std::string>(), "configuration file; else $GW_CONFIG");
  options::variables_map given;
  options::store(options::command_line_parser(words).options(known).positional({}).run(), given);
  options::notify(given);
  const app::Environment environment = app::environmentOf(environ);
  const auto variable = environment.find("GW_CONFIG");
  if (given.count("config") == 0 && variable == environment.end())
    throw app::ConfigError("no configuration: give --config FILE or set GW_CONFIG");
  const std::string path = given.count("config") != 0 ? given["config"].as<std::string>() : variable->second;
  return app::configOf(app::readJson(path), environment);
}

int run(const std::vector<std::string>& words) {
  const std::string command = words.empty() ? "help" : words.front();
  const std::vector<std::string> rest(words.begin() + (words.empty() ? 0 : 1), words.end());
  if (command == "serve") {
    app::serve(readConfig(rest));
  } else if (command == "check-config") {
    const app::Config config = readConfig(rest);
    std::cout << "usable: " << config.name << ", " << config.setup.settings.classes.size() << " classes, "
              << config.setup.settings.kinds.size() << " kinds of box\n";
  } else if (command == "version") {
    std::cout << "dahliastall " << DAHLIASTALL_VERSION << '\n';
  } else if (command == "help" || command == "--help") {
    std::cout << kUsage;
  } else {
    std::cerr << "dahliastall: no command '" << command << "'\n" << kUsage;
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
