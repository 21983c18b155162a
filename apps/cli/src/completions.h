#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace sapphirewheel {

// Returns a bash script that completes the subcommands and flags of the command.
[[nodiscard]] std::string BashCompletions(const CLI::App& app);

}  // namespace sapphirewheel
