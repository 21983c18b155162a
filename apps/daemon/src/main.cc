#include "daemon.h"
#include "deployed_daemon.h"
#include "process_exit.h"
#include "settings.h"

namespace {

int Run(int argc, char** argv) {
  const auto parsed = sapphirewheel::ParseSettings(argc, argv);
  if (parsed.outcome == sapphirewheel::SettingsOutcome::kExit) return parsed.exit_code;
  if (!parsed.settings.deployment_file.empty()) {
    return sapphirewheel::RunDeployedDaemon(parsed.settings);
  }
  sapphirewheel::Daemon daemon(parsed.settings);
  return daemon.Run();
}

}  // namespace

int main(int argc, char** argv) { sapphirewheel::ExitProcess(Run(argc, argv)); }
