#include "net/refusal_sender.h"

#include <unistd.h>

#include <string>
#include <utility>

#include "net/last_answer.h"
#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

constexpr double kRetryMs = 1'000;      // told to who is refused without a decision
constexpr int kMaxRefusedOnSpare = 16;  // in one call
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
  if (!pending_.reserve()) {
    ++counters_["admission.closed_at_once"];
    return sendLast(socket.native_handle(), response);
  }
  if (sendAvailable(socket.native_handle(), response).status != IoStatus::kDone)
    countCut();
  pending_.add(std::move(socket));
}

void RefusalSender::refuseAtLimit(boost::asio::ip::tcp::socket& socket) {
  ++counters_["clients.turned_away"];
  sendLast(socket.native_handle(),
           handler_.refusalResponse(kServiceUnavailable, "too many connections", kRetryMs));
}

bool RefusalSender::refuseOnSpare(int listening) {
  const std::string response = handler_.refusalResponse(
      kServiceUnavailable, "no descriptor is left for another connection", kRetryMs);
  for (int i = 0; i < kMaxRefusedOnSpare && spare_.hold(); ++i)
    if (!refuseNextOnSpare(listening, response))
      return false;
  return spare_.isHeld();
}

// The spare descriptor may not be had again at the moment in which it was given up.
bool RefusalSender::refuseNextOnSpare(int listening, const std::string& response) {
  spare_.giveUp();
  const AcceptResult next = acceptNext(listening);
  if (next.status == AcceptStatus::kAccepted) {
    ++counters_["admission.refused.descriptors"];
    sendLast(next.descriptor, response);
    ::close(next.descriptor);
  }
  spare_.hold();
  return next.status == AcceptStatus::kAccepted || next.status == AcceptStatus::kAborted;
}

void RefusalSender::sendLast(int descriptor, const std::string& response) {
  if (!sendLastAnswer(descriptor, response))
    countCut();
}

void RefusalSender::countCut() {
  ++counters_["answers.cut"];
}

}  // namespace inference_router::net
