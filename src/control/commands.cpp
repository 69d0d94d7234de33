#include "control/commands.h"

#include <algorithm>
#include <array>
#include <utility>

namespace inference_router::control {

namespace {

constexpr const char* kEndOfReport = "eof\n";
constexpr std::string_view kMaintenance = "maintenance";

std::string formatResult(const CommandResult& result) {
  return (result.ok ? "ok" : "fail") + (result.message.empty() ? "" : " " + result.message) + "\n";
}

std::string failure(const std::string& reason) {
  return formatResult({.ok = false, .message = reason});
}

std::string reportOr(const std::string& report, const std::string& reasonIfEmpty) {
  return report.empty() ? failure(reasonIfEmpty) : report + kEndOfReport;
}

// ---- Implementations of the commands ----

ReportFormat formatIn(const Arguments& arguments) {
  return arguments.empty() ? ReportFormat::kText : ReportFormat::kJson;
}

std::string runReady(AdminApi& api, const Arguments&) {
  return formatResult(api.ready());
}
std::string runTelemetry(AdminApi& api, const Arguments&) {
  return telemetry(api) + kEndOfReport;
}
std::string runExclude(AdminApi& api, const Arguments& arguments) {
  return formatResult(api.exclude(arguments.front()));
}
std::string runInclude(AdminApi& api, const Arguments& arguments) {
  return formatResult(api.include(arguments.front()));
}
std::string runEvacuate(AdminApi& api, const Arguments&) {
  return formatResult(api.evacuate());
}
std::string runActivate(AdminApi& api, const Arguments&) {
  return formatResult(api.activate());
}
std::string runInstances(AdminApi& api, const Arguments&) {
  return api.instancesReport() + kEndOfReport;
}
std::string runConfiguration(AdminApi& api, const Arguments&) {
  return reportOr(api.configurationReport(), "there is no configuration file");
}
std::string runAdmission(AdminApi& api, const Arguments&) {
  return reportOr(api.admissionReport(), "no admission rules are configured");
}
std::string runLeases(AdminApi& api, const Arguments& arguments) {
  return reportOr(api.leasesReport(formatIn(arguments)), "coordination is not configured");
}
std::string runShared(AdminApi& api, const Arguments& arguments) {
  return reportOr(api.sharedStateReport(formatIn(arguments)), "shared state is not configured");
}
std::string runShowMaintenance(AdminApi& api, const Arguments&) {
  return reportOr(api.maintenanceReport(), "coordination is not configured");
}

// ---- The command table ----

enum class ArgumentRule { kNone, kInstanceId, kOptionalJson, kAny };

struct Command {
  std::string_view name;
  ArgumentRule rule;
  std::string (*run)(AdminApi& api, const Arguments& arguments);
};

constexpr std::array kCommands{
    Command{.name = "readyz", .rule = ArgumentRule::kNone, .run = runReady},
    Command{.name = "telemetry", .rule = ArgumentRule::kNone, .run = runTelemetry},
    Command{.name = "exclude", .rule = ArgumentRule::kInstanceId, .run = runExclude},
    Command{.name = "include", .rule = ArgumentRule::kInstanceId, .run = runInclude},
    Command{.name = "evacuate", .rule = ArgumentRule::kNone, .run = runEvacuate},
    Command{.name = "activate", .rule = ArgumentRule::kNone, .run = runActivate},
    Command{.name = "boxes", .rule = ArgumentRule::kNone, .run = runInstances},
    Command{.name = "config", .rule = ArgumentRule::kNone, .run = runConfiguration},
    Command{.name = "admission", .rule = ArgumentRule::kNone, .run = runAdmission},
    Command{.name = "leases", .rule = ArgumentRule::kOptionalJson, .run = runLeases},
    Command{.name = "shared", .rule = ArgumentRule::kOptionalJson, .run = runShared},
    Command{.name = kMaintenance, .rule = ArgumentRule::kAny, .run = runShowMaintenance},
};

// Returns the response for invalid arguments; empty if the arguments are valid.
std::string argumentError(const Command& command, const Arguments& arguments) {
  const std::string name(command.name);
  switch (command.rule) {
    case ArgumentRule::kNone:
      return arguments.empty() ? "" : failure(name + " takes no arguments");
    case ArgumentRule::kInstanceId:
      return arguments.size() == 1 ? "" : failure(name + " takes one instance id");
    case ArgumentRule::kOptionalJson: {
      const bool json = arguments.size() == 1 && arguments.front() == "json";
      return arguments.empty() || json ? "" : failure(name + " takes no argument other than json");
    }
    case ArgumentRule::kAny:
      return "";
  }
  return "";
}

// ---- Parsing and formatting ----

std::vector<std::string> splitAtWhitespace(std::string_view line) {
  std::vector<std::string> tokens;
  while (true) {
    const std::size_t begin = line.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
      return tokens;
    line.remove_prefix(begin);
    const std::size_t end = std::min(line.find_first_of(" \t"), line.size());
    tokens.emplace_back(line.substr(0, end));
    line.remove_prefix(end);
  }
}

std::size_t maxBytesOf(std::string_view line) {
  const std::size_t begin = std::min(line.find_first_not_of(" \t"), line.size());
  const bool isMaintenance = line.substr(begin).rfind("maintenance ", 0) == 0;
  return isMaintenance ? kMaxMaintenanceLineBytes : kMaxLineBytes;
}

bool isPlainText(std::string_view line) {
  return std::all_of(line.begin(), line.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
}

std::string quotedLabel(const std::string& value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    if (c == '\n')
      quoted += "\\n";
    else
      quoted += c;
  }
  return quoted + "\"";
}

}  // namespace

std::string telemetry(AdminApi& api) {
  const auto& metrics = api.metrics().byClass();
  const auto& names = api.classNames();
  std::string text;
  const auto appendPerClass = [&](const char* name, std::uint64_t core::ClassMetrics::*value) {
    for (std::size_t i = 0; i < metrics.size() && i < names.size(); ++i)
      text += std::string(name) + "{kind=" + quotedLabel(names[i]) + "} " +
              std::to_string(metrics[i].*value) + "\n";
  };
  appendPerClass("app_ok_total", &core::ClassMetrics::ok);
  appendPerClass("app_shed_total", &core::ClassMetrics::shed);
  appendPerClass("app_errors_total", &core::ClassMetrics::errors);
  appendPerClass("app_tries_total", &core::ClassMetrics::attempts);
  const InstanceCounts counts = api.instanceCounts();
  text += "app_active " + std::to_string(api.openRequests()) + "\n";
  text += "app_pool_size " + std::to_string(counts.listed) + "\n";
  text += "app_pool_ejected " + std::to_string(counts.ejected) + "\n";
  return text;
}

std::string execute(AdminApi& api, std::string_view line) {
  if (line.size() > maxBytesOf(line))
    return failure("a line has at most " + std::to_string(maxBytesOf(line)) + " bytes");
  if (!isPlainText(line))
    return failure("a line must not contain control characters");
  const std::vector<std::string> tokens = splitAtWhitespace(line);
  if (tokens.empty())
    return failure("the line is empty");
  const auto command =
      std::find_if(kCommands.begin(), kCommands.end(),
                   [&](const Command& candidate) { return candidate.name == tokens.front(); });
  if (command == kCommands.end())
    return failure(
        "unknown command; valid commands are readyz, telemetry, exclude ID, include ID, evacuate, "
        "activate, "
        "boxes, admission, leases [json], shared [json], maintenance "
        "[start|pause|resume|cancel|back ...]");
  const Arguments arguments(tokens.begin() + 1, tokens.end());
  const std::string error = argumentError(*command, arguments);
  return error.empty() ? command->run(api, arguments) : error;
}

void executeAsync(AdminApi& api,
                  std::string_view line,
                  std::function<void(std::string response)> onResponse) {
  const bool tooLong = line.size() > maxBytesOf(line);
  const std::vector<std::string> tokens =
      tooLong ? std::vector<std::string>() : splitAtWhitespace(line);
  const bool changesMaintenance =
      tokens.size() > 1 && tokens[0] == kMaintenance && tokens[1] != "show";
  if (!changesMaintenance)
    return onResponse(execute(api, line));
  api.changeMaintenance({tokens.begin() + 1, tokens.end()},
                        [onResponse = std::move(onResponse)](const CommandResult& result) {
                          onResponse(formatResult(result));
                        });
}

}  // namespace inference_router::control
