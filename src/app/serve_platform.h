/// A router on the platform: its protocol and its discovery.
#pragma once

#include "app/config.h"
#include "app/server.h"
#include "app/serving.h"

namespace inference_router::app {

/// How a planned restart goes on the platform, by the settings.
ShutdownOptions platformShutdown(const routing::Settings& settings);

/// Serves until the process is asked to end. SIGHUP takes over the file's `discovery`. Throws what
/// prevents the start.
void servePlatform(const Config& config, const Telemetry& telemetry, const Reread<Config>& reread);

}  // namespace inference_router::app
