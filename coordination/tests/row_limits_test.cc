#include <optional>
#include <string>

#include "dispatcher_fixture.h"
#include "fleet_sim.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::DispatcherFixture;
using sapphirewheel::testing::FleetSim;
using sapphirewheel::testing::Step;

namespace {

constexpr std::size_t kSmallRow = 2000;
const JobId kLargeJob("00000000000000a1");
constexpr std::int64_t kSubmittedAt = 2000;

// A job of two steps that is due `repetitions` times at once. Nothing may run its second step.
StoredJob OverdueSchedule(int repetitions) {
  StoredJob job;
  job.id = JobId("late");
  job.queue = QueueId("q");
  job.spec.steps = {Step(1, 100), Step(1, 100)};
  job.spec.steps[1].after = {0};
  job.spec.steps[1].required_label = "none";
  job.spec.repetitions = repetitions;
  return job;
}

// Submits a job of 900 tasks, whose progress outgrows a row of kSmallRow.
void SubmitLargeJob(FleetSim& sim) {
  FleetSim::ClientJob& known = sim.jobs[kLargeJob];
  known.id = kLargeJob;
  known.queue = sim.config.queues[0].id;
  known.spec.steps = {Step(900, 50)};
  StoredJob job;
  job.queue = known.queue;
  job.spec = known.spec;
  const CallerCall call{CallKind::kSubmit,    "host",      "/q0/" + kLargeJob.str(), "",
                        EncodeStoredJob(job), Millis(3000)};
  std::optional<CallerReply> reply;
  sim.nodes[0].entry->Handle(call, [&](const CallerReply& it) { reply = it; });
  sim.RunUntil(sim.now() + 1000);
  CHECK(reply.has_value() && reply->kind == CallerReply::Kind::kAccepted);
}

std::string StateOf(FleetSim& sim, const JobId& job) {
  const CallerCall call{CallKind::kRead, "host", "/q0/" + job.str(), "", "", Millis(3000)};
  std::string state;
  sim.nodes[0].entry->Handle(call, [&](const CallerReply& it) { state = it.state; });
  sim.RunUntil(sim.now() + 1000);
  return state;
}

bool HasReport(const FleetSim& sim, NodeEvent event, const std::string& part) {
  return std::any_of(sim.row_events.begin(), sim.row_events.end(), [&](const auto& it) {
    return it.first == event && it.second.find(part) != std::string::npos;
  });
}

class RowLimitsFixture : public DispatcherFixture {
 public:
  std::int64_t Count(DecisionKind kind) const {
    return std::count_if(decisions.begin(), decisions.end(),
                         [&](const Decision& it) { return it.kind == kind; });
  }
};

}  // namespace

TEST_GROUP(RowLimits){};

// Guards against one job that stops all others: its progress is larger than a row, and the refused
// transaction held the progress of the others and the renewal of the ownership.
TEST(RowLimits, AJobWhoseProgressDoesNotFitFailsAlone) {
  FleetSim::Settings settings;
  settings.max_row_bytes = settings.told_max_row_bytes = kSmallRow;
  settings.long_running_jobs = 0;
  FleetSim sim(settings);
  sim.RunUntil(kSubmittedAt);
  SubmitLargeJob(sim);
  const int owner = sim.OwnerNode();
  for (int n = 0; n < 20; ++n) sim.At(4000 + 200 * n, [&sim] { sim.SubmitRandomJob(); });
  sim.RunUntil(30'000);
  STRCMP_EQUAL("failed", StateOf(sim, kLargeJob).c_str());
  CHECK(HasReport(sim, NodeEvent::kRowTooLarge, "progress/" + kLargeJob.str()));
  CHECK(HasReport(sim, NodeEvent::kRowTooLarge, "limit 2000"));
  LONGS_EQUAL(owner, sim.OwnerNode());
  sim.jobs.erase(kLargeJob);
  for (auto& [id, job] : sim.jobs) sim.Poll(job);
  sim.RunUntil(sim.now() + 5000);
  for (const auto& it : sim.Violations()) FAIL(it.c_str());
  for (const auto& it : sim.Unfinished()) FAIL(it.c_str());
}

// Guards against an owner that loses the ownership, and starts nothing new, because the table
// service refuses one row for a reason that the node does not know.
TEST(RowLimits, ARejectedWriteDoesNotEndTheOwnership) {
  FleetSim::Settings settings;
  settings.max_row_bytes = kSmallRow;
  FleetSim sim(settings);
  sim.RunUntil(kSubmittedAt);
  SubmitLargeJob(sim);
  const int owner = sim.OwnerNode();
  sim.RunUntil(15'000);
  CHECK(HasReport(sim, NodeEvent::kWriteRejected, "progress/" + kLargeJob.str()));
  const int starts = sim.starts;
  for (int n = 0; n < 5; ++n) sim.SubmitRandomJob();
  sim.RunUntil(20'000);
  CHECK(sim.starts > starts);
  LONGS_EQUAL(owner, sim.OwnerNode());
  LONGS_EQUAL(1, sim.starts_of.size());
}

TEST_GROUP_BASE(DispatcherRowLimits, RowLimitsFixture){};

// Guards against a job whose progress is lost without its callers being told.
TEST(DispatcherRowLimits, TheRowOfAJobThatDoesNotFitSaysThatItFailed) {
  max_row_bytes = 100;
  MakeDispatcher(1);
  AddBackend("b1");
  AddJob("large", {Step(60, 100)});
  AddJob("small", {Step(1, 100)});
  Advance(200);
  const auto sent = starts;
  LONGS_EQUAL(61, sent.size());
  for (const StartOrder& it : sent) {
    if (it.task.index < 59) EndRun(it, RunEnd::kDone);
  }
  for (const PollOrder& it : AdvanceWithoutReplies(1000)) ReplyTo(it);
  const auto writes = dispatcher->TakeWrites(10, 100'000);
  LONGS_EQUAL(2, writes.size());
  for (const ProgressWrite& it : writes) {
    const auto progress = JobProgress::Decode(it.value);
    CHECK(progress.has_value());
    const bool large = it.job == JobId("large");
    CHECK(progress.value().outcome == (large ? JobOutcome::kFailed : JobOutcome::kCompleted));
    CHECK((it.oversize > max_row_bytes) == large);
  }
  dispatcher->WritesDone(true);
  // The ends on the server are acknowledged, and the run that is left is stopped.
  Advance(1000);
  LONGS_EQUAL(0, ended[BackendId("b1")].size());
  LONGS_EQUAL(1, stops.size());
}

// Guards against a schedule whose progress outgrows its row because all of its due occurrences are
// open at the same time.
TEST(DispatcherRowLimits, OverdueOccurrencesAreOpenedAsFarAsTheirProgressFits) {
  AddBackend("b1");
  dispatcher->AddJob(OverdueSchedule(8000), std::nullopt, false, Now());
  std::size_t ended_starts = 0;
  for (int n = 0; n < 100; ++n) {
    Advance(100);
    for (; ended_starts < starts.size(); ++ended_starts) {
      EndRun(starts[ended_starts], RunEnd::kDone);
    }
  }
  CHECK(largest_row < kMaxRowBytes);
  // As many as have room for their progress, which is of about 30 bytes.
  CHECK(starts.size() > 500 && starts.size() < 2000);
  LONGS_EQUAL(0, Count(DecisionKind::kJobEnded));
  LONGS_EQUAL(1, Count(DecisionKind::kOccurrencesWait));
}

// Guards against occurrences that wait for others although those have ended.
TEST(DispatcherRowLimits, OverdueOccurrencesFollowThoseThatHaveEnded) {
  constexpr int kRepetitions = 3000;
  AddBackend("b1");
  StoredJob job = OverdueSchedule(kRepetitions);
  job.spec.steps.resize(1);
  dispatcher->AddJob(job, std::nullopt, false, Now());
  std::set<int> occurrences;
  std::size_t ended_starts = 0;
  for (int n = 0; n < 100; ++n) {
    Advance(100);
    for (; ended_starts < starts.size(); ++ended_starts) {
      CHECK(occurrences.insert(starts[ended_starts].task.occurrence).second);
      EndRun(starts[ended_starts], RunEnd::kDone);
    }
  }
  LONGS_EQUAL(kRepetitions, occurrences.size());
  LONGS_EQUAL(1, Count(DecisionKind::kJobEnded));
}
