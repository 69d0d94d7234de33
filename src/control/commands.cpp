#include "control/commands.h"

#include <algorithm>
#include <vector>

namespace inference_router::control {

namespace {

std::string line(const Service::Done& done) {
  return (done.ok ? "ok" : "fail") + (done.why.empty() ? "" : " " + done.why) + "\n";
}

std::vector<std::string> wordsOf(std::string_view text) {
  std::vector<std::string> words;
  while (true) {
    const std::size_t from = text.find_first_not_of(" \t");
    if (from == std::string_view::npos)
      return words;
    text.remove_prefix(from);
    const std::size_t to = std::min(text.find_first_of(" \t"), text.size());
    words.emplace_back(text.substr(0, to));
    text.remove_prefix(to);
  }
}

std::size_t longestOf(std::string_view text) {
  const std::size_t from = std::min(text.find_first_not_of(" \t"), text.size());
  return text.substr(from).rfind("maintenance ", 0) == 0 ? kLongestPlanLine : kLongestLine;
}

// A label's value in quotes, as the exposition format of such figures wants it.
std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    if (c == '\n')
      out += "\\n";
    else
      out += c;
  }
  return out + "\"";
}

}  // namespace

std::string telemetry(Service& service) {
  const auto& metrics = service.metrics().byClass();
  const auto& names = service.classes();
  std::string text;
  const auto perClass = [&](const char* name, std::uint64_t core::ClassMetrics::*value) {
    for (std::size_t i = 0; i < metrics.size() && i < names.size(); ++i)
      text += std::string(name) + "{kind=" + quoted(names[i]) + "} " +
              std::to_string(metrics[i].*value) + "\n";
  };
  perClass("app_ok_total", &core::ClassMetrics::ok);
  perClass("app_shed_total", &core::ClassMetrics::shed);
  perClass("app_errors_total", &core::ClassMetrics::errors);
  perClass("app_tries_total", &core::ClassMetrics::tries);
  const Service::Pool pool = service.pool();
  text += "app_active " + std::to_string(service.open()) + "\n";
  text += "app_pool_size " + std::to_string(pool.listed) + "\n";
  text += "app_pool_ejected " + std::to_string(pool.avoided) + "\n";
  return text;
}

std::string answer(Service& service, std::string_view text) {
  if (text.size() > longestOf(text))
    return line({false, "a line has at most " + std::to_string(longestOf(text)) + " bytes"});
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
  if (!plain)
    return line({false, "a line is plain text"});
  const std::vector<std::string> words = wordsOf(text);
  if (words.empty())
    return line({false, "an empty line"});
  const std::string& call = words.front();
  const bool named = call == "exclude" || call == "include";
  if (words.size() != (named ? 2U : 1U) &&
      (named || call == "readyz" || call == "telemetry" || call == "evacuate" ||
       call == "activate" || call == "admission" || call == "boxes"))
    return line({false, call + (named ? " takes one instance's id" : " takes nothing")});
  if (call == "readyz")
    return line(service.ready());
  if (call == "telemetry")
    return telemetry(service) + "eof\n";
  if (call == "boxes")
    return service.instances() + "eof\n";
  if (call == "admission") {
    const std::string report = service.admission();
    return report.empty() ? line({false, "no admission rules are set up here"}) : report + "eof\n";
  }
  if (call == "leases" || call == "maintenance" || call == "shared") {
    const bool json = words.size() == 2 && words[1] == "json";
    if (call != "maintenance" && words.size() > 1 && !json)
      return line({false, call + " takes nothing, or json"});
    const std::string report = call == "leases"   ? service.leases(json)
                               : call == "shared" ? service.shared(json)
                                                  : service.plan();
    if (!report.empty())
      return report + "eof\n";
    return line(
        {false, call == "shared" ? "nothing is shared here" : "no coordination is set up here"});
  }
  if (call == "exclude")
    return line(service.exclude(words[1]));
  if (call == "include")
    return line(service.include(words[1]));
  if (call == "evacuate")
    return line(service.evacuate());
  if (call == "activate")
    return line(service.activate());
  return line(
      {false,
       "unknown call; known are readyz, telemetry, exclude ID, include ID, evacuate, activate, "
       "boxes, admission, leases [json], shared [json], maintenance "
       "[start|pause|resume|cancel|back ...]"});
}

void handle(Service& service, std::string_view text, std::function<void(std::string)> reply) {
  const bool plain = text.size() <= longestOf(text);
  const std::vector<std::string> words = plain ? wordsOf(text) : std::vector<std::string>();
  if (words.size() < 2 || words.front() != "maintenance" || words[1] == "show")
    return reply(answer(service, text));
  service.maintenance({words.begin() + 1, words.end()},
                      [reply = std::move(reply)](const Service::Done& done) { reply(line(done)); });
}

}  // namespace inference_router::control
