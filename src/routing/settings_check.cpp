// Which settings the decision module can work with. Chooses nothing: a check before the first
// event.
#include "inference_router/router.h"

namespace inference_router::routing {

std::optional<std::string> problemWith(const Settings& settings) {
  if (settings.classes.empty())
    return "no request classes";
  if (settings.kinds.empty())
    return "no engine kinds";
  if (settings.nodes < 1)
    return "fewer than one node";
  if (settings.limits.maxAttempts < 1)
    return "no attempts allowed";
  if (settings.contract.overloadWindow <= Duration::zero())
    return "no time over which a cold engine falls";
  for (const ClassSettings& cls : settings.classes)
    if (std::min(cls.latencyObjective, cls.deadline) <= Duration::zero())
      return "a class without an aim or a deadline";
  return std::nullopt;
}

}  // namespace inference_router::routing
