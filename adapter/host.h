/// The routers that one adapter process hosts: keeps them apart by name and answers batch by batch.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include "message_codec.h"
#include "settings_parser.h"

namespace inference_router::routing::wire {

class Host {
 public:
  /// Reads batches until the input ends and writes one reply for each. Throws Malformed.
  void run(std::istream& in, std::ostream& out);

 private:
  struct HostedRouter {
    Vocabulary names;
    std::unique_ptr<Router> router;
  };

  bool readLine(std::istream& in, std::string& text);
  void playBatch(std::istream& in, std::ostream& out, const Line& opening);
  void playLine(std::istream& in,
                const Line& line,
                const std::string& node,
                Time now,
                std::vector<Action>& actions);
  EndpointListUpdate readList(std::istream& in, const Line& head, const Vocabulary& names);

  std::map<std::string, HostedRouter> routers_;
  std::size_t lineNumber_ = 0;
};

}  // namespace inference_router::routing::wire
