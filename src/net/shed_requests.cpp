#include "net/shed_requests.h"

#include <algorithm>

namespace inference_router::net {

namespace {

// The rest of a part is moved for each request in it.
constexpr std::size_t kPartBytes = std::size_t{4} * 1024;

}  // namespace

void ShedRequests::read(std::string_view bytes) {
  for (; !bytes.empty() && !unreadable_; bytes.remove_prefix(std::min(bytes.size(), kPartBytes)))
    readPart(bytes.substr(0, kPartBytes));
}

void ShedRequests::readPart(std::string_view bytes) {
  reader_.appendBuffered(bytes);
  while (!reader_.buffered().empty()) {
    if (!midRequest_) {
      reader_.begin();
      midRequest_ = true;
      ++startedRequests_;
    }
    boost::system::error_code error;
    const RequestReader::Progress progress = reader_.readBuffered(error);
    unreadable_ = progress == RequestReader::Progress::kFailed;
    if (unreadable_)
      return reader_.dropBuffered();
    reader_.dropBody();
    if (progress == RequestReader::Progress::kIncomplete)
      return;
    midRequest_ = false;
  }
}

}  // namespace inference_router::net
