#include "dispatcher_fixture.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::DispatcherFixture;
using sapphirewheel::testing::Step;

namespace {

// A task that lasts may have nothing running for 3 s.
constexpr int kLongestPause = 3000;
// How many restarts an earlier owner made beyond the range of its run numbers.
constexpr std::int64_t kExcess = 30'000;
constexpr RunNumber kHighest(1000 + kExcess);

StepSpec LongRunning() {
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  return step;
}

class RunNumbersFixture : public DispatcherFixture {
 public:
  // Adds the job of one long-running task with what an earlier owner stored of it.
  void Inherit(const JobProgress& progress) {
    StoredJob job;
    job.id = JobId("j1");
    job.queue = QueueId("q");
    job.spec.steps = {LongRunning()};
    dispatcher->AddJob(job, progress, true, Now());
  }

  std::size_t Runs() const {
    std::size_t n = 0;
    for (const auto& [id, it] : running) n += it.size();
    return n;
  }

  // Ends the present run, again and again, until the task has been started this often.
  void RestartUntil(std::size_t count) {
    while (starts.size() < count) {
      if (!starts.empty() && Runs() > 0) EndRun(starts.back(), RunEnd::kStopped);
      Advance(20);
    }
  }
};

}  // namespace

TEST_GROUP_BASE(DispatcherRunNumbers, RunNumbersFixture){};

// Guards against a long-running task that stays down for a second for each restart beyond the
// thousandth under an earlier owner, whose highest number no list of runs shows any more.
TEST(DispatcherRunNumbers, ASuccessorFindsANumberThatItsServerTakes) {
  MakeDispatcher(2);
  AddBackend("b1");
  numbers_seen[BackendId("b1")] = kHighest;
  Inherit(JobProgress{});
  Advance(kLongestPause);
  LONGS_EQUAL(1, Runs());
  CHECK(starts.back().run > kHighest);
}

// Guards against the same on a server that lists nothing for as long as a poll waits: the refused
// start is tried again after the list that is read at once.
TEST(DispatcherRunNumbers, TheListAfterARefusedStartIsReadAtOnce) {
  MakeDispatcher(2);
  AddBackend("b1");
  // Another task keeps the server polled all the time.
  AddJob("other", {LongRunning()});
  Advance(1000);
  LONGS_EQUAL(1, Runs());
  numbers_seen[BackendId("b1")] = kHighest;
  Inherit(JobProgress{});
  const std::size_t before = starts.size();
  // Polls that wait for an end get no reply here.
  for (const int until = now_ms + kLongestPause; now_ms < until; now_ms += 20) {
    if (const auto routes = dispatcher->RoutesToWrite()) dispatcher->RoutesWritten(*routes);
    const std::size_t sent = starts.size();
    dispatcher->Tick(Now(), true);
    for (std::size_t n = sent; n < starts.size(); ++n) Confirm(starts[n]);
    const auto due = std::move(polls);
    polls.clear();
    for (const PollOrder& it : due) {
      if (it.wait == Millis(0)) ReplyTo(it);
    }
  }
  CHECK(starts.size() > before);
  LONGS_EQUAL(2, Runs());
}

// Guards against starts that are refused although the list of runs shows the highest number.
TEST(DispatcherRunNumbers, EndsInAListTellTheNumbersOfEarlierOwners) {
  MakeDispatcher(2);
  AddBackend("b1");
  AddBackend("b2");
  numbers_seen[BackendId("b1")] = numbers_seen[BackendId("b2")] = kHighest;
  ended[BackendId("b2")].push_back(
      {next_end++, {JobId("j1"), 0, 0, 0}, kHighest, RunEnd::kFailed, ""});
  Inherit(JobProgress{});
  Advance(kLongestPause);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(kHighest.count() + 1, starts[0].run.count());
}

// Guards against the same where the earlier run has to be stopped first, as the task runs
// elsewhere.
TEST(DispatcherRunNumbers, RunsThatAreStoppedTellTheirNumbers) {
  MakeDispatcher(2);
  AddBackend("b1");
  Inherit(JobProgress{});
  Advance(1000);
  LONGS_EQUAL(1, starts.size());
  AddBackend("b2");
  running[BackendId("b2")].push_back({{JobId("j1"), 0, 0, 0}, kHighest, "", 100, 0});
  // The first poll of a server that has just joined.
  Advance(1000);
  LONGS_EQUAL(1, stops.size());
  running[BackendId("b2")].clear();
  EndRun(starts[0], RunEnd::kFailed);
  Advance(1000);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].run > kHighest);
}

// Guards against a successor that has to try numbers at all: those that an owner uses beyond its
// range are stored before.
TEST(DispatcherRunNumbers, NumbersBeyondTheRangeOfAnOwnerAreStored) {
  AddBackend("b1");
  AddJob("j1", {LongRunning()});
  constexpr std::size_t kRestarts = 1100;
  RestartUntil(kRestarts);
  const RunNumber highest = starts.back().run;
  CHECK(highest > RunNumber(1000));
  // A row was written for the numbers, but not for each run.
  CHECK(written >= 1 && written <= 5);
  // The numbers of a successor stay near those that were used.
  CHECK(reserved.count() <= highest.count() + 100);
  JobProgress stored;
  stored.reserved_runs = reserved;
  CHECK(reserved > highest);
  starts.clear();
  running.clear();
  MakeDispatcher(2);
  AddBackend("b1");
  numbers_seen[BackendId("b1")] = highest;
  Inherit(stored);
  Advance(kLongestPause);
  LONGS_EQUAL(1, starts.size());
  CHECK(starts[0].run > highest);
}

// The rows of the other jobs stay as older versions write them.
TEST(DispatcherRunNumbers, NothingIsStoredOfTasksThatAreRarelyRestarted) {
  AddBackend("b1");
  AddJob("j1", {LongRunning()});
  RestartUntil(500);
  LONGS_EQUAL(0, written);
}

// Guards against a start of an earlier owner that is carried out late: a successor may leave out
// numbers, but never uses a lower one.
TEST(DispatcherRunNumbers, NumbersOnlyRise) {
  MakeDispatcher(2);
  AddBackend("b1");
  numbers_seen[BackendId("b1")] = RunNumber(1016);
  Inherit(JobProgress{});
  Advance(kLongestPause);
  for (int n = 0; n < 20; ++n) {
    EndRun(starts.back(), RunEnd::kStopped);
    Advance(1000);
  }
  for (std::size_t n = 1; n < starts.size(); ++n) CHECK(starts[n].run > starts[n - 1].run);
  // Each refusal doubles what is left out, so that the number found is near the highest one.
  CHECK(starts.back().run < RunNumber(2000));
}
