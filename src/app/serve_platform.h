/// A router on the platform: its protocol and its discovery.
#pragma once

#include "app/config.h"
#include "app/configuration_file.h"
#include "app/server.h"
#include "app/serving.h"

namespace inference_router::app {

/// How a planned restart goes on the platform, by the settings.
ShutdownOptions platformShutdown(const routing::Settings& settings);

/// Serves until the process is asked to end. SIGHUP takes over the file's `discovery`, and so does
/// each retry while discovery is lost. Throws what prevents the start.
void servePlatform(ConfigurationFile<Config> file, const Telemetry& telemetry);

}  // namespace inference_router::app
