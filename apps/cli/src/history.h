#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace sapphirewheel {

// Prints the log lines of daemons that contain a job id, in order of time, each with the time since
// the first one in seconds. Lines are read from the files, or from `input` when no file is given. A
// prefix before the time of a line, such as the name of a VM, is kept. Returns the exit status: 0
// when lines were found, 1 when none were found, 2 when a file cannot be read.
[[nodiscard]] int PrintHistory(const std::string& job, const std::vector<std::string>& files,
                               std::istream& input, std::ostream& out, std::ostream& err);

}  // namespace sapphirewheel
