#include "sapphirewheel/coordination/job_progress.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

const TaskKey kTask{JobId("00000000000000ab"), 0, 1, 2};

}  // namespace

TEST_GROUP(JobProgress){};

// A new owner may receive the unacknowledged ends of several backend servers in any order, such as
// the latest run first.
TEST(JobProgress, CountsFailedRunsInAnyOrderOnce) {
  JobProgress progress;
  LONGS_EQUAL(1, progress.CountFailure(kTask, RunNumber(3)));
  LONGS_EQUAL(2, progress.CountFailure(kTask, RunNumber(1)));
  LONGS_EQUAL(3, progress.CountFailure(kTask, RunNumber(2)));
  LONGS_EQUAL(3, progress.CountFailure(kTask, RunNumber(3)));
}

TEST(JobProgress, KeepsDoneTasksFailuresAndFinishedOccurrences) {
  JobProgress progress;
  CHECK(progress.MarkDone(kTask));
  CHECK_FALSE(progress.MarkDone(kTask));
  progress.CountFailure({kTask.job, 0, 0, 5}, RunNumber(1001));
  progress.FinishOccurrence(7);
  const auto again = JobProgress::Decode(progress.Encode());
  CHECK(again.has_value());
  CHECK(again.value().IsDone(kTask));
  LONGS_EQUAL(1, again.value().DoneCount(0, 1));
  LONGS_EQUAL(1, again.value().FailureCount({kTask.job, 0, 0, 5}));
  CHECK(again.value().IsFinished(7));
  CHECK(again.value().IsDone({kTask.job, 7, 0, 0}));
  CHECK(again.value().outcome == JobOutcome::kOpen);
}

TEST(JobProgress, RejectsMalformedRows) {
  CHECK_FALSE(JobProgress::Decode("{}").has_value());
  CHECK_FALSE(JobProgress::Decode("{\"outcome\":9}").has_value());
  CHECK_FALSE(JobProgress::Decode("{\"outcome\":0,\"done\":[[1]]}").has_value());
  CHECK_FALSE(JobProgress::Decode("not json").has_value());
}
