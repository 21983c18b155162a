#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api_client.h"
#include "output.h"

namespace sapphirewheel {

// Exit statuses of the command, documented in docs/OPERATIONS.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;
inline constexpr int kExitUnknownOutcome = 4;

struct CommandContext {
  std::vector<std::string> daemons{"127.0.0.1:8080"};
  std::string token;
  std::string output = "table";
  std::int64_t timeout_ms = 60000;
  // Set by the selected subcommand.
  std::function<int(ApiClient&, OutputFormat)> action;
};

// `plan ...`, `confirm`, `status`, `watch`.
void AddIntentCommands(CLI::App& app, CommandContext& context);
// `run`, `submit`, `job`, `result`, `cancel`.
void AddCallerCommands(CLI::App& app, CommandContext& context);
// `fleet`, `teams`, `waves`, `explain`.
void AddViewCommands(CLI::App& app, CommandContext& context);

// Calls a daemon, prints its response and returns the exit status.
[[nodiscard]] int CallAndPrint(ApiClient& client, const ApiCall& call, OutputFormat format);

}  // namespace sapphirewheel
