#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace sapphirewheel {

// Prints the log lines of daemons that name a job, in order of time, with the time since the first
// in seconds. Lines come from files, or from `input` when none is given; a prefix before the line's
// time, such as a VM's name, is kept. Returns the exit status: 0 when lines were found, 1 when none
// was, 2 when a file cannot be read.
[[nodiscard]] int PrintHistory(const std::string& job, const std::vector<std::string>& files,
                               std::istream& input, std::ostream& out, std::ostream& err);

}  // namespace sapphirewheel
