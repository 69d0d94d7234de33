#include "coordination/presence.h"

#include <nlohmann/json.hpp>

namespace inference_router::coordination {

using nlohmann::json;

namespace {
constexpr const char* kForm = "dahliastall-node-1";
}  // namespace

std::string Presence::text() const {
  return json{{"form", kForm}, {"name", who.name}, {"incarnation", who.incarnation},
              {"beat", beat},  {"plan", plan},     {"steps", steps},
              {"open", open}}
      .dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<Presence> Presence::parse(std::string_view text) {
  try {
    const json whole = json::parse(text);
    if (whole.at("form") != kForm)
      return std::nullopt;
    Presence said;
    said.who = {whole.at("name").get<std::string>(), whole.at("incarnation").get<std::uint64_t>()};
    said.beat = whole.at("beat").get<std::uint64_t>();
    said.plan = whole.at("plan").get<std::string>();
    said.steps = whole.at("steps").get<std::uint64_t>();
    said.open = whole.at("open").get<std::map<std::string, std::uint64_t>>();
    if (said.open.size() > kMostInstances)
      return std::nullopt;
    return said;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<Write> OwnPresence::next(const Presence& now, double nowMs) {
  if (writing_ || rivalled_ || !known_)
    return std::nullopt;
  if (nowMs < nextMs_ && said_ == now)
    return std::nullopt;
  said_ = now;
  Presence told = now;
  told.who = who_;
  told.beat = ++beat_;
  writing_ = true;
  return Write{key(), seen_, told.text()};
}

void OwnPresence::written(const CommitAnswer& answer, double nowMs) {
  writing_ = false;
  nextMs_ = nowMs + periodMs_;
  if (answer.how == Committed::kDone) {
    seen_ = answer.revision;
    owned_ = true;
  } else {
    known_ = false;  // whether it was written, or over what, the next reading tells
  }
}

void OwnPresence::read(const std::map<std::string, Doc>& docs, double nowMs) {
  if (writing_)
    return;
  const auto it = docs.find(key());
  const std::uint64_t is = it == docs.end() ? 0 : it->second.revision;
  if (known_ && is == seen_)
    return;
  // Whatever an earlier process of this name left is written over; one that writes over this one
  // lives. Gone is what a cleaner took for dead: it is written anew.
  if (it != docs.end() && owned_) {
    const auto other = Presence::parse(it->second.value);
    if (other && other->who != who_)
      rivalled_ = true;
  }
  known_ = true;
  seen_ = is;
  nextMs_ = nowMs;
}

}  // namespace inference_router::coordination
