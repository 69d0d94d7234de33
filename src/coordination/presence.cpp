#include "coordination/presence.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "coordination/stored_json.h"

namespace inference_router::coordination {

using nlohmann::json;

namespace {

constexpr const char* kFormat = "dahliastall-node-1";

Presence presenceFrom(const json& value) {
  if (value.at("form") != kFormat)
    throw std::invalid_argument("unknown format");
  Presence presence;
  presence.holder.name = value.at("name").get<std::string>();
  presence.holder.incarnation = value.at("incarnation").get<std::uint64_t>();
  presence.sequence = value.at("beat").get<std::uint64_t>();
  presence.plan = value.at("plan").get<std::string>();
  presence.steps = value.at("steps").get<std::uint64_t>();
  presence.open = value.at("open").get<std::map<std::string, std::uint64_t>>();
  if (presence.open.size() > kMaxFleetInstances)
    throw std::invalid_argument("too many instances");
  return presence;
}

}  // namespace

bool isPresenceKey(const std::string& key) {
  return key.rfind(kNodePrefix, 0) == 0;
}

std::string Presence::serialize() const {
  return json{{"form", kFormat},  {"name", holder.name}, {"incarnation", holder.incarnation},
              {"beat", sequence}, {"plan", plan},        {"steps", steps},
              {"open", open}}
      .dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<Presence> Presence::parse(std::string_view text) {
  return decodeStoredJson(text, presenceFrom);
}

std::optional<Write> PresencePublisher::nextWrite(const Presence& current, double nowMs) {
  if (writing_ || nameConflict_ || !revisionKnown_)
    return std::nullopt;
  if (nowMs < nextMs_ && lastPublished_ == current)
    return std::nullopt;
  lastPublished_ = current;
  Presence published = current;
  published.holder = holder_;
  published.sequence = ++sequence_;
  writing_ = true;
  return Write{key(), storedRevision_, published.serialize()};
}

void PresencePublisher::onWritten(const CommitResponse& response, double nowMs) {
  writing_ = false;
  nextMs_ = nowMs + periodMs_;
  if (response.status == CommitStatus::kDone) {
    storedRevision_ = response.revision;
    hasWritten_ = true;
  } else {
    revisionKnown_ = false;  // the next read shows whether this or another write took effect
  }
}

void PresencePublisher::onRead(const std::map<std::string, Document>& documents, double nowMs) {
  if (writing_)
    return;
  const auto it = documents.find(key());
  const std::uint64_t revision = it == documents.end() ? 0 : it->second.revision;
  if (revisionKnown_ && revision == storedRevision_)
    return;
  // A document left by an earlier process of this name is overwritten. Once this process has
  // written its presence, a document with another holder comes from a live process with the same
  // name. A presence that the cleanup removed is written again.
  if (it != documents.end() && hasWritten_) {
    const auto other = Presence::parse(it->second.value);
    if (other && other->holder != holder_)
      nameConflict_ = true;
  }
  revisionKnown_ = true;
  storedRevision_ = revision;
  nextMs_ = nowMs;
}

}  // namespace inference_router::coordination
