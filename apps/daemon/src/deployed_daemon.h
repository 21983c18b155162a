#pragma once

#include "settings.h"

namespace sapphirewheel {

// Runs the daemon on an entry VM of the users' platform, configured by the deployment file, until
// SIGTERM or SIGINT. Returns the exit status.
[[nodiscard]] int RunDeployedDaemon(const DaemonSettings& settings);

}  // namespace sapphirewheel
