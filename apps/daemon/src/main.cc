#include "daemon.h"
#include "deployed_daemon.h"
#include "settings.h"

int main(int argc, char** argv) {
  const auto parsed = sapphirewheel::ParseSettings(argc, argv);
  if (parsed.outcome == sapphirewheel::SettingsOutcome::kExit) return parsed.exit_code;
  if (!parsed.settings.deployment_file.empty()) {
    return sapphirewheel::RunDeployedDaemon(parsed.settings);
  }
  sapphirewheel::Daemon daemon(parsed.settings);
  return daemon.Run();
}
