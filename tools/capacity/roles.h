#pragma once

#include <cstdint>
#include <vector>

#include "tools/capacity/series.h"

namespace sapphirewheel::capacity {

// Measurements of the coordination roles. They run one after another in virtual time. CPU time and
// heap are those of this process and include the fake table.
[[nodiscard]] std::vector<Series> MeasureAdmission();
[[nodiscard]] std::vector<Series> MeasureWorkers();
[[nodiscard]] std::vector<Series> MeasureTeams(std::uint64_t seed);
[[nodiscard]] std::vector<Series> MeasureMembership();
[[nodiscard]] std::vector<Series> MeasureConfiguration(std::uint64_t seed);
[[nodiscard]] std::vector<Series> MeasureClaimsAndJobs(std::uint64_t seed);
[[nodiscard]] std::vector<Series> MeasureWaves(std::uint64_t seed);
[[nodiscard]] std::vector<Series> MeasurePools(std::uint64_t seed);

}  // namespace sapphirewheel::capacity
