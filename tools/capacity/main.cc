#include <CLI/CLI.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"
#include "tools/capacity/summary.h"

namespace sapphirewheel::capacity {
namespace {

// Computes the row reads per second of the daemons' periodic scans from their default intervals
// (apps/daemon/src/settings.h): assignments every 2 s, members and the VM list every 1 s.
Series CountScans() {
  return MeasureSeries(
      "Platform reads of the fixed scans (counted from the intervals, not measured)", "daemons",
      kDaemons,
      {"rows/s of `vms`, 14,000 workers", "rows/s of `members`", "VM list entries/s",
       "rows/s of `vms`, 50 workers"},
      {3, 9, 27, 81}, [](double daemons) {
        const double list = kWorkers + daemons;
        return std::vector<double>{daemons * kWorkers / 2.0, daemons * daemons, daemons * list,
                                   daemons * 50 / 2.0};
      });
}

struct Role {
  const char* name;
  std::function<std::vector<Series>()> measure;
};

// Replaces the text between the two marker lines of a Markdown page. Returns false if a marker is
// missing or the page cannot be written.
bool ReplaceTables(const std::string& path, const std::string& tables) {
  std::stringstream page;
  page << std::ifstream(path).rdbuf();
  std::string content = page.str();
  const std::string begin = "<!-- measured -->\n";
  const auto from = content.find(begin);
  const auto to = content.find("<!-- end -->");
  if (from == std::string::npos || to == std::string::npos || to < from) {
    std::cerr << path << " has no lines `<!-- measured -->` and `<!-- end -->`\n";
    return false;
  }
  content.replace(from + begin.size(), to - from - begin.size(), tables);
  std::ofstream file(path);
  file << content;
  return file.good();
}

int Run(int argc, char** argv) {
  CLI::App app{"Measures how the cost of each coordination role grows, in virtual time"};
  std::uint64_t seed = 1;
  std::string only;
  std::string output;
  app.add_option("--seed", seed, "Seed of the random numbers")->capture_default_str();
  app.add_option("--only", only, "Measure only the roles whose name contains this text");
  app.add_option("--output", output,
                 "Markdown file in which the text between the lines `<!-- measured -->` and "
                 "`<!-- end -->` is replaced");
  CLI11_PARSE(app, argc, argv);

  const std::vector<Role> roles = {
      {"Admission", [] { return MeasureAdmission(); }},
      {"Worker ownership and placement", [] { return MeasureWorkers(); }},
      {"Teams: upper limits and order", [seed] { return MeasureTeams(seed); }},
      {"Membership", [] { return MeasureMembership(); }},
      {"Configuration", [seed] { return MeasureConfiguration(seed); }},
      {"Claims and jobs", [seed] { return MeasureClaimsAndJobs(seed); }},
      {"Pools", [seed] { return MeasurePools(seed); }},
      {"Waves", [seed] { return MeasureWaves(seed); }},
      {"Scans of the platform", [] { return std::vector<Series>{CountScans()}; }},
  };
  std::ostringstream text;
  text << "Command: `scripts/capacity --seed " << seed << "`.\n";
  std::ostringstream tables;
  SeriesByRole measured;
  for (const Role& role : roles) {
    if (std::string(role.name).find(only) == std::string::npos) continue;
    tables << "\n### " << role.name << "\n";
    measured[role.name] = role.measure();
    for (const Series& series : measured[role.name]) Print(tables, series);
  }
  if (only.empty()) PrintSummary(text, measured);
  text << tables.str();
  std::cout << text.str();
  if (output.empty()) return 0;
  return ReplaceTables(output, text.str()) ? 0 : 1;
}

}  // namespace
}  // namespace sapphirewheel::capacity

int main(int argc, char** argv) { return sapphirewheel::capacity::Run(argc, argv); }
