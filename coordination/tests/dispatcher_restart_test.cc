#include "dispatcher_fixture.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::DispatcherFixture;
using sapphirewheel::testing::kAfterLongestLease;
using sapphirewheel::testing::Step;

namespace {

constexpr std::int64_t kLease = 6000;
constexpr int kLongestLease = 10'000;
// Time in which an order reaches a server, unless it is carried out late.
constexpr int kOrderDelivery = 900;

// A backend server that restarts under its id, with a clock that starts anew.
class RestartFixture : public DispatcherFixture {
 public:
  // Replies to a poll as an incarnation that started `age` ago and runs nothing.
  void ReplyAsRestarted(const PollOrder& order, int age) {
    started_at = 2;
    running[order.backend].clear();
    ended[order.backend].clear();
    PollReply reply;
    reply.outcome = OrderOutcome::kDone;
    reply.clock = BackendClock(age);
    reply.started_at = UnixMillis(started_at);
    dispatcher->OnPoll(order, reply, Now(), Now());
  }

  // Advances the time until the first start.
  void AwaitStart() {
    constexpr int kMost = 300;
    for (int n = 0; n < kMost && starts.empty(); ++n) Advance(100);
    LONGS_EQUAL(1, starts.size());
  }
};

}  // namespace

TEST_GROUP_BASE(DispatcherRestart, RestartFixture){};

// Guards against a task that runs again although it is done: a restarted server drops its end when
// it gets an acknowledgement that counts the ends of the earlier incarnation.
TEST(DispatcherRestart, AcknowledgesEndsOnlySoonAfterAList) {
  AddBackend("b1");
  AddJob("j1", {Step(2, 1000)});
  Advance(200);
  EndRun(starts[0], RunEnd::kDone);
  Advance(200);
  const auto sent = AdvanceWithoutReplies(3000);
  CHECK(sent.size() > 1);
  CHECK(sent.front().acknowledged_end > 0);
  for (std::size_t n = 1; n < sent.size(); ++n) LONGS_EQUAL(0, sent[n].acknowledged_end);
}

// Guards against ends that are never acknowledged: the poll with the acknowledgement was lost, and
// the next one, which could not carry it any more, was answered first.
TEST(DispatcherRestart, AcknowledgesEndsAgainIfTheirPollWasLost) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(200);
  // A run that nobody needs; polls are repeated while it is there.
  const TaskKey orphan{JobId("other"), 0, 0, 0};
  running[BackendId("b1")].push_back({orphan, RunNumber(1), "", 10, 0});
  Advance(1000);
  EndRun(starts[0], RunEnd::kDone);
  while (polls.empty() || polls.back().acknowledged_end == 0) {
    Advance(20);
    dispatcher->Tick(Now(), true);
  }
  const PollOrder lost = polls.back();
  PollOrder repeated;
  for (const PollOrder& it : AdvanceWithoutReplies(2000)) repeated = it;
  CHECK(repeated.sequence > lost.sequence);
  LONGS_EQUAL(0, repeated.acknowledged_end);
  running[BackendId("b1")].clear();
  ReplyTo(repeated);
  dispatcher->OnPoll(lost, PollReply{}, Now(), Now());
  Advance(1000);
  LONGS_EQUAL(0, ended[BackendId("b1")].size());
}

// Guards against two runs of a task: what is placed on a restarted server outlives the owner's
// estimate of its lease if the server holds a longer one by the clock of the earlier incarnation.
TEST(DispatcherRestart, PlacesNothingWhileALeaseOfTheEarlierClockMayLast) {
  // Its clock is far ahead of one that starts anew.
  now_ms = 100'000;
  MakeDispatcher(1);
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(500);
  LONGS_EQUAL(1, starts.size());
  const auto sent = AdvanceWithoutReplies(700);
  CHECK(!sent.empty() && sent.back().lease_until.has_value());
  ReplyAsRestarted(sent.back(), 300);
  const int known = now_ms;
  for (int n = 0; n < 100 && starts.size() == 1; ++n) Advance(100);
  LONGS_EQUAL(2, starts.size());
  // Until then the longest lease, which was granted by the last poll, has less left than the usual.
  CHECK(now_ms - known >= kLongestLease - kLease - 700);
}

// Guards against the same by a poll that was given up before the server was back, and waited for it
// in the queue of its listening socket.
TEST(DispatcherRestart, PlacesNothingWhileALeaseOfAPollThatWasGivenUpMayLast) {
  now_ms = 100'000;
  MakeDispatcher(1);
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(500);
  LONGS_EQUAL(1, starts.size());
  // Longer than the server is trusted, so that the last polls do not extend the lease.
  constexpr int kDown = 4000;
  silent = {BackendId("b1")};
  Advance(kDown);
  silent.clear();
  const auto sent = AdvanceWithoutReplies(1500);
  CHECK(!sent.empty() && !sent.back().lease_until.has_value());
  constexpr int kAge = 100;
  ReplyAsRestarted(sent.back(), kAge);
  const int known = now_ms;
  while (starts.size() == 1 && now_ms < known + 20'000) Advance(100);
  LONGS_EQUAL(2, starts.size());
  // The longest lease may have been granted when the server began.
  const int since_start = now_ms - known + kAge;
  CHECK(since_start + kLease >= kLongestLease);
  CHECK(since_start + kLease <= kAfterLongestLease);
}

// Guards against a lease that is too long because the reply of an earlier incarnation, which came
// after the list of the new one, set the clock that leases are computed with.
TEST(DispatcherRestart, ComputesLeasesByTheClockOfTheLastList) {
  AddBackend("b1");
  AddBackend("b2");
  AddJob("j1", {Step(1, 1000)});
  Advance(500);
  const StartOrder first = starts[0];
  const auto sent = AdvanceWithoutReplies(700);
  const auto poll = std::find_if(sent.rbegin(), sent.rend(),
                                 [&](const PollOrder& it) { return it.backend == first.backend; });
  ReplyAsRestarted(*poll, 300);
  constexpr std::int64_t kEarlierClock = 500'000;
  dispatcher->OnStart(first, {OrderOutcome::kDone, BackendClock(kEarlierClock)}, Now());
  AddJob("j2", {Step(1, 1000)});
  silent.insert(BackendId("b1"));
  silent.insert(BackendId("b2"));
  for (const PollOrder& it : AdvanceWithoutReplies(9000)) {
    if (it.lease_until) CHECK(it.lease_until->count() < kEarlierClock);
  }
  for (const StartOrder& it : starts) CHECK(it.lease_until.count() < kEarlierClock);
}

// Guards against orders that an idle server refuses as late: without replies its clock is
// estimated, and the estimate falls behind.
TEST(DispatcherRestart, ReadsTheClockOfAnIdleServerAgain) {
  AddBackend("b1");
  Advance(200);
  const int before = polled[BackendId("b1")];
  Advance(61'000);
  CHECK(polled[BackendId("b1")] > before);
  CHECK(polled[BackendId("b1")] <= before + 2);
}

// Guards against two runs of a task: the platform says that an order to a VM is done, but the
// server that the VM was thought to have lives on, or came up after it.
TEST(DispatcherRestart, KeepsTheRunsOfAServerThatIsSaidToHaveEnded) {
  AddBackend("b1");
  AddBackend("b2");
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  AddJob("j1", {step});
  Advance(500);
  LONGS_EQUAL(1, starts.size());
  dispatcher->BackendEnded(starts[0].backend, Now());
  Advance(3000);
  LONGS_EQUAL(1, starts.size());
  const auto sent = AdvanceWithoutReplies(100);
  CHECK(!sent.empty() && sent.front().lease_until.has_value());
  Advance(1000);
  // If it is gone, its lease tells.
  silent.insert(starts[0].backend);
  Advance(9000);
  LONGS_EQUAL(2, starts.size());
}

// Guards against work on a server that has ended, and against VMs that look idle because of it: an
// entry from before its end was read after it.
TEST(DispatcherRestart, AnEntryFromBeforeTheEndOfAServerDoesNotMakeItUsable) {
  AddBackend("b1");
  Advance(500);
  CHECK(dispatcher->Backends()[0].usable);
  dispatcher->BackendEnded(BackendId("b1"), Now());
  silent.insert(BackendId("b1"));
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  CHECK_FALSE(dispatcher->Backends()[0].usable);
  Advance(1000);
  CHECK_FALSE(dispatcher->Backends()[0].usable);
  LONGS_EQUAL(0, starts.size());
  // It has not ended after all.
  silent.clear();
  Advance(1500);
  LONGS_EQUAL(1, starts.size());
}

// Guards against two runs of a task: a start without a reply was taken by the next incarnation,
// whose clock started anew, so that it holds the longest lease; then the server is disconnected.
TEST(DispatcherRestart, ARunThatTheNextIncarnationTookEndsByTheLongestLease) {
  constexpr int kOrderTimeout = 600;
  for (const bool entry : {false, true}) {
    now_ms = 100'000;
    started_at = 1;
    starts.clear();
    running.clear();
    silent.clear();
    MakeDispatcher(1);
    AddBackend("b1");
    AddBackend("b2");
    Advance(500);
    AddJob("j1", {Step(1, 1000)});
    silent = {BackendId("b1"), BackendId("b2")};
    Advance(20);
    LONGS_EQUAL(1, starts.size());
    const StartOrder first = starts[0];
    const int sent = now_ms;
    silent = {first.backend};
    Advance(kOrderTimeout);
    dispatcher->OnStart(first, {OrderOutcome::kUnknown, std::nullopt}, Now());
    started_at = 2;
    if (entry) AddBackend(first.backend.str().c_str());
    started_at = 1;
    const auto elsewhere = [&] {
      return std::any_of(starts.begin(), starts.end(),
                         [&](const StartOrder& it) { return it.backend != first.backend; });
    };
    constexpr int kLongEnough = 30'000;
    while (!elsewhere() && now_ms < sent + kLongEnough) Advance(100);
    CHECK(elsewhere());
    CHECK(now_ms - sent >= kLongestLease);
  }
}

// The same if a list of that incarnation shows the run before the reply to its start comes.
TEST(DispatcherRestart, ARunThatTheNextIncarnationListsBeforeTheReplyEndsByTheLongestLease) {
  now_ms = 100'000;
  AddBackend("b1");
  Advance(500);
  AddJob("j1", {Step(1, 1000)});
  silent.insert(BackendId("b1"));
  Advance(20);
  LONGS_EQUAL(1, starts.size());
  const int sent = now_ms;
  running[BackendId("b1")].push_back({starts[0].task, starts[0].run, "", 10, 0});
  constexpr std::int64_t kClock = 200;
  for (const PollOrder& it : AdvanceWithoutReplies(400)) {
    PollReply reply;
    reply.outcome = OrderOutcome::kDone;
    reply.clock = BackendClock(kClock);
    reply.started_at = UnixMillis(2);
    reply.running = running[BackendId("b1")];
    dispatcher->OnPoll(it, reply, Now(), Now());
  }
  AddBackend("b2");
  started_at = 2;
  constexpr int kLongEnough = 30'000;
  while (starts.size() == 1 && now_ms < sent + kLongEnough) Advance(100);
  LONGS_EQUAL(2, starts.size());
  CHECK(now_ms - sent >= kLongestLease);
}

// Guards against two runs of a task: its first start had no reply, the repeated one was confirmed,
// and the next incarnation, which is silent, carries the first one out late.
TEST(DispatcherRestart, ALateCopyOfAConfirmedStartIsAwaitedOnASilentNextIncarnation) {
  constexpr int kOrderTimeout = 600;
  constexpr int kMaxDelay = 13'000;
  now_ms = 100'000;
  MakeDispatcher(1);
  AddBackend("b1");
  AddBackend("b2");
  Advance(500);
  AddJob("j1", {Step(1, 1000)});
  silent = {BackendId("b1"), BackendId("b2")};
  Advance(20);
  LONGS_EQUAL(1, starts.size());
  const StartOrder first = starts[0];
  const int sent = now_ms;
  silent = {first.backend};
  Advance(kOrderTimeout);
  dispatcher->OnStart(first, {OrderOutcome::kUnknown, std::nullopt}, Now());
  // The start is repeated after a list and confirmed.
  silent.clear();
  Advance(2000);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == first.backend && starts[1].run == first.run);
  silent = {first.backend};
  started_at = 2;
  AddBackend(first.backend.str().c_str());
  started_at = 1;
  const auto elsewhere = [&] {
    return std::any_of(starts.begin(), starts.end(),
                       [&](const StartOrder& it) { return it.backend != first.backend; });
  };
  constexpr int kLongEnough = 40'000;
  while (!elsewhere() && now_ms < sent + kLongEnough) Advance(100);
  CHECK(elsewhere());
  CHECK(now_ms - sent >= kMaxDelay + kLongestLease);
}

// Guards against tasks that wait for the longest lease of a server that has ended: its VM ran
// another one when the start could no longer be on the way. Also against two runs of a task on a
// server that is cut off, whose VM is listed as down.
TEST(DispatcherRestart, ARunOfAServerThatItsVmHasLeftEndsByTheUsualLease) {
  constexpr int kOrderTimeout = 600;
  constexpr int kLeaseBound = 6600;
  for (const bool left : {true, false}) {
    running.clear();
    starts.clear();
    silent.clear();
    MakeDispatcher(1);
    AddBackend("b1");
    Advance(500);
    AddJob("j1", {Step(1, 1000)});
    silent = {BackendId("b1")};
    Advance(20);
    LONGS_EQUAL(1, starts.size());
    const int sent = now_ms;
    Advance(kOrderTimeout);
    dispatcher->OnStart(starts[0], {OrderOutcome::kUnknown, std::nullopt}, Now());
    Advance(1000);
    const VmReport vm = left ? VmReport{VmId(), PoolId("p"), VmState::kUp, BackendId("b3")}
                             : VmReport{VmId(), PoolId("p"), VmState::kDown, BackendId()};
    dispatcher->OnVmList({vm}, Now(), Now());
    // Until then polls extend the lease.
    Advance(1000);
    const int last = now_ms;
    AddBackend("b2");
    while (starts.size() == 1 && now_ms < last + 2 * kLeaseBound) Advance(100);
    CHECK(starts.size() > 1);
    CHECK(starts.back().backend == BackendId("b2"));
    if (left) {
      CHECK(now_ms <= last + kLeaseBound);
    } else {
      CHECK(now_ms - sent >= kLongestLease);
    }
  }
}

// Guards against two runs of a task: a start without a reply was repeated and confirmed, and the
// first order reaches a later incarnation, which knows nothing of the run.
TEST(DispatcherRestart, ALateStartIsBarredInTheNextIncarnationBeforeTheTaskStartsElsewhere) {
  AddBackend("b1");
  Advance(500);
  AddJob("j1", {Step(1, 1000)});
  silent = {BackendId("b1")};
  Advance(20);
  LONGS_EQUAL(1, starts.size());
  dispatcher->OnStart(starts[0], {OrderOutcome::kUnknown, std::nullopt}, Now());
  silent.clear();
  Advance(1000);
  CHECK(starts.size() > 1);
  LONGS_EQUAL(starts[0].run.count(), starts.back().run.count());
  AddBackend("b2");
  Advance(500);
  const std::size_t before = starts.size();
  running[BackendId("b1")].clear();
  // All servers of the fixture have the same start time.
  started_at = 2;
  Advance(1000);
  LONGS_EQUAL(1, stops.size());
  CHECK(stops[0].backend == BackendId("b1"));
  LONGS_EQUAL(starts[0].run.count(), stops[0].run.count());
  LONGS_EQUAL(before, starts.size());
  dispatcher->OnStop(stops[0], {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  Advance(1000);
  CHECK(starts.size() > before);
  CHECK(starts.back().run.count() > starts[0].run.count());
}

// Guards against two runs of a task: the next incarnation has confirmed its start, and a start that
// it carries out late grants a lease by the clock of the earlier one. That was noticed only where
// the longest lease is much longer than the usual one.
TEST(DispatcherRestart, ALateStartExtendsTheLeaseOfARunThatTheNextIncarnationConfirmed) {
  now_ms = 100'000;
  max_lease = Millis(kLease);
  MakeDispatcher(1);
  AddBackend("b1");
  Advance(500);
  silent = {BackendId("b1")};
  AddJob("j1", {Step(2, 1000)});
  Advance(100);
  LONGS_EQUAL(2, starts.size());
  constexpr int kAge = 300;
  dispatcher->OnStart(starts[0], {OrderOutcome::kDone, BackendClock(kAge)}, Now());
  Advance(kOrderDelivery);
  dispatcher->OnStart(starts[1], {OrderOutcome::kUnknown, std::nullopt}, Now());
  const int given_up = now_ms;
  AddBackend("b2");
  constexpr int kMost = 30'000;
  while (starts.size() == 2 && now_ms < given_up + kMost) Advance(100);
  CHECK(starts.size() > 2);
  constexpr int kLongestDelay = 13'000;
  CHECK(now_ms - given_up >= kLongestDelay + kLease);
}

// Guards against two runs of a task after a change of owner: a server holds a longer lease than the
// usual one, because an order by the clock of its earlier incarnation was carried out.
TEST(DispatcherRestart, ASuccessorWaitsForALeaseOfAnEarlierClock) {
  now_ms = 100'000;
  MakeDispatcher(1);
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(500);
  const auto sent = AdvanceWithoutReplies(700);
  CHECK(!sent.empty() && sent.back().lease_until.has_value());
  ReplyAsRestarted(sent.back(), 300);
  const int known = now_ms;
  const auto roster = dispatcher->RosterToWrite();
  CHECK(roster.has_value());
  constexpr int kTakeover = 1300;
  now_ms += kTakeover;
  MakeDispatcher(2);
  dispatcher->SetRoster(*roster, Now());
  starts.clear();
  silent = {BackendId("b1")};
  AddBackend("b2");
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)}, "", true);
  for (int n = 0; n < 200 && starts.empty(); ++n) Advance(100);
  LONGS_EQUAL(1, starts.size());
  CHECK(now_ms - known >= kLongestLease - 700);
}

// Guards against two runs of a task after a change of owner: a silent server has restarted and
// holds the longest lease by an order of the earlier owner, which did not know of the restart.
TEST(DispatcherRestart, ASuccessorAwaitsTheLongestLeaseOfASilentServer) {
  MakeDispatcher(2);
  const int taken = now_ms;
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}}}, Now());
  silent = {BackendId("b1")};
  AddBackend("b1");
  AddBackend("b2");
  AddJob("j1", {Step(1, 1000)}, "", true);
  AwaitStart();
  CHECK(now_ms - taken >= kLongestLease + kOrderDelivery);
  CHECK(now_ms - taken <= kAfterLongestLease);
}

// Guards against two runs of a task: a server holds the longest lease by an order of the earlier
// owner, and is disconnected soon after its first list to the new one.
TEST(DispatcherRestart, ASuccessorAwaitsTheLongestLeaseOfAServerThatItLosesSoon) {
  for (const bool adopted : {true, false}) {
    running.clear();
    starts.clear();
    silent.clear();
    MakeDispatcher(2);
    dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}}}, Now());
    AddBackend("b1");
    const TaskKey task{JobId("j1"), 0, 0, 0};
    if (adopted) {
      running[BackendId("b1")] = {{task, RunNumber(1), "", 10, 0}};
      AddJob("j1", {Step(1, 1000)}, "", true);
    }
    Advance(40);
    const int listed = now_ms;
    if (!adopted) AddJob("j1", {Step(1, 1000)});
    Advance(40);
    LONGS_EQUAL(1, running[BackendId("b1")].size());
    starts.clear();
    silent = {BackendId("b1")};
    AddBackend("b2");
    AwaitStart();
    CHECK(starts[0].backend == BackendId("b2"));
    CHECK(now_ms - listed >= kLongestLease);
  }
}

// Guards against two runs of a task: a server leaves the registry while a start is on the way to
// it, which its next incarnation may carry out, and the owner is lost.
TEST(DispatcherRestart, TheRosterCountsAStartOnTheWayByTheLongestLease) {
  AddBackend("b1");
  Advance(500);
  AddJob("j1", {Step(1, 1000)});
  silent = {BackendId("b1")};
  Advance(20);
  LONGS_EQUAL(1, starts.size());
  dispatcher->RemoveBackend(BackendId("b1"), Now());
  const auto roster = dispatcher->RosterToWrite();
  CHECK(roster.has_value());
  const auto ends = roster->at(BackendId("b1")).runs_end_by;
  CHECK(ends.has_value());
  CHECK(*ends >= Now() + Millis(kLongestLease));
}

// Guards against starts above the limit of a team, 3 cores, after a takeover: the run of a job that
// was cancelled under the earlier owner is still being stopped.
TEST(DispatcherRestart, OrphansCountForTheLimitOfTheirTeam) {
  AddBackend("s0");
  // Nothing is placed beside a run whose size is not known.
  AddBackend("s1");
  const TaskKey key{JobId("cancelled"), 0, 0, 0};
  running[BackendId("s0")] = {{key, RunNumber(1), "", 10, 0}};
  StoredJob job;
  job.id = key.job;
  job.queue = QueueId("q");
  job.team = TeamId("t");
  job.cancelled = true;
  job.spec.steps = {Step(1, 1000)};
  dispatcher->AddJob(job, std::nullopt, true, Now());
  Advance(100);
  AddJob("new", {Step(1, 2500)}, "t");
  Advance(500);
  LONGS_EQUAL(0, starts.size());
  running.clear();
  Advance(500);
  LONGS_EQUAL(1, starts.size());
}
