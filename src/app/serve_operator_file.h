/// A router at a small site: the chat API, in front of the instances of an operator's file.
#pragma once

#include "app/configuration_file.h"
#include "app/server.h"
#include "app/serving.h"
#include "frontend/openai/operator_file.h"

namespace inference_router::app {

/// Applies a file that was read again to a running server, all but what needs a new start: that is
/// logged and stays. Throws ConfigError before anything changes.
void applyReload(frontend::OperatorFile reread, frontend::OperatorFile& current, Server& server);

/// Serves until the process is asked to end. SIGHUP applies the file anew. Throws what prevents the
/// start.
void serveOperatorFile(ConfigurationFile<frontend::OperatorFile> file, const Telemetry& telemetry);

}  // namespace inference_router::app
