/// The settings of one router, from the path=value pairs of the simulator's first message. The JSON
/// configurations of the real program are brought into the same form, so that one parser reads all.
#pragma once

#include <string>
#include <vector>

#include "inference_router/router.h"
#include "line.h"

namespace inference_router::routing::wire {

/// The names behind the module's indexes, in the order of the settings.
struct Vocabulary {
  std::vector<std::string> classes;
  std::vector<std::string> kinds;
  std::vector<std::string> zones;
  std::vector<std::string> tenants;
  /// What the two free values of a load report mean; empty if they are not sent.
  std::string x0Meaning;
  std::string x1Meaning;
};

/// Settings for the decision module, and the names that its indexes stand for.
struct Setup {
  Settings settings;
  Vocabulary names;
};

/// Reads a line of a name, a seed and pairs. Throws Malformed with the setting's path if one is
/// missing or cannot be used.
Setup parseSetup(const Line& line);

}  // namespace inference_router::routing::wire
