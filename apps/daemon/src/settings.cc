#include "settings.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>

#include "sapphirewheel/coordination/policy_profile.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {
namespace {

constexpr int kSettingsError = 2;

// A duration setting: flag, environment variable, range, and the member that takes the value.
struct DurationSetting {
  const char* flag;
  const char* env;
  Millis DaemonSettings::*member;
  int min_ms;
  int max_ms;
  const char* help;
};

constexpr DurationSetting kDurations[] = {
    {"--key-freshness-ms", "SAPPHIREWHEEL_KEY_FRESHNESS_MS", &DaemonSettings::key_freshness, 500,
     10000, "age of the configuration up to which keys are accepted"},
    {"--heartbeat-ms", "SAPPHIREWHEEL_HEARTBEAT_MS", &DaemonSettings::heartbeat_interval, 50, 5000,
     "interval of heartbeats to peers"},
    {"--suspect-after-ms", "SAPPHIREWHEEL_SUSPECT_AFTER_MS", &DaemonSettings::suspect_after, 200,
     60000, "silence after which a peer gets no forwarded work"},
    {"--dead-after-ms", "SAPPHIREWHEEL_DEAD_AFTER_MS", &DaemonSettings::dead_after, 1000, 600000,
     "silence after which a peer is fenced"},
    {"--config-pull-ms", "SAPPHIREWHEEL_CONFIG_PULL_MS", &DaemonSettings::config_pull_interval, 100,
     10000, "interval of configuration pulls from the platform"},
    {"--fleet-poll-ms", "SAPPHIREWHEEL_FLEET_POLL_MS", &DaemonSettings::fleet_poll_interval, 100,
     60000, "interval of reads of the VM list and the members"},
    {"--assignment-poll-ms", "SAPPHIREWHEEL_ASSIGNMENT_POLL_MS",
     &DaemonSettings::assignment_poll_interval, 100, 60000, "interval of reads of VM assignments"},
    {"--list-lag-ms", "SAPPHIREWHEEL_LIST_LAG_MS", &DaemonSettings::list_lag, 0, 600000,
     "longest lag of the platform's VM list"},
    {"--renew-ms", "SAPPHIREWHEEL_RENEW_MS", &DaemonSettings::renew_interval, 100, 10000,
     "interval of ownership renewals at workers"},
    {"--platform-timeout-ms", "SAPPHIREWHEEL_PLATFORM_TIMEOUT_MS",
     &DaemonSettings::platform_timeout, 100, 60000, "longest wait for one platform call"},
    {"--platform-settle-ms", "SAPPHIREWHEEL_PLATFORM_SETTLE_MS", &DaemonSettings::platform_settle,
     100, 120000, "longest time to settle a transaction whose answer was lost"},
    {"--default-deadline-ms", "SAPPHIREWHEEL_DEFAULT_DEADLINE_MS",
     &DaemonSettings::default_deadline, 100, 3600000, "deadline of requests that name none"},
    {"--max-deadline-ms", "SAPPHIREWHEEL_MAX_DEADLINE_MS", &DaemonSettings::max_deadline, 100,
     3600000, "longest deadline that a request may name"},
    {"--drain-notice-ms", "SAPPHIREWHEEL_DRAIN_NOTICE_MS", &DaemonSettings::drain_notice, 0, 60000,
     "time between the loss of readiness and the close of the listener"},
    {"--drain-timeout-ms", "SAPPHIREWHEEL_DRAIN_TIMEOUT_MS", &DaemonSettings::drain_timeout, 1000,
     3600000, "longest time that a stop waits for running requests"},
    {"--pause-limit-ms", "SAPPHIREWHEEL_PAUSE_LIMIT_MS", &DaemonSettings::pause_limit, 500, 60000,
     "pause of the process after which it registers as a new incarnation"},
    {"--idle-timeout-ms", "SAPPHIREWHEEL_IDLE_TIMEOUT_MS", &DaemonSettings::idle_timeout, 100,
     3600000, "idle time after which a caller's connection is closed"},
    {"--header-timeout-ms", "SAPPHIREWHEEL_HEADER_TIMEOUT_MS", &DaemonSettings::header_timeout, 100,
     600000, "longest time for the header of a caller's request"},
    {"--read-timeout-ms", "SAPPHIREWHEEL_READ_TIMEOUT_MS", &DaemonSettings::read_timeout, 100,
     600000, "longest time for a caller's request, besides that for its body"},
    {"--claim-group-ms", "SAPPHIREWHEEL_CLAIM_GROUP_MS", &DaemonSettings::claim_group_interval, 1,
     1000, "time for which claims are collected into one write"},
};

struct SizeSetting {
  const char* flag;
  const char* env;
  std::size_t DaemonSettings::*member;
  std::int64_t min;
  std::int64_t max;
  const char* help;
};

constexpr SizeSetting kSizes[] = {
    {"--max-header-bytes", "SAPPHIREWHEEL_MAX_HEADER_BYTES", &DaemonSettings::max_header_bytes,
     1024, 1048576, "largest header of a caller's request"},
    {"--max-body-bytes", "SAPPHIREWHEEL_MAX_BODY_BYTES", &DaemonSettings::max_body_bytes, 1024,
     67108864, "largest body of a caller's request"},
    {"--min-body-rate", "SAPPHIREWHEEL_MIN_BODY_RATE", &DaemonSettings::min_body_rate, 1, 67108864,
     "bytes a second for which a body gets more time than --read-timeout-ms"},
    {"--request-memory", "SAPPHIREWHEEL_REQUEST_MEMORY", &DaemonSettings::request_memory, 1048576,
     17179869184, "bytes that all open requests of callers may hold together"},
    {"--max-connections", "SAPPHIREWHEEL_MAX_CONNECTIONS", &DaemonSettings::max_connections, 1,
     65536, "most open connections of callers and operators"},
    {"--max-queue", "SAPPHIREWHEEL_MAX_QUEUE", &DaemonSettings::max_queue, 1, 1000000,
     "most requests and job attempts that wait"},
    {"--max-queue-per-team", "SAPPHIREWHEEL_MAX_QUEUE_PER_TEAM",
     &DaemonSettings::max_queue_per_team, 1, 1000000, "most of them for one team"},
    {"--core-ring", "SAPPHIREWHEEL_CORE_RING", &DaemonSettings::core_ring, 64, 1048576,
     "items in the ring to the core thread"},
};

// Options as given by flags or environment variables, converted to typed values after parsing.
struct RawSettings {
  std::string vm;
  std::string data_centre;
  std::string listen = "127.0.0.1:0";
  std::string peer_listen = "127.0.0.1:0";
  std::vector<std::string> platform;
  std::string egress_proxy;
  std::map<std::string, std::int64_t> numbers;
  bool check_only = false;
  bool markdown = false;
  bool events = false;
};

void AddIdentity(CLI::App& app, RawSettings& raw, DaemonSettings& settings) {
  app.add_option("--deployment-file", settings.deployment_file,
                 "settings file of the users' platform, in place of the addresses below")
      ->envname("SAPPHIREWHEEL_DEPLOYMENT_FILE");
  app.add_option("--metrics-port", settings.metrics_port,
                 "port for metrics on the VM's address of the deployment file; 0: none")
      ->envname("SAPPHIREWHEEL_METRICS_PORT");
  app.add_option("--vm", raw.vm, "id of this entry VM")->envname("SAPPHIREWHEEL_VM");
  app.add_option("--data-centre", raw.data_centre, "data centre of this VM")
      ->envname("SAPPHIREWHEEL_DATA_CENTRE");
  app.add_option("--listen", raw.listen, "ip:port for callers and operators; port 0: any free one")
      ->envname("SAPPHIREWHEEL_LISTEN");
  app.add_option("--peer-listen", raw.peer_listen,
                 "ip:port for other daemons; port 0: any free one")
      ->envname("SAPPHIREWHEEL_PEER_LISTEN");
  app.add_option("--advertise", settings.advertise, "ip:port told to others instead of --listen")
      ->envname("SAPPHIREWHEEL_ADVERTISE");
  app.add_option("--peer-advertise", settings.peer_advertise,
                 "ip:port told to others instead of --peer-listen")
      ->envname("SAPPHIREWHEEL_PEER_ADVERTISE");
  app.add_option("--platform", raw.platform, "ip:port of the platform service, several allowed")
      ->delimiter(',')
      ->envname("SAPPHIREWHEEL_PLATFORM");
  app.add_option("--egress-proxy", raw.egress_proxy,
                 "ip:port of an HTTP CONNECT proxy for all outgoing connections")
      ->envname("SAPPHIREWHEEL_EGRESS_PROXY");
  app.add_option("--operator-token", settings.operator_token,
                 "secret that operators present as bearer token; empty: none is asked for")
      ->envname("SAPPHIREWHEEL_OPERATOR_TOKEN");
}

void AddLimits(CLI::App& app, RawSettings& raw, DaemonSettings& settings) {
  for (const DurationSetting& it : kDurations) {
    std::int64_t& number = raw.numbers[it.flag];
    number = (settings.*it.member).count();
    app.add_option(it.flag, number, std::string(it.help) + ", in milliseconds")
        ->envname(it.env)
        ->check(CLI::Range(it.min_ms, it.max_ms));
  }
  for (const SizeSetting& it : kSizes) {
    std::int64_t& number = raw.numbers[it.flag];
    number = static_cast<std::int64_t>(settings.*it.member);
    app.add_option(it.flag, number, it.help)->envname(it.env)->check(CLI::Range(it.min, it.max));
  }
  app.add_option("--quarantine-failures", settings.quarantine_failures,
                 "failed tasks in a row after which a worker gets no new work")
      ->envname("SAPPHIREWHEEL_QUARANTINE_FAILURES")
      ->check(CLI::Range(1, 1000));
  app.add_option("--policy", settings.policy,
                 "policy of pool moves: brunner, graxaria, or weights such as "
                 "share=2,moves=2,buffer=1,rollout=1")
      ->envname("SAPPHIREWHEEL_POLICY")
      ->check([](const std::string& text) {
        const auto profile = ParseProfile(text);
        return profile ? std::string() : profile.error().message + "; " + profile.error().remedy;
      });
  app.add_option("--trace-file", settings.trace_file, "file or pipe for spans; empty: none")
      ->envname("SAPPHIREWHEEL_TRACE_FILE");
  app.add_option("--log-level", settings.log_level, "least level that is logged")
      ->envname("SAPPHIREWHEEL_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
}

Result<Endpoint> CheckEndpoint(const char* flag, const std::string& text) {
  auto endpoint = ParseEndpoint(text);
  if (!endpoint) endpoint.error().message = std::string(flag) + ": " + endpoint.error().message;
  return endpoint;
}

Error InvalidSetting(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy),
               RunState::kNotRun, std::nullopt};
}

// A relation between two settings that must hold.
struct Relation {
  bool holds;
  const char* message;
  const char* remedy;
};

Result<void> CheckRelations(const DaemonSettings& s) {
  // Workers grant ownership for 3 s, of which nodes use 80 % (docs/workers.md).
  constexpr Millis kUsableLease{2400};
  const Relation relations[] = {
      {s.renew_interval * 2 <= kUsableLease, "--renew-ms is too long for the ownership lease",
       "set it to at most 1200, so that one renewal may be lost"},
      {s.heartbeat_interval * 2 <= s.suspect_after,
       "--suspect-after-ms is shorter than two heartbeats",
       "set it to at least twice --heartbeat-ms"},
      {s.suspect_after < s.dead_after, "--dead-after-ms is not longer than --suspect-after-ms",
       "raise --dead-after-ms"},
      {s.config_pull_interval * 2 <= s.key_freshness,
       "--key-freshness-ms is shorter than two configuration pulls",
       "set it to at least twice --config-pull-ms"},
      {s.pause_limit < s.dead_after, "--pause-limit-ms is not shorter than --dead-after-ms",
       "lower --pause-limit-ms, so that a paused node notices before it is fenced"},
      {s.default_deadline <= s.max_deadline, "--default-deadline-ms is above --max-deadline-ms",
       "lower --default-deadline-ms"},
      {s.drain_notice < s.drain_timeout, "--drain-notice-ms is not shorter than --drain-timeout-ms",
       "raise --drain-timeout-ms"},
      {s.max_queue_per_team <= s.max_queue, "--max-queue-per-team is above --max-queue",
       "lower --max-queue-per-team"},
  };
  for (const Relation& it : relations) {
    if (!it.holds) return InvalidSetting(it.message, it.remedy);
  }
  return boost::outcome_v2::success();
}

Result<void> Convert(const RawSettings& raw, DaemonSettings& settings) {
  if (!settings.deployment_file.empty()) return boost::outcome_v2::success();
  if (raw.vm.empty()) return InvalidSetting("--vm is missing", "give the id of this VM");
  if (raw.vm.find('#') != std::string::npos || raw.vm.find('/') != std::string::npos) {
    return InvalidSetting("--vm \"" + raw.vm + "\" contains '#' or '/'",
                          "use letters, digits and '-'");
  }
  if (raw.data_centre.empty()) {
    return InvalidSetting("--data-centre is missing", "give the data centre of this VM");
  }
  if (raw.platform.empty()) {
    return InvalidSetting("--platform is missing",
                          "give at least one ip:port of the platform service");
  }
  settings.vm = VmId(raw.vm);
  settings.data_centre = DataCentreId(raw.data_centre);
  BOOST_OUTCOME_TRY(settings.listen, CheckEndpoint("--listen", raw.listen));
  BOOST_OUTCOME_TRY(settings.peer_listen, CheckEndpoint("--peer-listen", raw.peer_listen));
  for (const std::string& text : raw.platform) {
    BOOST_OUTCOME_TRY(auto endpoint, CheckEndpoint("--platform", text));
    settings.platform.push_back(endpoint);
  }
  if (!raw.egress_proxy.empty()) {
    BOOST_OUTCOME_TRY(settings.egress_proxy, CheckEndpoint("--egress-proxy", raw.egress_proxy));
  }
  for (const DurationSetting& it : kDurations) {
    settings.*it.member = Millis(raw.numbers.at(it.flag));
  }
  for (const SizeSetting& it : kSizes) {
    settings.*it.member = static_cast<std::size_t>(raw.numbers.at(it.flag));
  }
  return CheckRelations(settings);
}

const char* Origin(const CLI::Option& option, const std::vector<std::string>& arguments) {
  const std::string flag = "--" + option.get_lnames().front();
  for (const std::string& it : arguments) {
    if (it == flag || it.rfind(flag + "=", 0) == 0) return "flag";
  }
  if (!option.get_envname().empty() && std::getenv(option.get_envname().c_str()) != nullptr) {
    return "environment";
  }
  return "default";
}

// Calls `print` for each option that is a setting, which is one with an environment variable.
void ForEachSetting(const CLI::App& app, const std::function<void(const CLI::Option&)>& print) {
  for (const CLI::Option* option : app.get_options()) {
    if (!option->get_envname().empty()) print(*option);
  }
}

void PrintEffective(const CLI::App& app, const std::vector<std::string>& arguments) {
  ForEachSetting(app, [&](const CLI::Option& option) {
    const bool secret = option.get_envname().find("TOKEN") != std::string::npos;
    std::string value = option.get_default_str();
    if (option.count() > 0) value = CLI::detail::join(option.results(), ",");
    if (secret && !value.empty()) value = "(hidden)";
    std::cout << "--" << option.get_lnames().front() << " = " << value << " ("
              << Origin(option, arguments) << ")\n";
  });
}

void PrintMarkdown(const CLI::App& app) {
  std::cout
      << "# Settings of sapphirewheeld\n\nGenerated by `sapphirewheeld --settings-doc`. A flag "
         "goes before its environment variable.\n\n| flag | environment variable | default | "
         "range | meaning |\n|---|---|---|---|---|\n";
  ForEachSetting(app, [](const CLI::Option& option) {
    const std::string type = option.get_type_name();
    const auto bracket = type.find('[');
    const auto brace = type.find('{');
    const auto start = bracket != std::string::npos ? bracket : brace;
    std::cout << "| `--" << option.get_lnames().front() << "` | `" << option.get_envname() << "` | "
              << option.get_default_str() << " | "
              << (start == std::string::npos ? "" : type.substr(start)) << " | "
              << option.get_description() << " |\n";
  });
}

ParsedSettings Fail(const Error& error) {
  std::cerr << "sapphirewheeld: " << error.message << "; " << error.remedy << "\n";
  return ParsedSettings{SettingsOutcome::kExit, kSettingsError, {}};
}

}  // namespace

ParsedSettings ParseSettings(int argc, const char* const* argv) {
  CLI::App app("Fleet capacity and maintenance manager: the daemon of an entry VM",
               "sapphirewheeld");
  app.option_defaults()->always_capture_default();
  app.set_version_flag("--version", std::string("sapphirewheeld ") + kVersion);
  RawSettings raw;
  ParsedSettings parsed;
  AddIdentity(app, raw, parsed.settings);
  AddLimits(app, raw, parsed.settings);
  app.add_flag("--check-settings", raw.check_only, "print the effective settings and exit");
  app.add_flag("--settings-doc", raw.markdown, "print the settings as Markdown and exit");
  app.add_flag("--events-doc", raw.events, "print the catalogue of log events and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ex) {
    const int code = app.exit(ex);
    return ParsedSettings{SettingsOutcome::kExit, code == 0 ? 0 : kSettingsError, {}};
  }
  if (raw.markdown || raw.events) {
    if (raw.markdown) PrintMarkdown(app);
    if (raw.events) std::cout << RenderEventCatalogue();
    return ParsedSettings{SettingsOutcome::kExit, 0, {}};
  }
  if (auto result = Convert(raw, parsed.settings); !result) return Fail(result.error());
  if (raw.check_only) {
    PrintEffective(app, std::vector<std::string>(argv + 1, argv + argc));
    parsed.outcome = SettingsOutcome::kExit;
  }
  return parsed;
}

}  // namespace sapphirewheel
