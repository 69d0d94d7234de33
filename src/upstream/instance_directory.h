// Where the engines are and whether they are listed: what the module's names mean on the network.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "inference_router/router.h"
#include "net/pool.h"

namespace inference_router::upstream {

struct Box {
  net::Endpoint address;
  routing::Presence presence = routing::Presence::kActive;
  double startedMs = 0;
  double heardMs = 0;   // when it last answered anything
  double failedMs = 0;  // when it last could not be reached or did not answer
};

class Directory {
 public:
  Box* find(const routing::EngineId& engine) {
    const auto it = boxes_.find(engine);
    return it == boxes_.end() ? nullptr : &it->second;
  }
  std::map<routing::EngineId, Box>& all() { return boxes_; }

  // Takes over what a list names; a whole list names every box that there is. Connections go with
  // what they led to: those from before a restart or to an old address would only end as resets,
  // which may have run for all that is known. Boxes that are gone are let go of, or every replaced
  // box would stay for good.
  void update(const std::map<routing::EngineId, Box>& told, bool whole, net::Pool& pool);

 private:
  std::map<routing::EngineId, Box> boxes_;
};

}  // namespace inference_router::upstream
