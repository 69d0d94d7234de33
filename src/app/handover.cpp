#include "app/handover.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace inference_router::app {

using nlohmann::json;

namespace {

// A stream opens, or its last write ends, at any time: looked at so often, far below the grace.
constexpr double kLookMs = 10;
// That wait for the other process: what it does not come to take stands still meanwhile, so the
// rest goes on.
constexpr std::size_t kMostUnheard = 16;

json binary(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string bytesOf(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace

std::string textOf(const HandedStream& stream) {
  const routing::Arrival& told = stream.arrival;
  const json whole{{"id", binary(told.request.value)},
                   {"class", told.cls.value},
                   {"tenant", told.tenant ? json(told.tenant->value) : json()},
                   {"session", binary(told.session)},
                   {"prefix", binary(told.prefix)},
                   {"prompt", told.promptTokens},
                   {"shared", told.prefixTokens},
                   {"most", told.maxTokens},
                   {"engine", binary(stream.instance.value)},
                   {"address", stream.address.address().to_string() + ":" +
                                   std::to_string(stream.address.port())},
                   {"unread", binary(stream.instanceTransfer.call.unread)},
                   {"chunk", stream.instanceTransfer.call.chunkLeft},
                   {"box_keeps", stream.instanceTransfer.call.keepAlive},
                   {"event", binary(stream.instanceTransfer.event)},
                   {"ahead", binary(stream.client.ahead)},
                   {"ahead_came", stream.client.aheadCameMs},
                   {"client_keeps", stream.client.keepAlive}};
  const auto packed = json::to_msgpack(whole);
  return {packed.begin(), packed.end()};
}

HandedStream handedStreamOf(const std::string& text) {
  const json whole = json::from_msgpack(text);
  HandedStream stream{};
  stream.arrival.request = {bytesOf(whole.at("id"))};
  stream.arrival.cls = {whole.at("class").get<std::uint32_t>()};
  if (!whole.at("tenant").is_null())
    stream.arrival.tenant = routing::TenantIndex{whole.at("tenant").get<std::uint32_t>()};
  stream.arrival.session = bytesOf(whole.at("session"));
  stream.arrival.prefix = bytesOf(whole.at("prefix"));
  stream.arrival.promptTokens = whole.at("prompt").get<double>();
  stream.arrival.prefixTokens = whole.at("shared").get<double>();
  stream.arrival.maxTokens = whole.at("most").get<double>();
  stream.instance = {bytesOf(whole.at("engine"))};
  stream.address = net::endpointOf(whole.at("address").get<std::string>());
  stream.instanceTransfer.call.unread = bytesOf(whole.at("unread"));
  stream.instanceTransfer.call.chunkLeft = whole.at("chunk").get<std::uint64_t>();
  stream.instanceTransfer.call.keepAlive = whole.at("box_keeps").get<bool>();
  stream.instanceTransfer.event = bytesOf(whole.at("event"));
  stream.client.ahead = bytesOf(whole.at("ahead"));
  stream.client.aheadCameMs = whole.value("ahead_came", 0.0);  // earlier versions do not say it
  stream.client.keepAlive = whole.at("client_keeps").get<bool>();
  return stream;
}

Handover::~Handover() {
  server_.timers.cancel(next_);
}

void Handover::begin(const std::string& folder, const std::string& name) {
  if (to_)
    return;
  to_ = std::make_unique<net::DescriptorSender>(folder, name);
  if (!to_->isOpen())
    spdlog::warn("the other process takes no streams: their clients will ask for the rest");
  tick();
}

// What the other process has not taken when it ends is taken up here again.
void Handover::settle() {
  for (std::size_t heard = std::min(to_->taken(), sent_.size()); heard > 0; --heard)
    sent_.pop_front();
  if (to_->isOpen())
    return;
  if (!sent_.empty())
    spdlog::warn("the other process has ended: {} streams go on here", sent_.size());
  for (; !sent_.empty(); sent_.pop_front())
    take(std::move(sent_.front()));
}

void Handover::tick() {
  settle();
  if (!to_->isOpen())
    return;
  for (const core::RequestKey key : server_.dispatcher.streams()) {
    const auto stream = server_.dispatcher.streamOf(key);
    if (stream)
      server_.instanceClient.pause(stream->attempt, [this, key] { hand(key); });
  }
  next_ = server_.timers.add(server_.clock.nowMs() + kLookMs, [this] { tick(); });
}

// Called when nothing is being read from the box. Whatever stands in the way now, the stream goes
// on here and is looked at again.
void Handover::hand(core::RequestKey key) {
  const auto stream = server_.dispatcher.streamOf(key);
  if (!stream)
    return;
  const auto client = front_.connectionOf(key);
  const auto clientState = client ? client->transferState() : std::nullopt;
  const auto instanceState = server_.instanceClient.rest(stream->attempt);
  const upstream::InstanceEndpoint* known = server_.directory.find(stream->instance);
  if (!clientState || !instanceState || known == nullptr)
    return server_.instanceClient.unpause(stream->attempt);
  net::ReceivedMessage kept{
      textOf({stream->arrival, stream->instance, known->address, *instanceState, *clientState}),
      {}};
  for (const int descriptor : {clientState->descriptor, instanceState->call.descriptor})
    kept.descriptors.emplace_back(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
  const bool may = sent_.size() < kMostUnheard && kept.descriptors[0] && kept.descriptors[1];
  if (!may || to_->send(kept.bytes, {clientState->descriptor, instanceState->call.descriptor}) !=
                  net::DescriptorSender::Result::kSent)
    return server_.instanceClient.unpause(stream->attempt);
  sent_.push_back(std::move(kept));
  ++server_.counters["streams.handed_over"];
  server_.instanceClient.leave(stream->attempt);
  front_.leave(*client);
  server_.dispatcher.handedOver(key);
}

void Handover::take(net::ReceivedMessage passed) {
  if (passed.descriptors.size() != 2)
    return;
  HandedStream stream{};
  try {
    stream = handedStreamOf(passed.bytes);
  } catch (const std::exception& fault) {
    spdlog::error("a stream that another process handed over cannot be read: {}", fault.what());
    return;
  }
  stream.client.descriptor = passed.descriptors[0].take();
  const auto client = listener_.adopt(stream.client);
  if (!client)
    return;
  const auto responseWriter = front_.adopted(client);
  const auto taken = responseWriter
                         ? server_.dispatcher.adopt(stream.arrival, stream.instance, responseWriter)
                         : std::nullopt;
  if (!taken)
    return client->abortResponse();
  ++server_.counters["streams.taken_over"];
  front_.adopt(*client, taken->request);
  stream.instanceTransfer.call.descriptor = passed.descriptors[1].take();
  if (!server_.instanceClient.adopt(taken->attempt, stream.arrival.request, stream.instance,
                                    stream.address, stream.instanceTransfer))
    server_.dispatcher.ended(taken->attempt, {routing::AttemptOutcome::kConnectionLost});
}

}  // namespace inference_router::app
