#include "sapphirewheel/coordination/stored_job.h"

#include <boost/json.hpp>
#include <chrono>

#include "sapphirewheel/coordination/job_progress.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

// Maximum payload of a job in bytes, as set by the submission interface.
constexpr std::size_t kMaxPayload = 4000;
// Maximum number of tasks of one occurrence, so that one job cannot exhaust a node's memory.
constexpr int kMaxTasks = 20'000;

// Largest amounts of a submitted job, far above what tasks take.
constexpr Millis kMaxEstimate = std::chrono::hours(24 * 7);
constexpr int kMaxRepetitions = 1'000'000;
constexpr Millis kMaxInterval = std::chrono::hours(24 * 366);
// In milli-cores times milliseconds; sums of the work of many jobs fit in 64 bits.
constexpr double kMaxWork = 1e15;

Error Invalid(const std::string& message, const std::string& remedy) {
  return Error{ErrorKind::kInvalidArgument, message, remedy, RunState::kNotRun, std::nullopt};
}

void Put(json::object& row, const char* name, std::int64_t value) {
  if (value != 0) row[name] = value;
}

void Put(json::object& row, const char* name, const std::string& value) {
  if (!value.empty()) row[name] = value;
}

void PutFlag(json::object& row, const char* name, bool value) {
  if (value) row[name] = true;
}

json::object EncodeStep(const StepSpec& step) {
  json::object row;
  Put(row, "count", step.count);
  Put(row, "cpu", step.per_task.cpu_millis);
  Put(row, "memory", step.per_task.memory_mib);
  Put(row, "accelerators", step.per_task.accelerators);
  Put(row, "estimate", step.estimate.count());
  Put(row, "image", step.image);
  if (!step.after.empty()) row["follows"] = json::array(step.after.begin(), step.after.end());
  PutFlag(row, "checkpoints", step.checkpoints);
  PutFlag(row, "together", step.gang);
  PutFlag(row, "one_rack", step.one_rack);
  PutFlag(row, "copies", step.allows_copies);
  PutFlag(row, "lasting", step.long_running);
  PutFlag(row, "filler", step.best_effort);
  Put(row, "label", step.required_label);
  Put(row, "near", step.near_rack);
  Put(row, "per_server", step.per_server_limit);
  Put(row, "latency", step.latency_target.count());
  if (step.unavailable_budget) row["budget"] = *step.unavailable_budget;
  return row;
}

StepSpec DecodeStep(const json::object& row) {
  StepSpec step;
  step.count = static_cast<int>(IntField(row, "count"));
  step.per_task = {IntField(row, "cpu"), IntField(row, "memory"), IntField(row, "accelerators")};
  step.estimate = Millis(IntField(row, "estimate"));
  step.image = TextField(row, "image");
  if (const auto* after = row.if_contains("follows"); after != nullptr && after->is_array()) {
    for (const json::value& it : after->get_array()) {
      if (it.is_int64()) step.after.push_back(static_cast<int>(it.get_int64()));
    }
  }
  step.checkpoints = BoolField(row, "checkpoints");
  step.gang = BoolField(row, "together");
  step.one_rack = BoolField(row, "one_rack");
  step.allows_copies = BoolField(row, "copies");
  step.long_running = BoolField(row, "lasting");
  step.best_effort = BoolField(row, "filler");
  step.required_label = TextField(row, "label");
  step.near_rack = TextField(row, "near");
  step.per_server_limit = static_cast<int>(IntField(row, "per_server"));
  step.latency_target = Millis(IntField(row, "latency"));
  if (row.contains("budget")) step.unavailable_budget = static_cast<int>(IntField(row, "budget"));
  return step;
}

}  // namespace

std::string EncodeStoredJob(const StoredJob& job) {
  json::object row;
  Put(row, "queue", job.queue.str());
  Put(row, "team", job.team.str());
  Put(row, "accepted", job.accepted_at.count());
  PutFlag(row, "cancelled", job.cancelled);
  Put(row, "payload", job.spec.payload);
  json::array steps;
  for (const StepSpec& it : job.spec.steps) steps.emplace_back(EncodeStep(it));
  row["steps"] = std::move(steps);
  Put(row, "repetitions", job.spec.repetitions);
  Put(row, "first_due", job.spec.first_due.count());
  Put(row, "interval", job.spec.interval.count());
  return json::serialize(row);
}

Result<StoredJob> DecodeStoredJob(const JobId& id, std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object row, ParseObject(text));
  StoredJob job;
  job.id = id;
  BOOST_OUTCOME_TRY(const std::string queue, RequireText(row, "queue"));
  job.queue = QueueId(queue);
  job.team = TeamId(TextField(row, "team"));
  job.accepted_at = UnixMillis(IntField(row, "accepted"));
  job.cancelled = BoolField(row, "cancelled");
  job.spec.payload = TextField(row, "payload");
  if (const auto* steps = row.if_contains("steps"); steps != nullptr && steps->is_array()) {
    for (const json::value& it : steps->get_array()) {
      if (it.is_object()) job.spec.steps.push_back(DecodeStep(it.get_object()));
    }
  }
  job.spec.repetitions = static_cast<int>(IntField(row, "repetitions"));
  job.spec.first_due = UnixMillis(IntField(row, "first_due"));
  job.spec.interval = Millis(IntField(row, "interval"));
  BOOST_OUTCOME_TRY(CheckWorkSpec(job.spec));
  return job;
}

std::string EncodeCancelMark() { return R"({"unsubmitted":true})"; }

bool IsCancelMark(std::string_view text) { return text == EncodeCancelMark(); }

Result<void> CheckRowSizes(const WorkSpec& spec, std::size_t row_bytes, std::size_t max_row_bytes) {
  constexpr std::string_view kCancelledMember = R"("cancelled":true,)";
  if (row_bytes + kCancelledMember.size() > max_row_bytes) {
    return Invalid("the job takes " + std::to_string(row_bytes) + " bytes in the table service, " +
                       std::to_string(max_row_bytes - kCancelledMember.size()) + " are allowed",
                   "give the job fewer steps or a shorter text");
  }
  // The rest is for failed runs.
  constexpr std::size_t kParts = 4;
  const std::size_t limit = max_row_bytes / kParts * (kParts - 1);
  const std::size_t progress = JobProgress::MaxOccurrenceBytes(spec);
  if (progress > limit) {
    return Invalid("the progress of the job takes up to " + std::to_string(progress) +
                       " bytes in the table service, " + std::to_string(limit) + " are allowed",
                   "give the job fewer steps");
  }
  return boost::outcome_v2::success();
}

Result<void> CheckWorkSpec(const WorkSpec& spec) {
  if (spec.payload.size() > kMaxPayload) {
    return Invalid("the job's text is longer than " + std::to_string(kMaxPayload) + " bytes",
                   "shorten the text");
  }
  if (spec.steps.empty()) return Invalid("the job has no steps", "give at least one step");
  std::int64_t tasks = 0;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    const StepSpec& step = spec.steps[n];
    const std::string name = "step " + std::to_string(n);
    if (step.count < 1) return Invalid(name + " has no tasks", "give a count of at least 1");
    tasks += step.count;
    if (step.per_task.cpu_millis < 0 || step.per_task.memory_mib < 0 ||
        step.per_task.accelerators < 0) {
      return Invalid(name + " requests a negative amount of resources",
                     "give amounts of at least 0");
    }
    for (const int it : step.after) {
      if (it < 0 || it >= static_cast<int>(n)) {
        return Invalid(name + " follows step " + std::to_string(it) + ", which does not precede it",
                       "name earlier steps only");
      }
    }
  }
  if (tasks > kMaxTasks) {
    return Invalid("the job has more than " + std::to_string(kMaxTasks) + " tasks",
                   "split the job");
  }
  return boost::outcome_v2::success();
}

Result<void> CheckAmounts(const WorkSpec& spec) {
  double work = 0;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    const StepSpec& step = spec.steps[n];
    const std::string name = "step " + std::to_string(n);
    const Resources& task = step.per_task;
    if (!task.FitsIn(kMaxResources)) {
      return Invalid(name + " requests more than any backend server has",
                     "give the amounts of one task, processors in thousandths of a core");
    }
    if (step.estimate < Millis(0) || step.estimate > kMaxEstimate ||
        step.latency_target < Millis(0) || step.latency_target > kMaxEstimate) {
      return Invalid(name + " has a time that is negative or longer than a week",
                     "give times in milliseconds");
    }
    if (step.per_server_limit < 0 || step.unavailable_budget.value_or(0) < 0) {
      return Invalid(name + " has a negative limit", "give limits of at least 0");
    }
    work += static_cast<double>(task.cpu_millis) * static_cast<double>(step.estimate.count()) *
            step.count;
  }
  if (work > kMaxWork) {
    return Invalid("the job is estimated at more than a billion core-seconds",
                   "check the unit of the estimates, milliseconds, or split the job");
  }
  if (spec.repetitions < 0 || spec.repetitions > kMaxRepetitions || spec.interval < Millis(0) ||
      spec.interval > kMaxInterval || spec.first_due < UnixMillis(0) ||
      spec.first_due > kMaxUnixMillis) {
    return Invalid("the job's repetitions, interval or first time are out of range",
                   "give 0 to " + std::to_string(kMaxRepetitions) +
                       " repetitions, an interval of at most a year, and times in milliseconds");
  }
  return boost::outcome_v2::success();
}

}  // namespace sapphirewheel
