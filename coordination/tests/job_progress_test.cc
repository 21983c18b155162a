#include "sapphirewheel/coordination/job_progress.h"

#include <algorithm>
#include <string>
#include <string_view>

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

// Guards against an owner that can write nothing any more because a row is larger than the table
// service takes.
TEST(JobProgress, TheRowOfTheLargestJobStaysSmall) {
  constexpr int kTasks = 20'000;
  constexpr std::size_t kRowBytes = 65'536;
  JobProgress progress;
  std::size_t largest = 0;
  for (int n = 0; n < kTasks; ++n) {
    // Every other task first, so that the done ones have no long ranges.
    const int index = n < kTasks / 2 ? 2 * n : 2 * (n - kTasks / 2) + 1;
    progress.CountFailure({kTask.job, 0, 0, index}, RunNumber(1));
    if (n % 3 != 0) progress.MarkDone({kTask.job, 0, 0, index});
    if (n % 500 == 0) largest = std::max(largest, progress.Encode().size());
  }
  largest = std::max(largest, progress.Encode().size());
  CHECK(largest < kRowBytes);
  const auto again = JobProgress::Decode(progress.Encode());
  CHECK(again.has_value());
  LONGS_EQUAL(progress.DoneCount(0, 0), again.value().DoneCount(0, 0));
  CHECK_FALSE(again.value().IsDone({kTask.job, 0, 0, 0}));
  LONGS_EQUAL(1, again.value().FailureCount({kTask.job, 0, 0, 0}));
  CHECK(again.value().IsDone({kTask.job, 0, 0, 2}));
  LONGS_EQUAL(0, again.value().FailureCount({kTask.job, 0, 0, 2}));
  STRCMP_EQUAL(progress.Encode().c_str(), again.value().Encode().c_str());
}

// Guards against a schedule that stops all jobs of the fleet: its row named each occurrence that
// had ended, and after some 12,750 of them was larger than the table service takes.
TEST(JobProgress, TheRowOfALongScheduleStaysSmall) {
  constexpr int kMaxRepetitions = 1'000'000;
  constexpr std::size_t kRowBytes = 65'536;
  // Every hundredth occurrence of the first 100,000 lasts long.
  constexpr int kSlowUpTo = 100'000;
  constexpr int kSlowEvery = 100;
  const auto is_slow = [](int n) { return n < kSlowUpTo && n % kSlowEvery == 0; };
  JobProgress progress;
  for (int n = 0; n < kMaxRepetitions; ++n) {
    if (!is_slow(n)) progress.FinishOccurrence(n);
    if (n % 10'000 == 0) CHECK(progress.Encode().size() < kRowBytes);
  }
  CHECK(progress.Encode().size() < kRowBytes);
  const auto again = JobProgress::Decode(progress.Encode());
  CHECK(again.has_value());
  LONGS_EQUAL(kMaxRepetitions - kSlowUpTo / kSlowEvery, again.value().FinishedCount());
  for (const int n : {0, 1, 99, 100, 101, 99'900, 99'999, 100'000, kMaxRepetitions - 1}) {
    CHECK(again.value().IsFinished(n) == !is_slow(n));
  }
  CHECK_FALSE(again.value().IsFinished(kMaxRepetitions));
  STRCMP_EQUAL(progress.Encode().c_str(), again.value().Encode().c_str());
}

// Guards against occurrences that run again during a change of version: older versions read a list
// of numbers only, and can keep one as long as it fits into a row.
TEST(JobProgress, FinishedOccurrencesAreAListAsLongAsItFits) {
  JobProgress progress;
  for (const int n : {0, 1, 2, 7}) progress.FinishOccurrence(n);
  constexpr const char* kList = R"({"outcome":0,"finished":[0,1,2,7]})";
  STRCMP_EQUAL(kList, progress.Encode().c_str());
  constexpr std::size_t kFits = std::string_view(kList).size() + 1;
  STRCMP_EQUAL(kList, progress.Encode(kFits).c_str());
  STRCMP_EQUAL(R"({"outcome":0,"finished_ranges":[[0,2],[7,7]]})",
               progress.Encode(kFits - 1).c_str());
}

// Older versions ignore the member, and their rows are without it.
TEST(JobProgress, KeepsReservedRunNumbers) {
  JobProgress progress;
  progress.reserved_runs = RunNumber(2016);
  STRCMP_EQUAL(R"({"outcome":0,"reserved_runs":2016})", progress.Encode().c_str());
  const auto again = JobProgress::Decode(progress.Encode());
  CHECK(again.has_value());
  LONGS_EQUAL(2016, again.value().reserved_runs.count());
  const auto older = JobProgress::Decode(R"({"outcome":0,"done":[[0,1,2]]})");
  CHECK(older.has_value());
  LONGS_EQUAL(0, older.value().reserved_runs.count());
}

TEST(JobProgress, ReadsLongListsOfOlderVersions) {
  constexpr int kFinished = 12'000;
  std::string row = R"({"outcome":0,"finished":[)";
  for (int n = 0; n < kFinished; ++n) row += std::to_string(n) + (n + 1 < kFinished ? "," : "]}");
  const auto progress = JobProgress::Decode(row);
  CHECK(progress.has_value());
  LONGS_EQUAL(kFinished, progress.value().FinishedCount());
  CHECK(progress.value().IsFinished(kFinished - 1));
  STRCMP_EQUAL(row.c_str(), progress.value().Encode().c_str());
  // With twice as many, the list does not fit into a row.
  JobProgress longer = progress.value();
  for (int n = kFinished; n < 2 * kFinished; ++n) longer.FinishOccurrence(n);
  STRCMP_EQUAL(R"({"outcome":0,"finished_ranges":[[0,23999]]})", longer.Encode().c_str());
}

// The bound that the number of open occurrences is derived from.
TEST(JobProgress, OpenOccurrencesTakeNoMoreThanTheirBound) {
  constexpr int kRepetitions = 1'000'000;
  constexpr int kOpen = 300;
  WorkSpec spec;
  spec.repetitions = kRepetitions;
  for (const int count : {1, 4, 5, 300}) spec.steps.emplace_back().count = count;
  JobProgress progress;
  // Every other one is finished; of the others all but the last task of each step is done.
  for (int n = kRepetitions - 2 * kOpen; n < kRepetitions; ++n) {
    if (n % 2 == 0) {
      progress.FinishOccurrence(n);
      continue;
    }
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      for (int index = 0; index < spec.steps[step].count; ++index) {
        progress.MarkDone({kTask.job, n, step, index});
      }
    }
  }
  const std::size_t bound = kOpen * JobProgress::MaxOccurrenceBytes(spec);
  const std::size_t bytes = progress.Encode().size();
  CHECK(bytes <= bound);
  CHECK(bytes > bound / 2);
}

TEST(JobProgress, RejectsMalformedRanges) {
  for (const char* it : {"7", "[7]", "[[7]]", "[[7,6]]", "[[-1,6]]", "[[0,1,2]]",
                         "[[0,2147483647]]", R"([["0",1]])"}) {
    const std::string row = R"({"outcome":0,"finished_ranges":)" + std::string(it) + "}";
    CHECK_FALSE(JobProgress::Decode(row).has_value());
  }
}

TEST(JobProgress, RejectsMalformedBitmaps) {
  for (const char* it :
       {R"({"outcome":0,"done":[[0,0,"x"]]})", R"({"outcome":0,"done":[[0,"1"]]})",
        R"({"outcome":0,"done":[[0,0,"1",2]]})", R"({"outcome":0,"failures":[[0,0,"1g",1]]})",
        R"({"outcome":0,"failures":[[0,"1",1]]})"}) {
    CHECK_FALSE(JobProgress::Decode(it).has_value());
  }
}

TEST(JobProgress, RejectsMalformedRows) {
  CHECK_FALSE(JobProgress::Decode("{}").has_value());
  CHECK_FALSE(JobProgress::Decode("{\"outcome\":9}").has_value());
  CHECK_FALSE(JobProgress::Decode("{\"outcome\":0,\"done\":[[1]]}").has_value());
  CHECK_FALSE(JobProgress::Decode("not json").has_value());
}
