#include "net/shed_requests.h"

namespace inference_router::net {

void ShedRequests::read(std::string_view bytes) {
  if (unreadable_)
    return;
  reader_.appendBuffered(bytes);
  while (!reader_.buffered().empty()) {
    if (!midway_) {
      reader_.begin();
      midway_ = true;
      ++begun_;
    }
    boost::system::error_code error;
    const RequestReader::Progress progress = reader_.readBuffered(error);
    unreadable_ = progress == RequestReader::Progress::kFailed;
    if (unreadable_)
      return reader_.dropBuffered();
    if (progress == RequestReader::Progress::kIncomplete)
      return;
    midway_ = false;
  }
}

}  // namespace inference_router::net
