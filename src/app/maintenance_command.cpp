#include "app/maintenance_command.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace inference_router::app {

using coordination::PlanCommand;

namespace {

constexpr double kMaxHoldSeconds = 86'400;
constexpr std::string_view kHoldOption = "hold=", kByOption = "by=", kRevisionOption = "rev=";

PlanCommand::Kind kindOf(const std::string& name) {
  static const std::map<std::string, PlanCommand::Kind> kKinds{
      {"start", PlanCommand::Kind::kStart},
      {"pause", PlanCommand::Kind::kPause},
      {"resume", PlanCommand::Kind::kResume},
      {"cancel", PlanCommand::Kind::kCancel},
      {"back", PlanCommand::Kind::kConfirmReturn}};
  const auto kind = kKinds.find(name);
  if (kind == kKinds.end())
    throw std::invalid_argument(
        "maintenance takes show, start, pause, resume, cancel or back, not " + name);
  return kind->second;
}

// The whole text as one number, or nothing.
template <class Number>
std::optional<Number> numberIn(std::string_view text) {
  Number value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

double holdMsIn(std::string_view text) {
  const auto seconds = numberIn<double>(text);
  if (!seconds || !(*seconds >= 0 && *seconds <= kMaxHoldSeconds))
    throw std::invalid_argument("hold is a number of seconds from 0 to 86400");
  return *seconds * 1000;
}

std::uint64_t revisionIn(std::string_view text) {
  const auto revision = numberIn<std::uint64_t>(text);
  if (!revision)
    throw std::invalid_argument("rev is a whole number");
  return *revision;
}

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t begin = 0; begin <= text.size();) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

bool startsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

// False if the argument is no option.
bool applyOption(std::string_view argument, PlanCommand& command) {
  if (startsWith(argument, kHoldOption))
    command.holdMs = holdMsIn(argument.substr(kHoldOption.size()));
  else if (startsWith(argument, kByOption))
    command.operatorName = argument.substr(kByOption.size());
  else if (startsWith(argument, kRevisionOption))
    command.expectedRevision = revisionIn(argument.substr(kRevisionOption.size()));
  else if (argument == "confirm")
    command.confirm = true;
  else
    return false;
  return true;
}

void applyPositional(const std::vector<std::string>& positional,
                     const std::string& name,
                     PlanCommand& command) {
  switch (command.kind) {
    case PlanCommand::Kind::kStart:
      if (positional.size() != 2)
        throw std::invalid_argument("start takes an id and boxes, as in: start june box-1,box-2");
      command.id = positional[0];
      command.instances = splitAtCommas(positional[1]);
      return;
    case PlanCommand::Kind::kConfirmReturn:
      if (positional.size() != 1)
        throw std::invalid_argument("back takes one box");
      command.instances = splitAtCommas(positional[0]);
      return;
    default:
      if (!positional.empty())
        throw std::invalid_argument(name + " takes nothing more");
  }
}

}  // namespace

PlanCommand parseMaintenanceCommand(const control::Arguments& arguments) {
  const std::string& name = arguments.front();
  PlanCommand command;
  command.kind = kindOf(name);
  command.operatorName = "operator";
  std::vector<std::string> positional;
  for (auto argument = arguments.begin() + 1; argument != arguments.end(); ++argument)
    if (!applyOption(*argument, command))
      positional.push_back(*argument);
  applyPositional(positional, name, command);
  return command;
}

}  // namespace inference_router::app
