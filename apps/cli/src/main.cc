#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "commands.h"
#include "completions.h"
#include "history.h"
#include "sapphirewheel/transport/endpoint.h"

namespace {

void AddGlobalOptions(CLI::App& app, sapphirewheel::CommandContext& context) {
  app.add_option("--daemon", context.daemons,
                 "ip:port of daemons; the next one is tried when one does not answer")
      ->delimiter(',')
      ->envname("SAPPHIREWHEEL_DAEMON");
  app.add_option("--token", context.token, "bearer token of the caller or operator")
      ->envname("SAPPHIREWHEEL_TOKEN");
  app.add_option("--output", context.output, "table or json")
      ->envname("SAPPHIREWHEEL_OUTPUT")
      ->check(CLI::IsMember({"table", "json"}));
  app.add_option("--timeout-ms", context.timeout_ms, "maximum wait, in milliseconds")
      ->envname("SAPPHIREWHEEL_TIMEOUT_MS")
      ->check(CLI::Range(1, 3600000));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Operates a fleet: submit an intent, read its plan, confirm it; send requests and jobs",
      "sapphirewheel");
  app.set_version_flag("--version", "sapphirewheel 0.1.0");
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(
      "Exit status: 0 done, 1 refused, 2 wrong usage, 3 no daemon reached, 4 outcome unknown.");
  sapphirewheel::CommandContext context;
  AddGlobalOptions(app, context);
  AddIntentCommands(app, context);
  AddCallerCommands(app, context);
  AddViewCommands(app, context);
  std::string shell;
  auto* completions = app.add_subcommand("completions", "print completions for a shell");
  completions->add_option("shell", shell, "bash")->required()->check(CLI::IsMember({"bash"}));
  std::string job;
  std::vector<std::string> log_files;
  auto* history = app.add_subcommand("history", "print the log lines of daemons about a job");
  history->add_option("job", job, "the job's id")->required();
  history->add_option("files", log_files,
                      "log files of all entry VMs; standard input when none is given");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ex) {
    return app.exit(ex) == 0 ? sapphirewheel::kExitOk : sapphirewheel::kExitUsage;
  }
  if (completions->parsed()) {
    std::cout << sapphirewheel::BashCompletions(app);
    return sapphirewheel::kExitOk;
  }
  if (history->parsed()) {
    return sapphirewheel::PrintHistory(job, log_files, std::cin, std::cout, std::cerr);
  }
  std::vector<sapphirewheel::Endpoint> daemons;
  for (const std::string& text : context.daemons) {
    const auto endpoint = sapphirewheel::ParseEndpoint(text);
    if (!endpoint) {
      std::cerr << "sapphirewheel: --daemon: " << endpoint.error().message << "; "
                << endpoint.error().remedy << "\n";
      return sapphirewheel::kExitUsage;
    }
    daemons.push_back(endpoint.value());
  }
  const auto format = context.output == "json" ? sapphirewheel::OutputFormat::kJson
                                               : sapphirewheel::OutputFormat::kTable;
  sapphirewheel::ApiClient client(std::move(daemons), context.token,
                                  sapphirewheel::Millis(context.timeout_ms));
  return context.action(client, format);
}
