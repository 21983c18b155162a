#include <boost/json/serialize.hpp>

#include "sapphirewheel/coordination/job_manager.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

constexpr const char* kStateNames[] = {"queued", "running",    "done",
                                       "failed", "cannot-run", "cancelled"};
constexpr int kStates = 6;

}  // namespace

const char* JobStateName(JobState state) noexcept { return kStateNames[static_cast<int>(state)]; }

std::string EncodeJob(const JobRecord& job) {
  return boost::json::serialize(boost::json::object{
      {"team", job.spec.team.str()},
      {"service", job.spec.service.str()},
      {"slots", job.spec.slots.count()},
      {"urgent", job.spec.urgent},
      {"body", job.spec.body},
      {"request", job.spec.request.str()},
      {"state", JobStateName(job.state)},
      {"holder", job.holder.str()},
      {"epoch", job.epoch.count()},
      {"failures", job.failures},
      {"checkpoint", job.checkpoint},
      {"reason", job.reason},
      {"result", job.result},
  });
}

Result<JobRecord> DecodeJob(const JobId& id, const std::string& text, Revision revision) {
  auto parsed = ParseObject(text);
  if (!parsed) return parsed.error();
  const boost::json::object& object = parsed.value();
  auto team = RequireText(object, "team");
  if (!team) return team.error();
  JobRecord job;
  job.id = id;
  job.revision = revision;
  job.spec.team = TeamId(team.value());
  job.spec.service = ServiceId(TextField(object, "service"));
  job.spec.slots = Slots(IntField(object, "slots", 1));
  job.spec.urgent = BoolField(object, "urgent");
  job.spec.body = TextField(object, "body");
  job.spec.request = RequestId(TextField(object, "request"));
  job.holder = NodeId(TextField(object, "holder"));
  job.epoch = Epoch(static_cast<std::uint64_t>(IntField(object, "epoch")));
  job.failures = static_cast<int>(IntField(object, "failures"));
  job.checkpoint = TextField(object, "checkpoint");
  job.reason = TextField(object, "reason");
  job.result = TextField(object, "result");
  const std::string state = TextField(object, "state");
  for (int i = 0; i < kStates; ++i) {
    if (state != kStateNames[i]) continue;
    job.state = static_cast<JobState>(i);
    return job;
  }
  return Error{ErrorKind::kInvalidArgument, "unknown job state \"" + state + "\"",
               "use one of the states of docs/design.md", RunState::kNotRun, std::nullopt};
}

}  // namespace sapphirewheel
