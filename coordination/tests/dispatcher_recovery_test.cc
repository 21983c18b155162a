#include <algorithm>
#include <utility>

#include "dispatcher_fixture.h"

using namespace sapphirewheel;           // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

// The dispatcher's view of backend servers, and recovery of the runs of an earlier owner.
namespace {

class RecoveryFixture : public DispatcherFixture {
 public:
  // Becomes the owner of a fleet in which b1, with this entry in the roster, is silent and lists
  // the only task of job j1 as done, and b2 replies.
  void TakeOver(const RosterEntry& entry, MonotonicTime taken_at) {
    MakeDispatcher(2);
    dispatcher->SetRoster(
        {{BackendId("b1"), entry}, {BackendId("b2"), {PoolId("p"), std::nullopt}}}, taken_at);
    AddBackend("b1");
    AddBackend("b2");
    ended[BackendId("b1")].push_back(
        {next_end++, {JobId("j1"), 0, 0, 0}, RunNumber(1), RunEnd::kDone, ""});
    AddJob("j1", {Step(1, 1000)}, "", true);
    silent.insert(BackendId("b1"));
  }
};

}  // namespace

TEST_GROUP_BASE(DispatcherRecovery, RecoveryFixture){};

// Runs on a backend server that does not reply continue until its lease expires.
TEST(DispatcherRecovery, StartsElsewhereOnlyAfterTheLeaseOfASilentBackendServer) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  silent.insert(BackendId("b1"));
  AddBackend("b2");
  Advance(5500);
  LONGS_EQUAL(1, starts.size());
  Advance(5000);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

// Guards against tasks that are down for 12 s and not 7 s: a list showed the run before the reply
// to its start came, and was taken for that of an incarnation with another clock.
TEST(DispatcherRecovery, ARunThatIsListedBeforeTheReplyToItsStartEndsByTheUsualLease) {
  AddBackend("b1");
  Advance(300);
  AddJob("j1", {Step(1, 1000)});
  silent.insert(BackendId("b1"));
  Advance(20);
  silent.clear();
  LONGS_EQUAL(1, starts.size());
  const StartOrder start = starts[0];
  running[start.backend].push_back({start.task, start.run, "", 10, 0});
  const int polls_before = polled[BackendId("b1")];
  Advance(500);
  CHECK(polled[BackendId("b1")] > polls_before);
  dispatcher->OnStart(start, {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  silent.insert(BackendId("b1"));
  AddBackend("b2");
  // The owner extends its lease for some time before it counts as silent.
  constexpr int kTrusted = 2200;
  Advance(kAfterUsualLease + kTrusted);
  LONGS_EQUAL(2, starts.size());
}

// Guards against a second run of a task after a change of owner: a roster that is being written
// says that a server has no more runs, the server replies and gets a task, and the successor
// believes the roster.
TEST(DispatcherRecovery, StartsNothingOnAServerThatARosterBeingWrittenGivesUp) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  EndRun(starts[0], RunEnd::kDone);
  Advance(300);
  AddJob("j2", {Step(1, 1000)});
  silent.insert(BackendId("b1"));
  // The start has no reply, and the server is no longer trusted.
  std::optional<Roster> roster;
  for (int n = 0; n < 500 && !roster; ++n) {
    dispatcher->Tick(Now(), true);
    for (const StartOrder& it : starts) {
      if (it.task.job == JobId("j2")) dispatcher->OnStart(it, OrderReply{}, Now());
    }
    const auto due = std::move(polls);
    polls.clear();
    for (const PollOrder& it : due) ReplyTo(it);
    now_ms += 20;
    roster = dispatcher->RosterToWrite();
  }
  CHECK(roster.has_value());
  CHECK(roster->count(BackendId("b1")) == 0 || roster->at(BackendId("b1")).runs_end_by);
  dispatcher->RosterSent(*roster);
  silent.clear();
  AddJob("j3", {Step(1, 1000)});
  const std::size_t before = starts.size();
  const auto run = [this] {
    for (int n = 0; n < 100; ++n) {
      dispatcher->Tick(Now(), true);
      const auto due = std::move(polls);
      polls.clear();
      for (const PollOrder& it : due) {
        CHECK_FALSE(it.lease_until.has_value());
        ReplyTo(it);
      }
      now_ms += 20;
    }
  };
  run();
  LONGS_EQUAL(before, starts.size());
  // Without a reply the roster may still be written, so the one that follows has to be confirmed.
  CHECK(dispatcher->RosterToWrite().has_value());
  Advance(300);
  CHECK(starts.size() > before);
}

// Guards against running work that is given up because the owner, which could not renew its
// ownership for some seconds, has not polled meanwhile: a task is stuck only if replies show no
// progress.
TEST(DispatcherRecovery, TasksAreNotStuckBecauseTheOwnerDidNotPoll) {
  AddBackend("b1");
  AddJob("j1", {Step(3, 1000)});
  Advance(500);
  LONGS_EQUAL(3, starts.size());
  // The tasks make progress in each reply.
  for (ListedRun& it : running[BackendId("b1")]) it.percent = 1;
  Advance(500);
  constexpr int kPause = 4500;
  for (const int until = now_ms + kPause; now_ms < until; now_ms += 20) {
    dispatcher->Tick(Now(), false);
  }
  Advance(1500);
  LONGS_EQUAL(0, stops.size());
  LONGS_EQUAL(3, starts.size());
}

// Guards against the same after a pause in which the reply to a new start comes before that to the
// first poll: only the list of runs shows progress.
TEST(DispatcherRecovery, TheReplyToAStartDoesNotShowThatOtherTasksAreStuck) {
  AddBackend("b1");
  AddJob("j1", {Step(3, 1000)});
  Advance(500);
  for (ListedRun& it : running[BackendId("b1")]) it.percent = 1;
  Advance(500);
  constexpr int kPause = 4500;
  for (const int until = now_ms + kPause; now_ms < until; now_ms += 20) {
    dispatcher->Tick(Now(), false);
  }
  AddJob("j2", {Step(1, 1000)});
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(4, starts.size());
  dispatcher->OnStart(starts[3], {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  AdvanceWithoutReplies(600);
  LONGS_EQUAL(0, stops.size());
}

// Guards against maintenance that is late because long-running tasks, of which only one at a time
// may move, begin to leave a server when it is the server's turn.
TEST(DispatcherRecovery, LongRunningTasksLeaveAServerThatIsDueForMaintenance) {
  AddBackend("b1");
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  AddJob("j1", {step});
  Advance(500);
  LONGS_EQUAL(1, starts.size());
  dispatcher->SetAvoided(BackendId("b1"), true);
  AddBackend("b2");
  dispatcher->SetAvoided(BackendId("b2"), true);
  Advance(1000);
  // Another server that is due for maintenance is no better.
  LONGS_EQUAL(0, stops.size());
  AddBackend("b3");
  Advance(1000);
  LONGS_EQUAL(1, stops.size());
  EndRun(starts[0], RunEnd::kStopped);
  Advance(500);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b3"));
  // Short work still uses the server.
  AddJob("j2", {Step(3, 8000)});
  Advance(500);
  LONGS_EQUAL(4, starts.size());
}

// Guards against long-running tasks without a place: two tasks were stopped for the same room.
TEST(DispatcherRecovery, OneTaskAtATimeIsMovedToTheSameRoom) {
  AddBackend("b1");
  AddBackend("b2");
  StepSpec step = Step(2, 3000);
  step.long_running = true;
  step.unavailable_budget = 2;
  AddJob("j1", {step});
  Advance(500);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[0].backend == starts[1].backend);
  const BackendId left = starts[0].backend;
  const BackendId other(left == BackendId("b1") ? "b2" : "b1");
  AddJob("j2", {Step(1, 4000)});
  Advance(300);
  LONGS_EQUAL(3, starts.size());
  CHECK(starts[2].backend == other);
  dispatcher->SetEvacuating(left, true);
  Advance(300);
  // There is room for one of the two.
  LONGS_EQUAL(1, stops.size());
  // Other work does not take the room meanwhile.
  AddJob("j3", {Step(1, 2000)});
  Advance(300);
  LONGS_EQUAL(3, starts.size());
  EndRun(stops[0].task == starts[0].task ? starts[0] : starts[1], RunEnd::kStopped);
  Advance(300);
  LONGS_EQUAL(4, starts.size());
  CHECK(starts[3].task == stops[0].task);
  CHECK(starts[3].backend == other);
}

// A task whose backend server does not reply may be unavailable.
TEST(DispatcherRecovery, MovesNoLongRunningTaskWhileAnotherMayBeUnavailable) {
  AddBackend("b1");
  AddBackend("b2");
  AddBackend("b3");
  StepSpec step = Step(2, 1000);
  step.long_running = true;
  step.per_server_limit = 1;
  step.unavailable_budget = 1;
  AddJob("j1", {step});
  Advance(500);
  LONGS_EQUAL(2, starts.size());
  silent.insert(starts[0].backend);
  Advance(2000);
  dispatcher->SetEvacuating(starts[1].backend, true);
  Advance(1000);
  LONGS_EQUAL(0, stops.size());
  silent.clear();
  Advance(4000);
  LONGS_EQUAL(1, stops.size());
}

// The row of an ended job may be removed only when its end is written, because a job without
// progress would be run again.
TEST(DispatcherRecovery, TheRowOfAnEndedJobIsRemovableOnceItsEndIsWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  EndRun(starts[0], RunEnd::kDone);
  dispatcher->Tick(Now(), true);
  now_ms += 200;
  dispatcher->Tick(Now(), true);
  for (const PollOrder& it : polls) ReplyTo(it);
  polls.clear();
  const Millis age(500);
  now_ms += 1000;
  dispatcher->Tick(Now(), false);
  LONGS_EQUAL(0, dispatcher->TakeRemovable(age, Now()).size());
  LONGS_EQUAL(1, dispatcher->TakeWrites(10, 100'000).size());
  dispatcher->WritesDone(false);
  LONGS_EQUAL(0, dispatcher->TakeRemovable(age, Now() + age).size());
  LONGS_EQUAL(1, dispatcher->TakeWrites(10, 100'000).size());
  dispatcher->WritesDone(true);
  LONGS_EQUAL(0, dispatcher->TakeRemovable(age, Now()).size());
  const auto removable = dispatcher->TakeRemovable(age, Now() + age);
  LONGS_EQUAL(1, removable.size());
  CHECK(removable[0] == JobId("j1"));
  LONGS_EQUAL(0, dispatcher->TakeRemovable(age, Now() + 2 * age).size());
}

// Guards against a second run of a task whose end a backend server still lists: an owner that loads
// for longer than a lease must not take it for granted that nothing is left to learn from the
// roster.
TEST(DispatcherRecovery, ASlowLoadDoesNotReplaceTheFirstPolls) {
  now_ms = 20'000;
  // The reply of one server is late.
  TakeOver({PoolId("p"), std::nullopt}, Now() - Millis(9000));
  Advance(200);
  LONGS_EQUAL(0, starts.size());
  silent.clear();
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
}

// Guards against a task that starts again although its end is listed: on a slow link the first
// lists of many servers come seconds after the load.
TEST(DispatcherRecovery, AfterASlowLoadTheFirstListOfARegisteredServerIsAwaited) {
  now_ms = 20'000;
  TakeOver({PoolId("p"), std::nullopt}, Now() - Millis(9000));
  Advance(2500);
  LONGS_EQUAL(0, starts.size());
  silent.clear();
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
}

// As above for the successor of an owner that ended before it had seen the list: the roster then
// names the time at which the runs on the server have ended, and that is over.
TEST(DispatcherRecovery, ASecondSuccessorAwaitsTheFirstListToo) {
  now_ms = 20'000;
  TakeOver({PoolId("p"), Now() - Millis(100)}, Now());
  Advance(1000);
  LONGS_EQUAL(0, starts.size());
  silent.clear();
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
}

// A server of the roster that never replies delays the tasks of earlier owners only for a short
// time after a load that took longer than its lease.
TEST(DispatcherRecovery, StartsElsewhereWhenAServerOfTheRosterDoesNotReplyAfterASlowLoad) {
  now_ms = 20'000;
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                         {BackendId("gone"), {PoolId("p"), std::nullopt}}},
                        Now() - Millis(9000));
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(3000);
  LONGS_EQUAL(1, starts.size());
}

// Guards against a submission that is repeated after the job has ended and its row was removed: a
// new owner knows the job only by its progress.
TEST(DispatcherRecovery, ANewOwnerDoesNotRunAnEndedJobThatIsSubmittedAgain) {
  MakeDispatcher(2);
  AddBackend("b1");
  JobProgress progress;
  progress.outcome = JobOutcome::kCompleted;
  dispatcher->AddEnded(JobId("j1"), progress, Now());
  AddJob("j1", {Step(1, 1000)});
  Advance(1000);
  LONGS_EQUAL(0, starts.size());
  CHECK(dispatcher->Waiting().empty());
  CHECK(dispatcher->Expired(Millis(500), Now()) == std::vector<JobId>{JobId("j1")});
}

// The list of ends is lost with the backend server, so a VM is not idle before they are written.
TEST(DispatcherRecovery, ABackendServerIsNotIdleBeforeItsEndsAreWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  EndRun(starts[0], RunEnd::kDone);
  dispatcher->Tick(Now(), true);
  now_ms += 200;
  dispatcher->Tick(Now(), true);
  for (const PollOrder& it : polls) ReplyTo(it);
  polls.clear();
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  CHECK_FALSE(dispatcher->IsIdle(BackendId("b1")));
  LONGS_EQUAL(1, dispatcher->TakeWrites(10, 100'000).size());
  CHECK_FALSE(dispatcher->IsIdle(BackendId("b1")));
  dispatcher->WritesDone(true);
  CHECK(dispatcher->IsIdle(BackendId("b1")));
}

TEST(DispatcherRecovery, ANewOwnerWaitsForTheRosterAndAdoptsWhatRuns) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                         {BackendId("gone"), {PoolId("p"), std::nullopt}}},
                        Now());
  AddBackend("b1");
  running[BackendId("b1")].push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddJob("j1", {Step(2, 1000)}, "", true);
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
  LONGS_EQUAL(0, stops.size());
  Advance(kAfterLongestLease - 3000);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].task.index);
  CHECK(starts[0].run > RunNumber(1000));
}

// Guards against runs that outlive an owner only to lapse because the first polls of its successor
// were lost.
TEST(DispatcherRecovery, ServersOfTheRosterThatDoNotReplyArePolledAgainSoon) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}}}, Now());
  AddBackend("b1");
  silent.insert(BackendId("b1"));
  Advance(100);
  const int before = polled[BackendId("b1")];
  Advance(2000);
  CHECK(polled[BackendId("b1")] - before >= 4);
}

// Guards against work that runs twice after a takeover: the successor takes jobs above the stored
// start horizon for not started.
TEST(DispatcherRecovery, AJobAboveTheStartHorizonDoesNotStart) {
  AddBackend("b1");
  dispatcher->SetStartHorizon(Revision(10));
  for (const std::uint64_t revision : {10, 11}) {
    StoredJob job;
    job.id = JobId("j" + std::to_string(revision));
    job.queue = QueueId("q");
    job.spec.steps = {Step(1, 1000)};
    job.revision = Revision(revision);
    dispatcher->AddJob(job, std::nullopt, false, Now());
  }
  Advance(500);
  LONGS_EQUAL(1, starts.size());
  CHECK(starts[0].task.job == JobId("j10"));
  CHECK(dispatcher->RevisionAboveHorizon() == Revision(11));
  dispatcher->SetStartHorizon(Revision(11));
  Advance(100);
  LONGS_EQUAL(2, starts.size());
  CHECK_FALSE(dispatcher->RevisionAboveHorizon().has_value());
}

// Guards against a takeover after which all earlier work of a pool waits for the lease of a server
// that has ended: VMs are moved all the time, and a roster may not have been written since.
TEST(DispatcherRecovery, NothingWaitsForServersThatTheirVmHasLeft) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt, VmId("v1")}},
                         {BackendId("gone"), {PoolId("p"), std::nullopt, VmId("v2")}}},
                        Now());
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(1000);
  std::vector<VmReport> vms{{VmId("v1"), PoolId("p"), VmState::kUp, BackendId("b1")},
                            {VmId("v2"), PoolId("p"), VmState::kUp, BackendId("gone")}};
  dispatcher->OnVmList(vms, Now(), Now());
  Advance(100);
  LONGS_EQUAL(0, starts.size());
  // It may be cut off, and its tasks run on.
  vms[1].state = VmState::kDown;
  dispatcher->OnVmList(vms, Now(), Now());
  Advance(100);
  LONGS_EQUAL(0, starts.size());
  vms[1] = {VmId("v2"), PoolId("q"), VmState::kUp, BackendId("next")};
  dispatcher->OnVmList(vms, Now(), Now());
  Advance(100);
  LONGS_EQUAL(1, starts.size());
}

// Guards against tasks that run twice: a list that names another pool than the roster was taken for
// the end of a server that it still shows on its VM.
TEST(DispatcherRecovery, AServerThatIsListedOnItsVmHasNotEnded) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt, VmId("v1")}},
                         {BackendId("cut-off"), {PoolId("p"), std::nullopt, VmId("v2")}}},
                        Now());
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(1000);
  const VmReport listed{VmId("v2"), PoolId("q"), VmState::kUp, BackendId("cut-off")};
  dispatcher->OnVmList({listed}, Now(), Now());
  Advance(100);
  LONGS_EQUAL(0, starts.size());
}

// Guards against waves that end late because each move of a long-running task waits for a poll that
// waits for the end of a run.
TEST(DispatcherRecovery, PollsDoNotWaitLongWhileALongRunningTaskStartsUp) {
  AddBackend("b1");
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  AddJob("j1", {step});
  Advance(100);
  running[BackendId("b1")][0].percent = 10;
  Advance(200);
  CHECK(poll_wait <= Millis(150));
  running[BackendId("b1")][0].percent = 100;
  Advance(200);
  CHECK(poll_wait > Millis(150));
}

// Guards against an owner without enough processor time that spends it on polls with one end each.
TEST(DispatcherRecovery, PollsLessOftenWhileTicksAreLate) {
  AddBackend("b1");
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  AddJob("j1", {step});
  Advance(1000);
  running[BackendId("b1")][0].percent = 100;
  constexpr int kTime = 3000;
  int before = polled[BackendId("b1")];
  Advance(kTime);
  const int on_time = polled[BackendId("b1")] - before;
  before = polled[BackendId("b1")];
  constexpr int kTick = 20;
  constexpr int kLate = 30;
  for (int n = 0; n < kTime / (kTick + kLate); ++n) {
    Advance(kTick);
    now_ms += kLate;
  }
  const int late = polled[BackendId("b1")] - before;
  CHECK(late > 0);
  CHECK(3 * late < 2 * on_time);
}

TEST(DispatcherRecovery, AHigherTokenEndsTheOwner) {
  AddBackend("b1");
  dispatcher->Tick(Now(), true);
  PollReply reply;
  reply.outcome = OrderOutcome::kFenced;
  dispatcher->OnPoll(polls.front(), reply, Now(), Now());
  CHECK(dispatcher->fenced());
}

TEST(DispatcherRecovery, AStartThatIsFencedEndsTheOwner) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  CHECK_FALSE(dispatcher->fenced());
  dispatcher->OnStop({starts[0].backend, "", Epoch(1), starts[0].task, starts[0].run},
                     {OrderOutcome::kFenced, std::nullopt}, Now());
  CHECK(dispatcher->fenced());
}

// The next owner would not know of runs on a backend server that is not in the stored roster.
TEST(DispatcherRecovery, StartsNothingOnABackendServerBeforeTheRosterIsWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  for (int n = 0; n < 10; ++n, now_ms += 20) {
    dispatcher->Tick(Now(), true);
    for (const PollOrder& it : std::exchange(polls, {})) ReplyTo(it);
  }
  LONGS_EQUAL(0, starts.size());
  Advance(200);
  LONGS_EQUAL(1, starts.size());
}

// A new incarnation restarts its end numbers, so a number that was seen may denote another end.
TEST(DispatcherRecovery, SeesTheEndsOfARestartedBackendServer) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  AddJob("j2", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(2, starts.size());
  EndRun(starts[0], RunEnd::kDone);
  Advance(300);
  started_at = 2;
  next_end = 1;
  running.clear();
  ended.clear();
  Advance(300);
  LONGS_EQUAL(3, starts.size());
  EndRun(starts[2], RunEnd::kDone);
  Advance(1000);
  LONGS_EQUAL(3, starts.size());
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
}

TEST(DispatcherRecovery, IgnoresALateReplyOfAnEarlierIncarnation) {
  AddBackend("b1");
  dispatcher->RosterWritten(*dispatcher->RosterToWrite());
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(1, polls.size());
  const PollOrder first = polls.front();
  polls.clear();
  // The registry shows the new incarnation before the reply of the earlier one arrives.
  started_at = 2;
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  PollReply late;
  late.outcome = OrderOutcome::kDone;
  late.clock = BackendClock(900'000);
  late.started_at = UnixMillis(1);
  dispatcher->OnPoll(first, late, Now(), Now());
  now_ms += 20;
  dispatcher->Tick(Now(), true);
  // A start would have a lease by the clock of the earlier incarnation.
  LONGS_EQUAL(0, starts.size());
  Advance(1500);
  LONGS_EQUAL(1, starts.size());
}

// Guards against a server that is lost for good because an entry under its id, left by another
// writer, named a start time in the future: its replies were ignored as those of an earlier life.
TEST(DispatcherRecovery, BelievesAServerThatRepliesWithAnEarlierStartThanItsEntryNamed) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  started_at = 4'000'000'000'000'000;
  AddBackend("b1");
  started_at = 1;
  Advance(60);
  AddBackend("b1");
  Advance(2000);
  CHECK_TRUE(dispatcher->Backends()[0].usable);
  // The run there was not given up.
  LONGS_EQUAL(1, starts.size());
  EndRun(starts[0], RunEnd::kDone);
  AddJob("j2", {Step(1, 1000)});
  Advance(1000);
  LONGS_EQUAL(2, starts.size());
  LONGS_EQUAL(1, dispatcher->Backends()[0].tasks);
}

// Guards against a start time in an entry that a poll sent before it contradicts: the reply is that
// of an earlier life, and a start would have a lease by its clock.
TEST(DispatcherRecovery, DoesNotBelieveAReplyToAPollSentBeforeTheEntry) {
  AddBackend("b1");
  dispatcher->RosterWritten(*dispatcher->RosterToWrite());
  dispatcher->Tick(Now(), true);
  const PollOrder first = polls.front();
  polls.clear();
  const MonotonicTime sent = Now();
  now_ms += 20;
  started_at = 2;
  AddBackend("b1");
  now_ms += 20;
  PollReply late;
  late.outcome = OrderOutcome::kDone;
  late.clock = BackendClock(900'000);
  late.started_at = UnixMillis(1);
  dispatcher->OnPoll(first, late, sent, Now());
  CHECK_FALSE(dispatcher->Backends()[0].usable);
}

// A lost reply must not let the lease expire: the poll is repeated long before its timeout.
TEST(DispatcherRecovery, RepeatsAPollWhoseReplyIsOverdue) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  const std::vector<PollOrder> sent = AdvanceWithoutReplies(1300);
  LONGS_EQUAL(2, sent.size());
  CHECK(sent[1].lease_until.has_value());
  LONGS_EQUAL(0, sent[1].wait.count());
  // The reply to the repeated poll counts; the later timeout of the first one is ignored.
  ReplyTo(sent[1]);
  dispatcher->OnPoll(sent[0], PollReply{}, Now(), Now());
  CHECK(dispatcher->Backends()[0].usable);
}

// The first poll's list, which arrives last, is older than that of the repeated poll.
TEST(DispatcherRecovery, IgnoresRepliesThatArriveOutOfOrder) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  const auto before = running;
  const std::vector<PollOrder> sent = AdvanceWithoutReplies(1300);
  LONGS_EQUAL(2, sent.size());
  EndRun(starts[0], RunEnd::kDone);
  ReplyTo(sent[1]);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  running = before;
  ReplyTo(sent[0]);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  running.clear();
  Advance(500);
  LONGS_EQUAL(0, stops.size());
  LONGS_EQUAL(1, starts.size());
}

// An entry that was removed and added again restarts its poll numbers; replies to earlier polls are
// ignored.
TEST(DispatcherRecovery, IgnoresRepliesToPollsOfARemovedEntry) {
  AddBackend("b1");
  Advance(200);
  PollOrder old{BackendId("b1"), "", Epoch(1)};
  old.sequence = 50;
  dispatcher->RemoveBackend(BackendId("b1"), Now());
  Advance(200);
  AddBackend("b1");
  ReplyTo(old);
  AddJob("j1", {Step(1, 1000)});
  Advance(500);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, dispatcher->Backends()[0].tasks);
  EndRun(starts[0], RunEnd::kDone);
  Advance(500);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
}

// Runs that an earlier owner may have started count towards the team's upper limit.
TEST(DispatcherRecovery, KeepsTheUpperLimitWhileRunsOfAnEarlierOwnerMayBeUnknown) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                         {BackendId("gone"), {PoolId("p"), std::nullopt}}},
                        Now());
  AddBackend("b1");
  AddJob("j1", {Step(2, 1000)}, "t", true);
  AddJob("j2", {Step(3, 1000)}, "t");
  Advance(3000);
  LONGS_EQUAL(1, starts.size());
  CHECK(starts[0].task.job == JobId("j2"));
  Advance(kAfterLongestLease - 3000);
  LONGS_EQUAL(3, starts.size());
}

// A run that is no longer needed occupies its capacity until it has ended.
TEST(DispatcherRecovery, PlacesNothingInTheCapacityOfAnOrphanRun) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 6000)});
  Advance(300);
  dispatcher->CancelJob(JobId("j1"), Now());
  Advance(100);
  LONGS_EQUAL(1, stops.size());
  dispatcher->OnStop(stops[0], {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  running.clear();
  Advance(300);
  // A start that was carried out late.
  running[BackendId("b1")] = {{{JobId("j1"), 0, 0, 0}, RunNumber(7), "", 10, 0}};
  Advance(300);
  // Nothing else runs there, so only a change causes another poll.
  AddJob("j0", {Step(1, 100)});
  Advance(300);
  const std::size_t before = starts.size();
  CHECK(std::any_of(stops.begin(), stops.end(),
                    [](const auto& it) { return it.run == RunNumber(7); }));
  AddJob("j2", {Step(1, 3000)});
  Advance(300);
  LONGS_EQUAL(before, starts.size());
  std::erase_if(running[BackendId("b1")], [](const auto& it) { return it.run == RunNumber(7); });
  Advance(500);
  LONGS_EQUAL(before + 1, starts.size());
}

// The fixture's backend servers show full progress from the start, so the task makes no progress.
TEST(DispatcherRecovery, StopsAStuckTask) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(2000);
  LONGS_EQUAL(0, stops.size());
  Advance(2000);
  LONGS_EQUAL(1, stops.size());
}

// An earlier owner may have left both tasks on the same backend server.
TEST(DispatcherRecovery, PausesABestEffortTaskWhenTailLatencyNearsItsTarget) {
  MakeDispatcher(2);
  StepSpec serving = Step(1, 1000);
  serving.long_running = true;
  serving.latency_target = Millis(100);
  StepSpec best_effort = Step(1, 1000);
  best_effort.best_effort = true;
  AddJob("j1", {serving}, "", true);
  AddJob("j2", {best_effort}, "", true);
  auto& runs = running[BackendId("b1")];
  runs.push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 100, 80});
  runs.push_back({{JobId("j2"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddBackend("b1");
  Advance(300);
  LONGS_EQUAL(1, paces.size());
  LONGS_EQUAL(0, paces[0].percent);
  CHECK(paces[0].task.job == JobId("j2"));
  running[BackendId("b1")][0].load = 40;
  Advance(300);
  LONGS_EQUAL(2, paces.size());
  LONGS_EQUAL(100, paces[1].percent);
}

// Guards against best-effort tasks that stand still for good once no serving task is beside them.
TEST(DispatcherRecovery, ABestEffortTaskRunsOnWhenTheServingTaskHasEnded) {
  MakeDispatcher(2);
  StepSpec serving = Step(1, 1000);
  serving.long_running = true;
  serving.latency_target = Millis(100);
  StepSpec best_effort = Step(1, 1000);
  best_effort.best_effort = true;
  AddJob("j1", {serving}, "", true);
  AddJob("j2", {best_effort}, "", true);
  auto& runs = running[BackendId("b1")];
  runs.push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 100, 80});
  runs.push_back({{JobId("j2"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddBackend("b1");
  Advance(300);
  LONGS_EQUAL(1, paces.size());
  LONGS_EQUAL(0, paces[0].percent);
  dispatcher->CancelJob(JobId("j1"), Now());
  Advance(100);
  runs.erase(runs.begin());
  ended[BackendId("b1")].push_back(
      {next_end++, {JobId("j1"), 0, 0, 0}, RunNumber(3), RunEnd::kStopped, ""});
  Advance(300);
  LONGS_EQUAL(2, paces.size());
  LONGS_EQUAL(100, paces[1].percent);
}

// Guards against the same after a change of owner, and against serving tasks above their target:
// the pace that an earlier owner ordered is not known.
TEST(DispatcherRecovery, ANewOwnerOrdersThePaceOfBestEffortTasks) {
  MakeDispatcher(2);
  StepSpec best_effort = Step(1, 1000);
  best_effort.best_effort = true;
  AddJob("j1", {best_effort}, "", true);
  running[BackendId("b1")].push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddBackend("b1");
  Advance(300);
  LONGS_EQUAL(1, paces.size());
  LONGS_EQUAL(100, paces[0].percent);
  Advance(1000);
  LONGS_EQUAL(1, paces.size());
}

// Guards against serving tasks above their target because an order was lost.
TEST(DispatcherRecovery, RepeatsAPaceThatMayNotHaveBeenCarriedOut) {
  MakeDispatcher(2);
  StepSpec serving = Step(1, 1000);
  serving.long_running = true;
  serving.latency_target = Millis(100);
  StepSpec best_effort = Step(1, 1000);
  best_effort.best_effort = true;
  AddJob("j1", {serving}, "", true);
  AddJob("j2", {best_effort}, "", true);
  auto& runs = running[BackendId("b1")];
  runs.push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 100, 80});
  runs.push_back({{JobId("j2"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddBackend("b1");
  Advance(300);
  LONGS_EQUAL(1, paces.size());
  dispatcher->OnPace(paces[0], OrderReply{}, Now());
  Advance(300);
  LONGS_EQUAL(2, paces.size());
  LONGS_EQUAL(0, paces[1].percent);
  dispatcher->OnPace(paces[1], OrderReply{OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  Advance(300);
  LONGS_EQUAL(2, paces.size());
}

TEST(DispatcherRecovery, RepeatsNoOccurrenceThatAnEarlierOwnerFinished) {
  AddBackend("b1");
  JobProgress progress;
  progress.FinishOccurrence(0);
  now_ms = 4000;
  AddTimedJob("j1", 2000, 3000, progress);
  Advance(800);
  LONGS_EQUAL(0, starts.size());
  Advance(600);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].task.occurrence);
}

// An address may be taken over by another incarnation, which says so in its replies. The runs of
// the earlier one have then ended.
TEST(DispatcherRecovery, RestartsTasksOfAReplacedIncarnation) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  AddBackend("b2");
  Advance(100);
  dispatcher->OnStop({starts[0].backend, "", Epoch(1), starts[0].task, starts[0].run},
                     {OrderOutcome::kWrongIncarnation, std::nullopt}, Now());
  Advance(300);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

TEST(DispatcherRecovery, DetectsAReplacedIncarnationByAPoll) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  AddBackend("b2");
  Advance(100);
  PollOrder newest;
  for (const PollOrder& it : AdvanceWithoutReplies(1300)) {
    if (it.backend == BackendId("b1")) newest = it;
  }
  PollReply other;
  other.outcome = OrderOutcome::kWrongIncarnation;
  dispatcher->OnPoll(newest, other, Now(), Now());
  Advance(300);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

// Guards against a second run of a task on a server that has another address by now: the reply that
// tells that it is not at its earlier address says nothing about its runs.
TEST(DispatcherRecovery, ARefusalFromAnEarlierAddressDoesNotEndTheRuns) {
  AddBackend("b1", {"a", "r1"}, "10.0.0.1:1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  PollOrder poll;
  for (const PollOrder& it : AdvanceWithoutReplies(1300)) poll = it;
  STRCMP_EQUAL("10.0.0.1:1", poll.address.c_str());
  AddBackend("b1", {"a", "r1"}, "10.0.0.2:1");
  AddBackend("b2");
  PollReply other;
  other.outcome = OrderOutcome::kWrongIncarnation;
  dispatcher->OnPoll(poll, other, Now(), Now());
  dispatcher->OnStop({starts[0].backend, "10.0.0.1:1", Epoch(1), starts[0].task, starts[0].run},
                     {OrderOutcome::kWrongIncarnation, std::nullopt}, Now());
  Advance(2000);
  LONGS_EQUAL(1, starts.size());
}

// Guards against a second run of a task whose end was not in the list of a server that has more
// ends than it lists at once.
TEST(DispatcherRecovery, ATaskThatACutListDoesNotNameIsNotLost) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  EndManyRuns("b1");
  EndRun(starts[0], RunEnd::kDone);
  Advance(1000);
  LONGS_EQUAL(1, starts.size());
  CHECK(dispatcher->Waiting().empty());
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
}

// Guards against the same after a change of owner.
TEST(DispatcherRecovery, ANewOwnerWaitsForTheRestOfACutList) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}}}, Now());
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)}, "", true);
  EndManyRuns("b1");
  ended[BackendId("b1")].push_back(
      {next_end++, {JobId("j1"), 0, 0, 0}, RunNumber(1), RunEnd::kDone, ""});
  Advance(1000);
  LONGS_EQUAL(0, starts.size());
}

// Guards against a second run of a task of an occurrence that is not due yet by the time of day of
// a new owner, but was by that of the earlier one.
TEST(DispatcherRecovery, ANewOwnerKnowsRunsOfOccurrencesThatAreNotDueYet) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                         {BackendId("b2"), {PoolId("p"), std::nullopt}}},
                        Now());
  AddBackend("b1");
  AddBackend("b2");
  AddTimedJob("j1", 2000, 1000, JobProgress{});
  ended[BackendId("b1")].push_back(
      {next_end++, {JobId("j1"), 0, 0, 0}, RunNumber(1), RunEnd::kDone, ""});
  running[BackendId("b2")].push_back({{JobId("j1"), 1, 0, 0}, RunNumber(1), "", 10, 0});
  Advance(4000);
  LONGS_EQUAL(0, starts.size());
  LONGS_EQUAL(0, stops.size());
}

// Guards against counts of waiting jobs that are too low: the first start was sent to a server that
// had crashed, and the others are full.
TEST(DispatcherRecovery, AJobWhoseFirstStartIsNotCarriedOutIsWaiting) {
  AddBackend("b1");
  Advance(300);
  silent.insert(BackendId("b1"));
  AddJob("j1", {Step(1, 1000)});
  Advance(100);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, dispatcher->Waiting()[QueueId("q")]);
  dispatcher->OnStart(starts[0], OrderReply{}, Now());
  Advance(8000);
  LONGS_EQUAL(1, dispatcher->Waiting()[QueueId("q")]);
  silent.clear();
  AddBackend("b2");
  Advance(2000);
  CHECK(starts.size() > 1);
  LONGS_EQUAL(0, dispatcher->Waiting()[QueueId("q")]);
}

// A list that names a run shows its start, also without a reply to the order.
TEST(DispatcherRecovery, AJobOfWhichARunIsListedIsNotWaiting) {
  AddBackend("b1");
  Advance(300);
  silent.insert(BackendId("b1"));
  AddJob("j1", {Step(1, 1000)});
  Advance(100);
  LONGS_EQUAL(1, starts.size());
  running[BackendId("b1")].push_back({starts[0].task, starts[0].run, "", 1, 0});
  silent.clear();
  Advance(1000);
  LONGS_EQUAL(0, dispatcher->Waiting()[QueueId("q")]);
}

// Guards against starts on a server that has long said that it leaves: an order without a reply was
// repeated there.
TEST(DispatcherRecovery, AStartIsNotRepeatedOnADrainingServer) {
  AddBackend("b1");
  Advance(300);
  AddJob("j1", {Step(1, 1000)});
  silent.insert(BackendId("b1"));
  Advance(100);
  LONGS_EQUAL(1, starts.size());
  dispatcher->OnStart(starts[0], OrderReply{}, Now());
  silent.clear();
  BackendReport report;
  report.id = BackendId("b1");
  report.pool = PoolId("p");
  report.capacity = kServer;
  report.draining = true;
  report.started_at = UnixMillis(started_at);
  dispatcher->UpsertBackend(report, Now());
  AddBackend("b2");
  Advance(1000);
  LONGS_EQUAL(1, starts.size());
  CHECK(!stops.empty());
  CHECK(stops[0].task == starts[0].task);
  dispatcher->OnStop(stops[0], OrderReply{OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  Advance(1000);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

// Guards against a write of many large rows that the store rejects as a whole, again and again.
TEST(DispatcherRecovery, TakesNoMoreProgressThanFitsIntoAWrite) {
  AddBackend("b1");
  Advance(500);
  constexpr std::size_t kJobs = 3;
  for (const char* id : {"j1", "j2", "j3"}) AddJob(id, {Step(1, 100)});
  dispatcher->Tick(Now(), true);
  for (const char* id : {"j1", "j2", "j3"}) dispatcher->CancelJob(JobId(id), Now());
  const auto all = dispatcher->TakeWrites(10, 100'000);
  LONGS_EQUAL(kJobs, all.size());
  dispatcher->WritesDone(false);
  LONGS_EQUAL(2, dispatcher->TakeWrites(10, all[0].value.size() + all[1].value.size()).size());
  dispatcher->WritesDone(true);
  // One is taken even if it is too large.
  LONGS_EQUAL(1, dispatcher->TakeWrites(10, 1).size());
  dispatcher->WritesDone(true);
  CHECK_FALSE(dispatcher->HasWrites());
}
