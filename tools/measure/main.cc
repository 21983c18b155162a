#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "tools/measure/fleet_run.h"

using sapphirewheel::Millis;
using sapphirewheel::ParseProfile;
using sapphirewheel::PoolPlanner;
using sapphirewheel::measure::FleetRun;
using sapphirewheel::measure::RunResult;
using sapphirewheel::measure::RunSettings;
using sapphirewheel::measure::Variant;

namespace {

std::vector<Variant> Variants(const PoolPlanner::Settings& base) {
  const auto with_profile = [&](const char* profile) {
    PoolPlanner::Settings settings = base;
    settings.profile = ParseProfile(profile).value();
    return settings;
  };
  const auto brunner = with_profile("brunner");
  return {
      {"profile brunner", brunner, false, false, false},
      {"profile graxaria", with_profile("graxaria"), false, false, false},
      {"baseline: fixed pools", brunner, true, false, false},
      {"baseline: first come first served (brunner)", brunner, false, true, false},
      {"baseline: limits divided evenly (brunner)", brunner, false, false, true},
  };
}

std::string FormatNumber(const char* format, double number) {
  char text[64];
  std::snprintf(text, sizeof text, format, number);
  return text;
}

std::string TableRow(const std::string& name, const RunResult& r) {
  return "| " + name + " | " + FormatNumber("%.2f", r.buffer_cost) + " | " +
         FormatNumber("%.0f", r.moves_per_hour) + " | " + FormatNumber("%.3f", r.worst_closeness) +
         " | " + FormatNumber("%.3f", r.mean_closeness) + " | " +
         FormatNumber("%.0f", r.full_fraction * 100) + " | " +
         FormatNumber("%.0f", r.urgent_median_ms) + " | " + FormatNumber("%.0f", r.urgent_p99_ms) +
         " | " + FormatNumber("%.0f", r.normal_median_ms) + " | " +
         FormatNumber("%.0f", r.normal_p99_ms) + " | " + FormatNumber("%.1f", r.utilisation * 100) +
         " | " + std::to_string(r.placed) + " | " + std::to_string(r.unplaced) + " |\n";
}

constexpr const char* kHeader =
    "| variant | buffer cost | moves/h | closeness worst | closeness mean | full % | urgent wait "
    "median ms | p99 ms | other wait median ms | p99 ms | utilisation % | placed | waiting at end "
    "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

constexpr const char* kDefinitions = R"(
How it is measured: in virtual time with the product's FairScheduler, WorkerRegistry and
PoolController (planner and mover); workers, the table service and the token limits are stand-ins
in `tools/measure`. One scheduler stands for those of all entry nodes, so forwarding is not modelled.
All variants serve the same work: five services in four pools, peaks of 4 to 12 s at 5 times the
mean, 1/20 in between, six teams, 10% urgent requests.

- buffer cost: idle core-seconds of all VMs divided by used ones. All variants have the same VMs and
  the same work, so it differs only by work that still waits at the end.
- closeness: what a team got in full pools (95% in use and work waiting), divided by its entitlement
  there (progressive filling by share up to its demand and upper limit); over the whole run.
- full: part of the time in which some pool was full.
- waiting: from arrival to start; work that still waits at the end counts with its waiting so far.
- Roll-out time is not measured here: it needs several daemons.
)";

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Compares placement policies by simulation in virtual time"};
  RunSettings run;
  PoolPlanner::Settings planner;
  std::int64_t seconds = 600;
  std::int64_t min_stay_ms = planner.min_stay.count();
  std::string output;
  std::string only;
  app.add_option("--only", only, "Run only the variants whose name contains this text");
  app.add_option("--seed", run.seed, "Seed of the workload")->capture_default_str();
  app.add_option("--seconds", seconds, "Length of a run in virtual time")->capture_default_str();
  app.add_option("--workers", run.workers, "Number of worker VMs")->capture_default_str();
  app.add_option("--spare-part", run.spare_fraction, "Fraction of the workers in the spare pool")
      ->capture_default_str();
  app.add_option("--mean-slots", run.mean_slots, "Mean busy slots per service")
      ->capture_default_str();
  app.add_option("--job-part", run.job_fraction, "Fraction of arrivals that are jobs")
      ->capture_default_str();
  app.add_option("--move-price", planner.move_cost,
                 "Waiting time that a move must save, in slot-seconds")
      ->capture_default_str();
  app.add_option("--min-stay-ms", min_stay_ms, "Minimum time that a VM stays in a pool")
      ->capture_default_str();
  app.add_option("--moves-at-once", planner.max_concurrent_moves,
                 "Maximum number of concurrent moves")
      ->capture_default_str();
  app.add_option("--output", output, "Markdown file to write in addition to standard output");
  CLI11_PARSE(app, argc, argv);
  run.length = Millis(seconds * 1000);
  planner.min_stay = Millis(min_stay_ms);

  std::string table = kHeader;
  for (const Variant& variant : Variants(planner)) {
    if (variant.name.find(only) == std::string::npos) continue;
    table += TableRow(variant.name, FleetRun(variant, run).Run());
  }
  std::cout << table;
  if (output.empty()) return 0;
  std::ofstream file(output);
  file << "# Measurements\n\nCommand: `scripts/measure";
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--output") {
      ++i;
    } else {
      file << ' ' << argv[i];
    }
  }
  file << "`, seed " << run.seed << ", " << seconds << " s of virtual time a variant, "
       << run.workers << " workers.\n\n"
       << table << kDefinitions;
  return file ? 0 : 1;
}
