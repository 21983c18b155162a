#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "tools/capacity/series.h"

namespace sapphirewheel::capacity {

// The series of each role, by the name of the role.
using SeriesByRole = std::map<std::string, std::vector<Series>>;

// Prints the cost of each role at the target size, per node and at the platform, with the sums.
void PrintSummary(std::ostream& out, const SeriesByRole& measured);

}  // namespace sapphirewheel::capacity
