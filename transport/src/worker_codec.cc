#include "worker_codec.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/transport/digest.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

enum Status { kOk = 200, kAccepted = 202, kConflict = 409, kGone = 410, kInternalError = 500 };

constexpr const char* kTaskHeader = "Sapphirewheel-Task";
constexpr const char* kDigestHeader = "Sapphirewheel-Digest";

std::uint64_t UnsignedField(const json::object& object, std::string_view name) {
  const auto n = IntField(object, name);
  return n > 0 ? static_cast<std::uint64_t>(n) : 0;
}

TaskReport DecodeTask(const json::object& object) {
  TaskReport task;
  task.task = TaskId(TextField(object, "task"));
  task.node = NodeId(TextField(object, "node"));
  task.job = JobId(TextField(object, "job"));
  task.job_epoch = Epoch(UnsignedField(object, "job_epoch"));
  task.team = TeamId(TextField(object, "team"));
  task.slots = Slots(IntField(object, "slots", 1));
  const std::string state = TextField(object, "state");
  if (state == "done") task.state = TaskState::kDone;
  if (state == "failed") task.state = TaskState::kFailed;
  task.reason = TextField(object, "reason");
  task.checkpoint = TextField(object, "checkpoint");
  task.progress = DoubleField(object, "progress");
  task.result = TextField(object, "result");
  task.used_millicores = IntField(object, "used_millicores");
  return task;
}

std::optional<WorkerReport> DecodeReport(const std::string& text) {
  const auto parsed = ParseObject(text);
  if (!parsed) return std::nullopt;
  const json::object& object = parsed.value();
  WorkerReport report;
  report.epoch = Epoch(UnsignedField(object, "epoch"));
  report.boot = TextField(object, "boot");
  if (report.epoch == Epoch(0) || report.boot.empty()) return std::nullopt;
  report.lease = Millis(IntField(object, "lease_ms", report.lease.count()));
  report.slots = Slots(IntField(object, "slots"));
  report.free_slots = Slots(IntField(object, "free_slots"));
  report.leaving = BoolField(object, "leaving");
  report.used_millicores = IntField(object, "used_millicores");
  const auto* tasks = object.if_contains("tasks");
  if (tasks == nullptr || !tasks->is_array()) return std::nullopt;
  for (const auto& task : tasks->get_array()) {
    if (!task.is_object()) return std::nullopt;
    report.tasks.push_back(DecodeTask(task.get_object()));
  }
  return report;
}

std::string RefusalCode(const std::string& body) {
  const auto object = ParseObject(body);
  return object ? TextField(object.value(), "code") : std::string();
}

// Refusals that guarantee that the task did not run and will not run.
bool IsKnownRefusal(const std::string& code) {
  constexpr std::array<std::string_view, 7> kCodes = {
      "not-owner", "fenced", "stale-epoch", "stale-job-epoch", "no-slot", "draining", "stopped"};
  return std::find(kCodes.begin(), kCodes.end(), code) != kCodes.end();
}

TaskStartReply Unknown(std::string reason) {
  TaskStartReply reply;
  reply.reason = std::move(reason);
  return reply;
}

TaskStartReply NotRun(std::string reason) {
  TaskStartReply reply;
  reply.outcome = TaskStartOutcome::kNotRun;
  reply.reason = std::move(reason);
  return reply;
}

TaskStartReply DecodeTaskResult(const TaskStart& task, HttpResult result) {
  if (HeaderValue(result.headers, kTaskHeader) != task.task.str()) {
    return Unknown("the response belongs to another task");
  }
  if (HeaderValue(result.headers, kDigestHeader) != Sha256Hex(result.body)) {
    return Unknown("the response body does not match its digest");
  }
  TaskStartReply reply;
  reply.outcome = result.status == kOk ? TaskStartOutcome::kDone : TaskStartOutcome::kFailed;
  if (reply.outcome == TaskStartOutcome::kFailed) reply.reason = "the task failed";
  reply.content_type = HeaderValue(result.headers, "Content-Type");
  reply.answer = std::move(result.body);
  return reply;
}

}  // namespace

std::string EncodeOwnership(const OwnershipCall& call) {
  json::array acknowledged;
  for (const auto& task : call.acknowledged) acknowledged.emplace_back(task.str());
  return json::serialize(json::object{{"node", call.node.str()},
                                      {"release", call.release},
                                      {"acknowledge", std::move(acknowledged)}});
}

OwnershipReply DecodeOwnership(const HttpResult& result) {
  OwnershipReply reply;
  if (result.outcome != HttpOutcome::kComplete) return reply;
  if (result.status == kOk) {
    if (auto report = DecodeReport(result.body)) {
      reply.outcome = OwnershipOutcome::kGranted;
      reply.report = std::move(*report);
    }
  } else if (result.status == kConflict) {
    const auto object = ParseObject(result.body);
    if (object) {
      reply.outcome = OwnershipOutcome::kHeldByOther;
      reply.owner = NodeId(TextField(object.value(), "owner"));
    }
  } else if (result.status == kGone) {
    reply.outcome = OwnershipOutcome::kFenced;
  }
  return reply;
}

HttpCall EncodeStart(const TaskStart& task) {
  const bool is_job = task.kind == TaskKind::kJob;
  HttpCall call;
  call.method = "POST";
  call.target = "/v1/tasks";
  call.headers = {{kTaskHeader, task.task.str()},
                  {"Sapphirewheel-Node", task.node.str()},
                  {"Sapphirewheel-Epoch", std::to_string(task.epoch.count())},
                  {"Sapphirewheel-Kind", is_job ? "job" : "request"},
                  {"Sapphirewheel-Team", task.team.str()},
                  {"Sapphirewheel-Service", task.service.str()},
                  {"Sapphirewheel-Slots", std::to_string(task.slots.count())}};
  if (is_job) {
    call.headers.emplace_back("Sapphirewheel-Job", task.job.str());
    call.headers.emplace_back("Sapphirewheel-Job-Epoch", std::to_string(task.job_epoch.count()));
    call.headers.emplace_back("Sapphirewheel-Checkpoint", task.checkpoint);
  }
  if (!task.traceparent.empty()) call.headers.emplace_back("traceparent", task.traceparent);
  call.body = task.body;
  call.deadline = task.timeout;
  call.reuse = ConnectionReuse::kRecent;
  return call;
}

TaskStartReply DecodeStart(const TaskStart& task, HttpResult result) {
  if (result.outcome == HttpOutcome::kNotSent) return NotRun("not sent: " + result.reason);
  if (result.outcome == HttpOutcome::kIncomplete) return Unknown(result.reason);
  const std::string echoed = HeaderValue(result.headers, kTaskHeader);
  // Also checked for refusals: reporting "not run" for the refusal of another task would be wrong.
  if (echoed != task.task.str()) return Unknown("the response does not name the task");
  const bool is_job = task.kind == TaskKind::kJob;
  if (!is_job && (result.status == kOk || result.status == kInternalError)) {
    return DecodeTaskResult(task, std::move(result));
  }
  if (is_job && result.status == kAccepted) {
    TaskStartReply reply;
    reply.outcome = TaskStartOutcome::kDone;
    return reply;
  }
  if (result.status == kGone) return NotRun("fenced");
  if (result.status == kConflict) {
    std::string code = RefusalCode(result.body);
    if (IsKnownRefusal(code)) return NotRun(std::move(code));
  }
  return Unknown("the worker responded with status " + std::to_string(result.status));
}

FenceReply DecodeFence(const HttpResult& result) {
  const auto running = DecodeDrain(result);
  return FenceReply{running.has_value(), running.value_or(0)};
}

std::optional<std::int64_t> DecodeDrain(const HttpResult& result) {
  if (result.outcome != HttpOutcome::kComplete || result.status != kOk) return std::nullopt;
  const auto object = ParseObject(result.body);
  if (!object) return std::nullopt;
  constexpr std::int64_t kMissing = -1;
  const auto running = IntField(object.value(), "running", kMissing);
  if (running < 0) return std::nullopt;
  return running;
}

std::optional<WorkerHealth> DecodeHealth(const HttpResult& result) {
  if (result.outcome != HttpOutcome::kComplete || result.status != kOk) return std::nullopt;
  const auto object = ParseObject(result.body);
  if (!object) return std::nullopt;
  return WorkerHealth{TextField(object.value(), "boot"), BoolField(object.value(), "leaving")};
}

}  // namespace sapphirewheel
