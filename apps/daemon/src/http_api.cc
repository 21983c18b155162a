#include "http_api.h"

#include <openssl/crypto.h>

#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "operator_views.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxRequestIdBytes = 256;

Error Invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy),
               RunState::kNotRun, std::nullopt};
}

Error NoSuchPath(const HttpRequest& request) {
  return Error{ErrorKind::kNotFound, request.method + " " + request.path + " does not exist",
               "see docs/OPERATIONS.md for the interface", RunState::kNotRun, std::nullopt};
}

Error NotKnown(const std::string& kind, const std::string& id) {
  return Error{ErrorKind::kNotFound, "this node knows no " + kind + " \"" + id + "\"",
               kind == "request" ? "ask the daemon that received it; it may have been answered"
                                 : "check the id; the kinds are vm, team and request",
               RunState::kNotRun, std::nullopt};
}

std::vector<std::string> Split(const std::string& path) {
  std::vector<std::string> segments;
  std::string::size_type start = 0;
  while (start < path.size()) {
    const auto end = std::min(path.find('/', start), path.size());
    if (end > start) segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

std::string BearerToken(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string value = HeaderValue(request.headers, "Authorization");
  if (value.rfind(kScheme, 0) != 0) return "";
  return value.substr(kScheme.size());
}

HttpReply JsonReply(int status, const json::object& body) {
  HttpReply reply;
  reply.status = status;
  reply.body = json::serialize(body);
  return reply;
}

// Parses "true" or "false"; returns the fallback when the header is missing.
Result<bool> BoolHeader(const HttpRequest& request, const char* name, bool fallback) {
  const std::string value = HeaderValue(request.headers, name);
  if (value.empty()) return fallback;
  if (value == "true") return true;
  if (value == "false") return false;
  return Invalid(std::string("header ") + name + " is \"" + value + "\"", "send true or false");
}

Result<Millis> DeadlineHeader(const HttpRequest& request, Millis fallback, Millis max) {
  constexpr const char* kName = "Sapphirewheel-Deadline-Ms";
  const std::string value = HeaderValue(request.headers, kName);
  if (value.empty()) return fallback;
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
  if (ec != std::errc() || end != value.data() + value.size() || n < 1 || n > max.count()) {
    return Invalid(std::string("header ") + kName + " is \"" + value + "\"",
                   "send an integer from 1 to " + std::to_string(max.count()));
  }
  return Millis(n);
}

Result<RequestId> RequestIdHeader(const HttpRequest& request) {
  const std::string value = HeaderValue(request.headers, "Idempotency-Key");
  if (value.size() > kMaxRequestIdBytes) {
    return Invalid("header Idempotency-Key is longer than 256 bytes", "send a shorter key");
  }
  return RequestId(value);
}

HttpReply ToHttpReply(const Result<ServiceAnswer>& answer) {
  if (!answer) return ProblemReply(answer.error());
  HttpReply reply;
  reply.status = answer.value().status;
  reply.content_type = answer.value().content_type;
  reply.body = answer.value().body;
  if (answer.value().replayed) reply.headers.emplace_back("Sapphirewheel-Replayed", "true");
  return reply;
}

json::object JobView(const JobRecord& job) {
  return {{"job", job.id.str()},
          {"state", JobStateName(job.state)},
          {"service", job.spec.service.str()},
          {"team", job.spec.team.str()},
          {"failures", job.failures},
          {"checkpoint", job.checkpoint},
          {"reason", job.reason},
          {"holder", job.holder.str()}};
}

JobManager::JobCallback JobReply(int status, HttpServer::Respond respond) {
  return [status, respond = std::move(respond)](const Result<JobRecord>& job) {
    respond(job ? JsonReply(status, JobView(job.value())) : ProblemReply(job.error()));
  };
}

void LogConfirmation(const Result<Plan>& plan) {
  if (plan) {
    Log(Event::kConfigConfirmed,
        {{"plan", plan.value().id.str()},
         {"version", std::to_string(plan.value().confirmed_version.count())}});
  } else if (plan.error().kind == ErrorKind::kPlanOutdated) {
    Log(Event::kPlanOutdated);
  }
}

void RespondResult(const Result<JobRecord>& job, const HttpServer::Respond& respond) {
  if (!job) return respond(ProblemReply(job.error()));
  const JobRecord& record = job.value();
  if (record.state == JobState::kDone) {
    HttpReply reply;
    reply.body = record.result;
    return respond(reply);
  }
  const bool ended = record.state == JobState::kFailed || record.state == JobState::kCannotRun ||
                     record.state == JobState::kCancelled;
  if (!ended) return respond(JsonReply(202, JobView(record)));
  const ErrorKind kind =
      record.state == JobState::kFailed ? ErrorKind::kWorkerFailed : ErrorKind::kCannotRun;
  const RunState run = record.state == JobState::kCannotRun ? RunState::kNotRun : RunState::kDone;
  respond(ProblemReply(Error{
      kind, "the job ended as " + std::string(JobStateName(record.state)) + ": " + record.reason,
      "correct the cause and submit a new job", run, std::nullopt}));
}

}  // namespace

HttpApi::HttpApi(Settings settings, MetricsText metrics, RequestObserver observe)
    : settings_(std::move(settings)), metrics_(std::move(metrics)), observe_(std::move(observe)) {}

void HttpApi::Handle(Node& node, const HttpRequest& request,
                     const HttpServer::Respond& respond) const {
  const Segments path = Split(request.path);
  if (path.size() == 1) return HandleHealth(node, request, respond);
  if (path.size() < 2 || path[0] != "v1") return respond(ProblemReply(NoSuchPath(request)));
  if (path[1] == "services") return HandleService(node, path, request, respond);
  if (path[1] == "jobs") return HandleJob(node, path, request, respond);
  if (auto allowed = CheckOperator(request); !allowed) {
    return respond(ProblemReply(allowed.error()));
  }
  HandleOperator(node, path, request, respond);
}

Result<ServiceRequest> HttpApi::ReadServiceRequest(const std::string& service,
                                                   const HttpRequest& request) const {
  ServiceRequest result;
  result.service = ServiceId(service);
  BOOST_OUTCOME_TRY(result.request, RequestIdHeader(request));
  BOOST_OUTCOME_TRY(result.repeatable, BoolHeader(request, "Sapphirewheel-Repeatable", false));
  BOOST_OUTCOME_TRY(result.urgent, BoolHeader(request, "Sapphirewheel-Urgent", false));
  BOOST_OUTCOME_TRY(result.timeout,
                    DeadlineHeader(request, settings_.default_deadline, settings_.max_deadline));
  result.traceparent = HeaderValue(request.headers, "traceparent");
  result.body = request.body;
  return result;
}

void HttpApi::HandleService(Node& node, const Segments& path, const HttpRequest& request,
                            const HttpServer::Respond& respond) const {
  const bool known =
      path.size() == 4 && request.method == "POST" && (path[3] == "requests" || path[3] == "jobs");
  if (!known) return respond(ProblemReply(NoSuchPath(request)));
  auto parsed = ReadServiceRequest(path[2], request);
  if (!parsed) return respond(ProblemReply(parsed.error()));
  const std::string token = BearerToken(request);
  if (path[3] == "jobs") {
    JobSpec spec;
    spec.service = parsed.value().service;
    spec.urgent = parsed.value().urgent;
    spec.request = parsed.value().request;
    spec.body = request.body;
    const std::string slots = HeaderValue(request.headers, "Sapphirewheel-Slots");
    if (!slots.empty()) spec.slots = Slots(std::strtoll(slots.c_str(), nullptr, 10));
    if (spec.slots.count() < 1) {
      return respond(ProblemReply(Invalid("header Sapphirewheel-Slots is \"" + slots + "\"",
                                          "send an integer of at least 1")));
    }
    return node.SubmitJob(token, std::move(spec), JobReply(202, respond));
  }
  if (!parsed.value().repeatable && parsed.value().request.empty()) {
    return respond(
        ProblemReply(Invalid("a request that may not be repeated has no Idempotency-Key",
                             "send an Idempotency-Key header, or Sapphirewheel-Repeatable: true")));
  }
  AnswerCallback answer =
      observe_(node, parsed.value(),
               [respond](const Result<ServiceAnswer>& result) { respond(ToHttpReply(result)); });
  node.Submit(token, std::move(parsed.value()), std::move(answer));
}

void HttpApi::HandleJob(Node& node, const Segments& path, const HttpRequest& request,
                        const HttpServer::Respond& respond) const {
  const std::string token = BearerToken(request);
  if (path.size() == 3 && request.method == "GET") {
    return node.GetJob(token, JobId(path[2]), JobReply(200, respond));
  }
  if (path.size() == 3 && request.method == "DELETE") {
    return node.CancelJob(token, JobId(path[2]), JobReply(200, respond));
  }
  if (path.size() == 4 && path[3] == "result" && request.method == "GET") {
    return node.GetJob(token, JobId(path[2]),
                       [respond](const Result<JobRecord>& job) { RespondResult(job, respond); });
  }
  respond(ProblemReply(NoSuchPath(request)));
}

Result<void> HttpApi::CheckOperator(const HttpRequest& request) const {
  if (settings_.operator_token.empty()) return boost::outcome_v2::success();
  const std::string token = BearerToken(request);
  const bool equal =
      token.size() == settings_.operator_token.size() &&
      CRYPTO_memcmp(token.data(), settings_.operator_token.data(), token.size()) == 0;
  if (equal) return boost::outcome_v2::success();
  return Error{ErrorKind::kUnauthenticated, "the operator token is missing or wrong",
               "send it as Authorization: Bearer", RunState::kNotRun, std::nullopt};
}

void HttpApi::HandleOperator(Node& node, const Segments& path, const HttpRequest& request,
                             const HttpServer::Respond& respond) const {
  if (path[1] == "plans") return HandlePlan(node, path, request, respond);
  if (path.size() == 2 && path[1] == "intents" && request.method == "POST") {
    auto change = DecodeChange(request.body);
    if (!change) return respond(ProblemReply(change.error()));
    return node.MakePlan(std::move(change.value()), [respond](const Result<Plan>& plan) {
      respond(plan ? JsonReply(201, PlanView(plan.value(), nullptr)) : ProblemReply(plan.error()));
    });
  }
  if (request.method == "GET") {
    if (auto view = OperatorView(node, path)) return respond(JsonReply(200, *view));
    if (path[1] == "explain" && path.size() >= 4) {
      return respond(ProblemReply(NotKnown(path[2], path[3])));
    }
  }
  respond(ProblemReply(NoSuchPath(request)));
}

void HttpApi::HandlePlan(Node& node, const Segments& path, const HttpRequest& request,
                         const HttpServer::Respond& respond) const {
  if (path.size() == 3 && request.method == "GET") {
    return node.GetPlan(PlanId(path[2]), [respond, &node](const Result<Plan>& plan) {
      respond(plan ? JsonReply(200, PlanView(plan.value(), &node)) : ProblemReply(plan.error()));
    });
  }
  if (path.size() == 4 && path[3] == "confirm" && request.method == "POST") {
    return node.ConfirmPlan(PlanId(path[2]), [respond, &node](const Result<Plan>& plan,
                                                              const std::optional<Plan>& fresh) {
      LogConfirmation(plan);
      if (plan) return respond(JsonReply(200, PlanView(plan.value(), &node)));
      HttpReply reply = ProblemReply(plan.error());
      if (fresh) {
        auto body = ParseObject(reply.body);
        body.value()["fresh_plan"] = PlanView(*fresh, nullptr);
        reply.body = json::serialize(body.value());
      }
      respond(std::move(reply));
    });
  }
  respond(ProblemReply(NoSuchPath(request)));
}

void HttpApi::HandleHealth(Node& node, const HttpRequest& request,
                           const HttpServer::Respond& respond) const {
  HttpReply reply;
  reply.content_type = "text/plain";
  if (request.path == "/healthz") {
    reply.body = "ok\n";
    return respond(std::move(reply));
  }
  if (request.path == "/readyz") {
    const bool ready = node.Ready();
    reply.status = ready ? 200 : 503;
    reply.body = ready ? "ready\n" : "not ready\n";
    return respond(std::move(reply));
  }
  if (request.path == "/metrics") {
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = metrics_();
    return respond(std::move(reply));
  }
  respond(ProblemReply(NoSuchPath(request)));
}

}  // namespace sapphirewheel
