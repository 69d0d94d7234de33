/// Counts the requests in input of a connection that is read but not kept. Each of them must get a
/// refusal.
#pragma once

#include <cstddef>
#include <string_view>

#include "net/request_reader.h"

namespace inference_router::net {

/// Stores only the head of the last, incomplete request.
class ShedRequests {
 public:
  /// Adds the next bytes of the connection; the first call starts at the beginning of a request.
  /// Input that cannot be parsed counts as one request, together with everything behind it.
  void read(std::string_view bytes);
  /// One more request has been answered.
  void countAnswered() { ++answeredRequests_; }

  std::size_t started() const { return startedRequests_; }
  std::size_t unanswered() const { return startedRequests_ - answeredRequests_; }
  /// Whether the last request is incomplete.
  bool endsMidRequest() const { return midRequest_; }

 private:
  void readPart(std::string_view bytes);

  RequestReader reader_;
  std::size_t startedRequests_ = 0;
  std::size_t answeredRequests_ = 0;
  bool midRequest_ = false;
  bool unreadable_ = false;
};

}  // namespace inference_router::net
