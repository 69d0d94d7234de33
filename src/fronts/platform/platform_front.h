// The platform's protocol: requests in headers, answers as the boxes give them.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/conductor.h"
#include "fronts/boxes/boxes.h"
#include "net/client_connection.h"
#include "wire.h"

namespace dahliastall::fronts {

BoxDialect platformDialect();

// What the headers of a request say. Throws std::invalid_argument with a plain complaint.
leverrelay::Arrival arrivalOf(const net::HttpRequest& request, const leverrelay::wire::Vocabulary& names);

class PlatformFront final : public net::RequestHandler {
 public:
  PlatformFront(core::Conductor& conductor, const leverrelay::wire::Vocabulary& names,
                const core::Clock& clock, core::Counters& counters);

  void request(const std::shared_ptr<net::ClientConnection>& connection, net::HttpRequest&& request,
               double arrivedMs) override;
  void gone(net::ClientConnection& connection) override;
  void drained(net::ClientConnection& connection) override;
  void reject(net::ClientConnection& connection, unsigned status, std::string_view why) override;

 private:
  class Answer;

  core::Conductor& conductor_;
  const leverrelay::wire::Vocabulary& names_;
  const core::Clock& clock_;
  core::Counters& counters_;
  std::map<const net::ClientConnection*, core::RequestKey> open_;
};

}  // namespace dahliastall::fronts
