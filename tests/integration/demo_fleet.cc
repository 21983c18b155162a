#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "tests/integration/fleet.h"

namespace {

using std::chrono::seconds;

constexpr seconds kReadyLimit{60};
constexpr seconds kStopLimit{60};

// Stops the daemons gracefully, one after the other. Returns false when one did not exit with
// status 0.
bool StopAll(sapphirewheel::testing::Fleet& fleet) {
  bool clean = true;
  for (const std::string& vm : fleet.entries()) {
    const auto status = fleet.Stop(vm, kStopLimit);
    std::cout << "stopped " << vm << " status " << (status ? *status : -1) << std::endl;
    clean = clean && status == 0;
  }
  return clean;
}

}  // namespace

// Starts the stand-ins and the daemons of three data centres, prints the addresses of the daemons,
// and stops all daemons gracefully when standard input ends.
int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    sapphirewheel::testing::FleetOptions options;
    options.data_centres = 3;
    options.entries = 2;
    options.workers = 4;
    sapphirewheel::testing::Fleet fleet(std::move(options));
    if (!fleet.AwaitReady(kReadyLimit)) {
      std::cerr << "the daemons were not ready within 60 s\n";
      return 1;
    }
    for (const std::string& vm : fleet.entries()) {
      std::cout << "daemon " << vm << " " << fleet.Address(vm) << "\n";
    }
    std::cout << "ready" << std::endl;
    char buf = 0;
    while (read(STDIN_FILENO, &buf, 1) > 0) {
    }
    return StopAll(fleet) ? 0 : 1;
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return 1;
  }
}
