#include "app/handover.h"

#include <fcntl.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace inference_router::app {

namespace {

// Between two looks at the open streams: one opens, or its last write ends, at any time. Far below
// the grace of a shutdown.
constexpr double kIntervalMs = 10;
// A stream stands still until the successor takes it, so no more than these wait for it at a time.
constexpr std::size_t kMaxUnacknowledged = 16;
// A process may be held up for 150 ms; one that does not acknowledge for longer takes no streams.
constexpr double kMaxAcknowledgementMs = 300;
// Of each message: the client's connection, then the instance's.
constexpr std::size_t kDescriptorsPerStream = 2;

}  // namespace

void Handover::begin(const std::string& folder, const std::string& receiverName) {
  if (successor_ && successor_->isOpen())
    return;
  resumeUnacknowledged();
  successor_ = std::make_unique<net::DescriptorSender>(folder, receiverName);
  if (successor_->isOpen())
    return tick();
  if (!std::exchange(warned_, true))
    spdlog::warn("the other process takes no streams yet");
}

void Handover::tick() {
  readAcknowledgements();
  if (!successor_->isOpen())
    return resumeUnacknowledged();
  for (const core::RequestKey key : server_.dispatcher.streams()) {
    const auto stream = server_.dispatcher.streamOf(key);
    if (stream)
      server_.instanceClient.pause(stream->attempt, [this, key] { sendStream(key); });
  }
  timer_ = server_.timers.schedule(server_.clock.nowMs() + kIntervalMs, [this] { tick(); });
}

bool Handover::receiverTakesStreams() const {
  if (!successor_ || !successor_->isOpen())
    return false;
  return unacknowledged_.empty() ||
         server_.clock.nowMs() - unacknowledged_.front().sentMs <= kMaxAcknowledgementMs;
}

void Handover::readAcknowledgements() {
  const std::size_t acknowledged = successor_->takeAcknowledged();
  for (std::size_t left = std::min(acknowledged, unacknowledged_.size()); left > 0; --left)
    unacknowledged_.pop_front();
}

void Handover::resumeUnacknowledged() {
  if (!unacknowledged_.empty())
    spdlog::warn("the other process has ended: {} streams go on here", unacknowledged_.size());
  for (; !unacknowledged_.empty(); unacknowledged_.pop_front())
    receive(std::move(unacknowledged_.front().message));
}

// Called once the stream is paused. Whatever prevents the hand-over now, the stream continues here
// and the next tick tries again.
void Handover::sendStream(core::RequestKey key) {
  const auto stream = server_.dispatcher.streamOf(key);
  if (!stream)
    return;
  const auto client = front_.connectionOf(key);
  const auto clientState = client ? client->transferState() : std::nullopt;
  const auto instanceState = server_.instanceClient.transferState(stream->attempt);
  const upstream::InstanceEndpoint* endpoint = server_.directory.find(stream->instance);
  if (!clientState || !instanceState || endpoint == nullptr)
    return server_.instanceClient.unpause(stream->attempt);
  net::ReceivedMessage message;
  message.bytes = encode({.arrival = stream->arrival,
                          .instance = stream->instance,
                          .address = endpoint->address,
                          .instanceTransfer = *instanceState,
                          .client = *clientState});
  for (const int descriptor : {clientState->descriptor, instanceState->call.descriptor})
    message.descriptors.emplace_back(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
  if (!sendToSuccessor(std::move(message)))
    return server_.instanceClient.unpause(stream->attempt);
  ++server_.counters["streams.handed_over"];
  server_.instanceClient.abandon(stream->attempt);
  front_.releaseConnection(*client);
  server_.dispatcher.handedOver(key);
}

bool Handover::sendToSuccessor(net::ReceivedMessage message) {
  std::vector<int> descriptors;
  for (const net::FileDescriptor& descriptor : message.descriptors) {
    if (!descriptor)
      return false;
    descriptors.push_back(descriptor.get());
  }
  if (unacknowledged_.size() >= kMaxUnacknowledged ||
      successor_->send(message.bytes, descriptors) != net::DescriptorSender::Result::kSent)
    return false;
  unacknowledged_.push_back({std::move(message), server_.clock.nowMs()});
  return true;
}

void Handover::receive(net::ReceivedMessage message) {
  if (message.descriptors.size() != kDescriptorsPerStream)
    return;
  HandedStream stream;
  try {
    stream = decodeHandedStream(message.bytes);
  } catch (const std::exception& fault) {
    spdlog::error("a stream that another process handed over cannot be read: {}", fault.what());
    return;
  }
  resume(std::move(stream), message.descriptors[0], message.descriptors[1]);
}

void Handover::resume(HandedStream stream,
                      net::FileDescriptor& clientSocket,
                      net::FileDescriptor& instanceSocket) {
  stream.client.descriptor = clientSocket.release();
  const auto client = listener_.adopt(stream.client);
  if (!client)
    return;
  const auto responseWriter = front_.adoptResponse(client);
  const auto adopted =
      responseWriter ? server_.dispatcher.adopt(stream.arrival, stream.instance, responseWriter)
                     : std::nullopt;
  if (!adopted)
    return client->abortResponse();
  ++server_.counters["streams.taken_over"];
  front_.adopt(*client, adopted->request);
  stream.instanceTransfer.call.descriptor = instanceSocket.release();
  if (!server_.instanceClient.adopt(adopted->attempt, stream.arrival.request, stream.instance,
                                    stream.address, stream.instanceTransfer))
    server_.dispatcher.attemptEnded(adopted->attempt, {routing::AttemptOutcome::kConnectionLost});
}

}  // namespace inference_router::app
