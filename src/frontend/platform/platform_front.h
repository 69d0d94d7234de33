/// Serves the platform's protocol: headers describe the request, and responses of instances are
/// forwarded unchanged.
#pragma once

#include <memory>
#include <string>

#include "core/request_dispatcher.h"
#include "frontend/front.h"
#include "frontend/platform/request_headers.h"
#include "net/client_connection.h"
#include "settings_parser.h"
#include "upstream/http_instance_client.h"

namespace inference_router::frontend {

/// The paths and headers of calls to instances under this protocol.
upstream::InstanceProtocol platformProtocol();

/// The front end for the platform's protocol. The names must outlive it.
class PlatformFront final : public Front {
 public:
  PlatformFront(core::RequestDispatcher& dispatcher,
                const routing::wire::Vocabulary& names,
                const core::Clock& clock,
                core::Counters& counters)
      : Front(dispatcher, clock, counters), names_(names) {}

  void request(const std::shared_ptr<net::ClientConnection>& connection,
               net::HttpRequest&& request,
               double arrivedMs) override;
  std::shared_ptr<core::ResponseWriter> adoptResponse(
      const std::shared_ptr<net::ClientConnection>& connection) override;
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;

 private:
  const routing::wire::Vocabulary& names_;
};

}  // namespace inference_router::frontend
