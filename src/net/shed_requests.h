/// The requests in bytes that were read of a connection and not kept: each of them is owed a
/// refusal.
#pragma once

#include <cstddef>
#include <string_view>

#include "net/request_reader.h"

namespace inference_router::net {

/// Keeps no more of the bytes than the request that is incomplete.
class ShedRequests {
 public:
  /// The next bytes of the connection, from the beginning of a request on. What cannot be read as a
  /// request counts as one, with all that follows.
  void read(std::string_view bytes);
  /// One more of them has its refusal.
  void countAnswered() { ++answeredRequests_; }

  std::size_t unanswered() const { return startedRequests_ - answeredRequests_; }
  /// Whether the last request is incomplete.
  bool endsMidRequest() const { return midRequest_; }

 private:
  RequestReader reader_;
  std::size_t startedRequests_ = 0;
  std::size_t answeredRequests_ = 0;
  bool midRequest_ = false;
  bool unreadable_ = false;
};

}  // namespace inference_router::net
