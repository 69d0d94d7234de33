#include "net/refusal_sender.h"

#include <unistd.h>

#include <string>
#include <utility>

#include "net/last_answer.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

constexpr double kRetryAfterMs = 1'000;  // for clients refused without an admission decision
constexpr int kMaxSpareRefusals = 16;    // per call
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

unsigned statusFor(admission::Reason reason) {
  switch (reason) {
    case admission::Reason::kRate:
    case admission::Reason::kAddress:
    case admission::Reason::kNetwork:
      return kTooManyRequests;
    default:
      return kServiceUnavailable;
  }
}

}  // namespace

void RefusalSender::refuse(boost::asio::ip::tcp::socket socket,
                           const admission::Decision& decision) {
  const std::string reason = admission::nameOf(decision.reason);
  ++counters_["admission.refused." + reason];
  const std::string response = handler_.refusalResponse(
      statusFor(decision.reason), "too many connections: " + reason, decision.retryAfterMs);
  if (!sendAndLinger(socket, response))
    ++counters_["admission.closed_at_once"];
}

void RefusalSender::refuseAtLimit(boost::asio::ip::tcp::socket socket) {
  ++counters_["clients.turned_away"];
  sendAndLinger(
      socket, handler_.refusalResponse(kServiceUnavailable, "too many connections", kRetryAfterMs));
}

// Returns false, and leaves the socket to be closed at once, if there is no capacity.
bool RefusalSender::sendAndLinger(boost::asio::ip::tcp::socket& socket,
                                  const std::string& response) {
  if (!pending_.reserve()) {
    sendRefusal(socket.native_handle(), response);
    return false;
  }
  if (sendAvailable(socket.native_handle(), response).status != IoStatus::kDone)
    countTruncated();
  pending_.add(std::move(socket));
  return true;
}

bool RefusalSender::refuseWithSpareDescriptor(int listeningDescriptor) {
  const std::string response = handler_.refusalResponse(
      kServiceUnavailable, "no descriptor is left for another connection", kRetryAfterMs);
  for (int i = 0; i < kMaxSpareRefusals && spare_.acquire(); ++i)
    if (!refuseNextWithSpareDescriptor(listeningDescriptor, response))
      return false;
  return spare_.isHeld();
}

// The spare descriptor may not be available again right after it was released.
bool RefusalSender::refuseNextWithSpareDescriptor(int listeningDescriptor,
                                                  const std::string& response) {
  spare_.release();
  const AcceptResult next = acceptNext(listeningDescriptor);
  if (next.status == AcceptStatus::kAccepted) {
    ++counters_["admission.refused.descriptors"];
    sendRefusal(next.descriptor, response);
    ::close(next.descriptor);
  }
  spare_.acquire();
  return next.status == AcceptStatus::kAccepted || next.status == AcceptStatus::kAborted;
}

void RefusalSender::sendRefusal(int descriptor, const std::string& response) {
  if (!sendLastAnswer(descriptor, response))
    countTruncated();
}

void RefusalSender::countTruncated() {
  ++counters_["answers.cut"];
}

}  // namespace inference_router::net
