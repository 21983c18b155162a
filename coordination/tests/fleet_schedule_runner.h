#pragma once

#include <functional>

#include "fleet_sim.h"

namespace sapphirewheel::testing {

using FaultInjector = std::function<void(FleetSim&, int round)>;

// Runs the seeds that FLEET_FIRST_SEED and FLEET_SEEDS name, by default 60 from 1 on. Each has
// load, faults at three random times, and a period without faults, after which all work must be
// done.
void RunSeeds(const FleetSim::Settings& settings, const FaultInjector& inject_fault);

// Kills the owner, if there is one, and starts its node again some time later.
void KillOwner(FleetSim& sim);

}  // namespace sapphirewheel::testing
