#pragma once

#include "settings.h"

namespace sapphirewheel {

// Runs the daemon as an entry VM of the users' platform until SIGTERM. Returns the exit status.
[[nodiscard]] int RunDeployedDaemon(const DaemonSettings& settings);

}  // namespace sapphirewheel
