#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api_client.h"
#include "output.h"

namespace sapphirewheel {

// Exit statuses of the command, as docs/OPERATIONS.md lists them.
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
  // Set by the subcommand that was chosen.
  std::function<int(ApiClient&, OutputFormat)> action;
};

// `plan ...`, `confirm`, `status`, `watch`.
void AddIntentCommands(CLI::App& app, CommandContext& context);
// `run`, `submit`, `job`, `result`, `cancel`.
void AddCallerCommands(CLI::App& app, CommandContext& context);
// `fleet`, `teams`, `waves`, `explain`.
void AddViewCommands(CLI::App& app, CommandContext& context);

// Calls a daemon and prints the answer; returns the exit status.
[[nodiscard]] int CallAndPrint(ApiClient& client, const ApiCall& call, OutputFormat format);

}  // namespace sapphirewheel
