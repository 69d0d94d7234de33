// Validation of settings.
#include <algorithm>

#include "inference_router/settings.h"

namespace inference_router::routing {

std::string describe(SettingsError error) {
  switch (error) {
    case SettingsError::kNoClasses:
      return "no request classes";
    case SettingsError::kNoKinds:
      return "no instance kinds";
    case SettingsError::kNoNodes:
      return "fewer than one node";
    case SettingsError::kNoAttempts:
      return "no attempts allowed";
    case SettingsError::kNoOverloadWindow:
      return "the overload window is not positive";
    case SettingsError::kClassWithoutObjectiveOrDeadline:
      return "a class without a latency objective or a deadline";
  }
  return "";
}

std::optional<SettingsError> validate(const Settings& settings) {
  if (settings.classes.empty())
    return SettingsError::kNoClasses;
  if (settings.kinds.empty())
    return SettingsError::kNoKinds;
  if (settings.nodes < 1)
    return SettingsError::kNoNodes;
  if (settings.limits.maxAttempts < 1)
    return SettingsError::kNoAttempts;
  if (settings.contract.overloadWindow <= Duration::zero())
    return SettingsError::kNoOverloadWindow;
  for (const ClassSettings& cls : settings.classes) {
    if (std::min(cls.latencyObjective, cls.deadline) <= Duration::zero())
      return SettingsError::kClassWithoutObjectiveOrDeadline;
  }
  return std::nullopt;
}

}  // namespace inference_router::routing
