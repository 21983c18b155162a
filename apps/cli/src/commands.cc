#include "commands.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <thread>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

// Interval at which `watch` reads the plan.
constexpr Millis kWatchInterval{500};

json::value ParseBody(const std::string& body) {
  json::error_code ec;
  json::value value = json::parse(body, ec);
  return ec ? json::value(body) : value;
}

int StatusOf(const HttpResult& result) {
  if (result.status < 400) return kExitOk;
  const auto problem = ParseObject(result.body);
  if (problem && TextField(problem.value(), "run") == "unknown") return kExitUnknownOutcome;
  return kExitRefused;
}

int PrintError(const Error& error) {
  std::cerr << "sapphirewheel: " << error.message << "; " << error.remedy << "\n";
  return error.run == RunState::kUnknown ? kExitUnknownOutcome : kExitUnreachable;
}

json::array JsonArray(const std::vector<std::string>& texts) {
  json::array out;
  for (const auto& it : texts) out.emplace_back(it);
  return out;
}

// Sends an intent. It stores a plan but changes nothing, so the call may be repeated when its
// response is lost.
int SendIntent(ApiClient& client, const json::object& intent, OutputFormat format) {
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/intents";
  call.body = json::serialize(intent);
  return CallAndPrint(client, call, format);
}

void AddTeamPlan(CLI::App& plan, CommandContext& context) {
  struct Options {
    std::string team;
    std::int64_t share = 1;
    std::int64_t limit = 0;
  };
  auto options = std::make_shared<Options>();
  auto* command = plan.add_subcommand("team", "set a team's share and upper limit");
  command->add_option("team", options->team, "team id")->required();
  command->add_option("--share", options->share, "weight when the fleet is full")->required();
  command->add_option("--limit", options->limit, "maximum number of slots across the fleet")
      ->required();
  command->footer("Example: sapphirewheel plan team brewers --share 3 --limit 40");
  command->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      return SendIntent(client,
                        {{"kind", "team"},
                         {"team", options->team},
                         {"share", options->share},
                         {"upper_limit", options->limit}},
                        format);
    };
  });
}

void AddPoolPlan(CLI::App& plan, CommandContext& context) {
  struct Options {
    std::string pool;
    std::vector<std::string> services;
    std::vector<std::string> open_services;
    std::int64_t size = 0;
    std::int64_t max_out = 1;
    std::int64_t max_out_per_rack = 1;
    bool spare = false;
  };
  auto options = std::make_shared<Options>();
  auto* command = plan.add_subcommand("pool", "set a pool's services, size and budget");
  command->add_option("pool", options->pool, "pool id")->required();
  command->add_option("--service", options->services, "service that its workers run");
  command->add_option("--open-service", options->open_services,
                      "service of the pool that needs no key");
  command->add_option("--size", options->size, "target number of VMs")->required();
  command->add_option("--max-out", options->max_out,
                      "maximum number of VMs out of service at once");
  command->add_option("--max-out-per-rack", options->max_out_per_rack, "the same for each rack");
  command->add_flag("--spare", options->spare, "its VMs are lent to other pools");
  command->footer("Example: sapphirewheel plan pool blending --service blend --size 12");
  command->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      return SendIntent(client,
                        {{"kind", "pool"},
                         {"pool", options->pool},
                         {"services", JsonArray(options->services)},
                         {"open_services", JsonArray(options->open_services)},
                         {"size", options->size},
                         {"max_out", options->max_out},
                         {"max_out_per_rack", options->max_out_per_rack},
                         {"spare", options->spare}},
                        format);
    };
  });
}

void AddVmPlan(CLI::App& plan, CommandContext& context) {
  auto options = std::make_shared<std::pair<std::string, std::string>>();
  auto* command = plan.add_subcommand("vm-pool", "move a VM to a pool");
  command->add_option("vm", options->first, "VM id")->required();
  command->add_option("pool", options->second, "pool id")->required();
  command->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      return SendIntent(
          client, {{"kind", "vm-pool"}, {"vm", options->first}, {"pool", options->second}}, format);
    };
  });
}

void AddWavePlan(CLI::App& plan, CommandContext& context) {
  struct Options {
    std::string wave;
    std::string action;
    std::vector<std::string> pools;
  };
  auto options = std::make_shared<Options>();
  auto* command = plan.add_subcommand("wave", "start, resume or cancel a maintenance wave");
  command->add_option("action", options->action, "start, resume or cancel")
      ->required()
      ->check(CLI::IsMember({"start", "resume", "cancel"}));
  command->add_option("wave", options->wave, "wave id")->required();
  command->add_option("--pool", options->pools, "pool to maintain; needed to start");
  command->footer("Example: sapphirewheel plan wave start december --pool blending");
  command->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      return SendIntent(client,
                        {{"kind", "wave"},
                         {"wave", options->wave},
                         {"action", options->action},
                         {"pools", JsonArray(options->pools)}},
                        format);
    };
  });
}

void AddKeyPlans(CLI::App& plan, CommandContext& context) {
  struct Options {
    std::string key;
    std::string team;
    std::int64_t grace_ms = 0;
  };
  auto options = std::make_shared<Options>();
  auto* grant = plan.add_subcommand("key-grant", "grant a key to a team; shows the token once");
  grant->add_option("key", options->key, "key id")->required();
  grant->add_option("team", options->team, "team id")->required();
  grant->add_option(
      "--isolation-grace-ms", options->grace_ms,
      "how long a data centre accepts the key while it is cut off from the platform and its "
      "peers");
  grant->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      return SendIntent(client,
                        {{"kind", "key-grant"},
                         {"key", options->key},
                         {"team", options->team},
                         {"isolation_grace_ms", options->grace_ms}},
                        format);
    };
  });
  auto* withdraw = plan.add_subcommand("key-withdraw", "withdraw a key");
  withdraw->add_option("key", options->key, "key id")->required();
  withdraw->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      return SendIntent(client, {{"kind", "key-withdraw"}, {"key", options->key}}, format);
    };
  });
}

// Reads a plan until it is in force everywhere, and prints only new states.
int Watch(ApiClient& client, const std::string& plan, OutputFormat format, Millis limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::string last;
  for (;;) {
    ApiCall call;
    call.target = "/v1/plans/" + EncodePath(plan);
    const auto result = client.Call(call);
    if (!result) return PrintError(result.error());
    const auto body = ParseObject(result.value().body);
    const bool in_force = body && BoolField(body.value(), "in_force_everywhere");
    if (result.value().body != last || in_force) PrintValue(ParseBody(result.value().body), format);
    last = result.value().body;
    if (in_force) return kExitOk;
    if (result.value().status >= 400) return StatusOf(result.value());
    if (std::chrono::steady_clock::now() >= end) return kExitRefused;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace

int CallAndPrint(ApiClient& client, const ApiCall& call, OutputFormat format) {
  const auto result = client.Call(call);
  if (!result) return PrintError(result.error());
  PrintValue(ParseBody(result.value().body), format);
  return StatusOf(result.value());
}

void AddIntentCommands(CLI::App& app, CommandContext& context) {
  auto* plan = app.add_subcommand("plan", "submit an intent and get its plan; nothing changes yet");
  plan->require_subcommand(1);
  AddTeamPlan(*plan, context);
  AddPoolPlan(*plan, context);
  AddVmPlan(*plan, context);
  AddWavePlan(*plan, context);
  AddKeyPlans(*plan, context);

  auto id = std::make_shared<std::string>();
  auto* confirm = app.add_subcommand("confirm", "confirm a plan; confirming again has no effect");
  confirm->add_option("plan", *id, "plan id")->required();
  confirm->callback([&context, id] {
    context.action = [id](ApiClient& client, OutputFormat format) {
      ApiCall call;
      call.method = "POST";
      call.target = "/v1/plans/" + EncodePath(*id) + "/confirm";
      return CallAndPrint(client, call, format);
    };
  });
  auto* status = app.add_subcommand("status", "show a plan and where it is in force");
  status->add_option("plan", *id, "plan id")->required();
  status->callback([&context, id] {
    context.action = [id](ApiClient& client, OutputFormat format) {
      ApiCall call;
      call.target = "/v1/plans/" + EncodePath(*id);
      return CallAndPrint(client, call, format);
    };
  });
  auto* watch =
      app.add_subcommand("watch", "follow a confirmed plan until it is in force everywhere");
  watch->add_option("plan", *id, "plan id")->required();
  watch->callback([&context, id] {
    context.action = [id, &context](ApiClient& client, OutputFormat format) {
      return Watch(client, *id, format, Millis(context.timeout_ms));
    };
  });
}

void AddCallerCommands(CLI::App& app, CommandContext& context) {
  struct Options {
    std::string service;
    std::string body;
    std::string request;
    bool repeatable = false;
    bool urgent = false;
    std::int64_t deadline_ms = 30000;
    std::int64_t slots = 1;
    std::string job;
  };
  auto options = std::make_shared<Options>();
  auto add_request = [&](const char* name, const char* help, const char* kind) {
    auto* command = app.add_subcommand(name, help);
    command->add_option("service", options->service, "service id")->required();
    command->add_option("body", options->body, "body passed to the service");
    command->add_option("--id", options->request, "Idempotency-Key of the request");
    command->add_flag("--repeatable", options->repeatable, "the request may be run again");
    command->add_flag("--urgent", options->urgent, "run before work that is not urgent");
    command->add_option("--deadline-ms", options->deadline_ms, "maximum time until the response");
    command->add_option("--slots", options->slots, "slots that a job needs");
    command->callback([&context, options, kind] {
      context.action = [options, kind](ApiClient& client, OutputFormat format) {
        ApiCall call;
        call.method = "POST";
        call.target = "/v1/services/" + EncodePath(options->service) + "/" + kind;
        call.body = options->body;
        call.idempotent = options->repeatable || !options->request.empty();
        call.headers = {{"Sapphirewheel-Repeatable", options->repeatable ? "true" : "false"},
                        {"Sapphirewheel-Urgent", options->urgent ? "true" : "false"},
                        {"Sapphirewheel-Deadline-Ms", std::to_string(options->deadline_ms)},
                        {"Sapphirewheel-Slots", std::to_string(options->slots)}};
        if (!options->request.empty()) {
          call.headers.emplace_back("Idempotency-Key", options->request);
        }
        return CallAndPrint(client, call, format);
      };
    });
  };
  add_request("run", "send a request and print its response", "requests");
  add_request("submit", "submit a long job and print its handle", "jobs");

  auto add_job = [&](const char* name, const char* help, const char* method, const char* suffix) {
    auto* command = app.add_subcommand(name, help);
    command->add_option("job", options->job, "job id")->required();
    command->callback([&context, options, method, suffix] {
      context.action = [options, method, suffix](ApiClient& client, OutputFormat format) {
        ApiCall call;
        call.method = method;
        call.target = "/v1/jobs/" + EncodePath(options->job) + suffix;
        return CallAndPrint(client, call, format);
      };
    });
  };
  add_job("job", "show a job", "GET", "");
  add_job("result", "print the result of a job", "GET", "/result");
  add_job("cancel", "cancel a job", "DELETE", "");
}

void AddViewCommands(CLI::App& app, CommandContext& context) {
  auto add_view = [&](const char* name, const char* help) {
    auto* command = app.add_subcommand(name, help);
    command->callback([&context, name] {
      context.action = [name](ApiClient& client, OutputFormat format) {
        ApiCall call;
        call.target = std::string("/v1/") + name;
        return CallAndPrint(client, call, format);
      };
    });
  };
  add_view("fleet", "show VMs, daemons and pools");
  add_view("teams", "show teams with their limits and tokens");
  add_view("waves", "show maintenance waves");

  auto options = std::make_shared<std::pair<std::string, std::string>>();
  auto* explain = app.add_subcommand("explain", "explain the state of a VM, a team or a request");
  explain->add_option("kind", options->first, "vm, team or request")
      ->required()
      ->check(CLI::IsMember({"vm", "team", "request"}));
  explain->add_option("id", options->second, "id; for a request its task id or Idempotency-Key")
      ->required();
  explain->callback([&context, options] {
    context.action = [options](ApiClient& client, OutputFormat format) {
      ApiCall call;
      call.target = "/v1/explain/" + options->first + "/" + EncodePath(options->second);
      return CallAndPrint(client, call, format);
    };
  });
}

}  // namespace sapphirewheel
