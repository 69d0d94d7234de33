#include "app/handed_stream.h"

#include <nlohmann/json.hpp>

#include "core/document_reader.h"
#include "net/descriptor_transfer.h"

namespace inference_router::app {

using nlohmann::json;

namespace {

constexpr core::DocumentLimits kLimits{.maxBytes = net::DescriptorReceiver::kMaxMessageBytes,
                                       .maxValues = 1024};

json binary(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string bytesOf(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

HandedStream streamOf(const json& fields) {
  HandedStream stream{};
  stream.arrival.request = {bytesOf(fields.at("id"))};
  stream.arrival.cls = {fields.at("class").get<std::uint32_t>()};
  if (!fields.at("tenant").is_null())
    stream.arrival.tenant = routing::TenantIndex{fields.at("tenant").get<std::uint32_t>()};
  stream.arrival.session = bytesOf(fields.at("session"));
  stream.arrival.prefix = bytesOf(fields.at("prefix"));
  stream.arrival.promptTokens = fields.at("prompt").get<double>();
  stream.arrival.prefixTokens = fields.at("shared").get<double>();
  stream.arrival.maxTokens = fields.at("most").get<double>();
  stream.instance = {bytesOf(fields.at("engine"))};
  stream.address = net::parseEndpoint(fields.at("address").get<std::string>());
  stream.instanceTransfer.call.unread = bytesOf(fields.at("unread"));
  stream.instanceTransfer.call.chunkRemaining = fields.at("chunk").get<std::uint64_t>();
  stream.instanceTransfer.call.keepAlive = fields.at("box_keeps").get<bool>();
  stream.instanceTransfer.event = bytesOf(fields.at("event"));
  stream.client.pipelinedInput = bytesOf(fields.at("ahead"));
  stream.client.pipelinedSinceMs = fields.value("ahead_came", 0.0);  // absent in earlier versions
  stream.client.keepAlive = fields.at("client_keeps").get<bool>();
  return stream;
}

}  // namespace

std::string encode(const HandedStream& stream) {
  const routing::Arrival& arrival = stream.arrival;
  const json fields{{"id", binary(arrival.request.value)},
                    {"class", arrival.cls.value},
                    {"tenant", arrival.tenant ? json(arrival.tenant->value) : json()},
                    {"session", binary(arrival.session)},
                    {"prefix", binary(arrival.prefix)},
                    {"prompt", arrival.promptTokens},
                    {"shared", arrival.prefixTokens},
                    {"most", arrival.maxTokens},
                    {"engine", binary(stream.instance.value)},
                    {"address", net::textOf(stream.address)},
                    {"unread", binary(stream.instanceTransfer.call.unread)},
                    {"chunk", stream.instanceTransfer.call.chunkRemaining},
                    {"box_keeps", stream.instanceTransfer.call.keepAlive},
                    {"event", binary(stream.instanceTransfer.event)},
                    {"ahead", binary(stream.client.pipelinedInput)},
                    {"ahead_came", stream.client.pipelinedSinceMs},
                    {"client_keeps", stream.client.keepAlive}};
  const auto packed = json::to_msgpack(fields);
  return {packed.begin(), packed.end()};
}

HandedStream decodeHandedStream(const std::string& text) {
  return core::decodeMessagePack(text, kLimits, streamOf);
}

}  // namespace inference_router::app
