#include "fleet_schedule_runner.h"

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

#include "CppUTest/TestHarness.h"

namespace sapphirewheel::testing {
namespace {

constexpr std::int64_t kLoadDuration = 20'000;
// Time after the last fault for the takeover, the leases of lost backend servers, and the remaining
// work.
constexpr std::int64_t kSettleDuration = 45'000;

// Runs one seed: load, faults at random times, and a period without faults, after which all work
// must be done.
void RunSeed(std::uint64_t seed, const FleetSim::Settings& given,
             const FaultInjector& inject_fault) {
  FleetSim::Settings settings = given;
  settings.seed = seed;
  FleetSim sim(settings);
  sim.RunUntil(1500);
  for (int n = 0; n < 40; ++n) {
    sim.At(1500 + sim.Draw(static_cast<int>(kLoadDuration)), [&sim] { sim.SubmitRandomJob(); });
  }
  for (int n = 0; n < 5; ++n) {
    sim.At(3000 + sim.Draw(static_cast<int>(kLoadDuration)), [&sim] {
      if (sim.jobs.empty()) return;
      auto it = std::next(sim.jobs.begin(), sim.Draw(static_cast<int>(sim.jobs.size())));
      sim.Cancel(it->second);
    });
  }
  for (int round = 0; round < 3; ++round) {
    sim.At(3000 + sim.Draw(static_cast<int>(kLoadDuration) - 3000),
           [&sim, &inject_fault, round] { inject_fault(sim, round); });
  }
  const std::int64_t end = kLoadDuration + kSettleDuration;
  for (std::int64_t at = 3000; at < end; at += 1700) {
    sim.At(at, [&sim] {
      for (auto& [id, job] : sim.jobs) sim.Poll(job);
    });
  }
  sim.RunUntil(end + 5000);
  auto violations = sim.Violations();
  for (const auto& it : sim.Unfinished()) violations.push_back("UNFINISHED: " + it);
  if (violations.empty()) return;
  std::cout << "seed " << seed << " owner " << sim.OwnerNode() << "\n";
  for (std::size_t n = 0; n < violations.size() && n < 8; ++n) {
    std::cout << "  " << violations[n] << "\n";
  }
  FAIL("an invariant was violated");
}

int Seeds() {
  const char* text = std::getenv("FLEET_SEEDS");
  return text == nullptr ? 60 : std::atoi(text);
}

// Whether the seed of the running test is listed in KNOWN-RED.txt. CTest names such seeds as
// "TEST:SEED" in FLEET_KNOWN_RED; runs by hand leave none out.
bool IsKnownRed(std::uint64_t seed) {
  const char* text = std::getenv("FLEET_KNOWN_RED");
  if (text == nullptr) return false;
  std::istringstream entries(text);
  const std::string test = UtestShell::getCurrent()->getName().asCharString();
  for (std::string entry; entries >> entry;) {
    if (entry == test + ":" + std::to_string(seed)) return true;
  }
  return false;
}

}  // namespace

void RunSeeds(const FleetSim::Settings& settings, const FaultInjector& inject_fault) {
  const char* first = std::getenv("FLEET_FIRST_SEED");
  const std::uint64_t start = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
  for (int n = 0; n < Seeds(); ++n) {
    if (IsKnownRed(start + n)) {
      std::cout << "seed " << start + n << " is left out, see KNOWN-RED.txt\n";
      continue;
    }
    RunSeed(start + n, settings, inject_fault);
  }
}

void KillOwner(FleetSim& sim) {
  const int owner = sim.OwnerNode();
  if (owner < 0) return;
  // If two owners are killed within the time of a takeover, nobody extends the leases.
  constexpr std::int64_t kTakeover = 6000;
  if (sim.now() - sim.owner_killed < kTakeover) sim.lease_expiry_forbidden = false;
  sim.owner_killed = sim.now();
  sim.unanswered_claims = 0;
  sim.Trace(owner, "killed");
  sim.KillNode(owner);
  sim.At(sim.now() + 800 + sim.Draw(4000), [&sim, owner] { sim.StartNode(owner); });
}

}  // namespace sapphirewheel::testing
