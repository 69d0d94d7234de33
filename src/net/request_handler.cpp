#include "net/request_handler.h"

#include "net/message.h"

namespace inference_router::net {

std::string RequestHandler::refusalResponse(unsigned status,
                                            std::string_view reason,
                                            double retryAfterMs) const {
  Fields fields{{"Content-Type", "text/plain"}, {"Connection", "close"}};
  fields.emplace_back("Retry-After", wholeSeconds(retryAfterMs));
  fields.emplace_back("Content-Length", std::to_string(reason.size() + 1));
  return headText("HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonFor(status)),
                  fields) +
         std::string(reason) + "\n";
}

}  // namespace inference_router::net
