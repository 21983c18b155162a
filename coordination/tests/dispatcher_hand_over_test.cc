#include "dispatcher_fixture.h"

using namespace sapphirewheel;           // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

// What an owner tells its successor of the runs that it has started, when it ends as planned and in
// the roster.
namespace {

class HandOverFixture : public DispatcherFixture {
 public:
  [[nodiscard]] bool IsUncertain(const char* id) const {
    return dispatcher->MakeHandOver().uncertain.count(BackendId(id)) > 0;
  }

  // Orders the start of the only task of job j1 on b1, which does not reply, and advances the time.
  void OrderStart(int ms) {
    AddBackend("b1");
    Advance(300);
    silent.insert(BackendId("b1"));
    AddJob("j1", {Step(1, 1000)});
    Advance(ms);
    LONGS_EQUAL(1, starts.size());
  }

  void Register(const char* id, bool draining) {
    BackendReport report;
    report.id = BackendId(id);
    report.pool = PoolId("p");
    report.capacity = kServer;
    report.started_at = UnixMillis(started_at);
    report.draining = draining;
    dispatcher->UpsertBackend(report, Now());
  }

  // Whether the roster says that the server gets no further starts.
  [[nodiscard]] bool IsClosed(const char* id) const {
    const auto roster = dispatcher->RosterToWrite();
    CHECK(roster.has_value());
    return roster->at(BackendId(id)).closed_by.has_value();
  }

  // Becomes the owner after one with token 1 that has closed b1, which is silent, and advances the
  // time.
  void TakeOverClosed(std::uint64_t token, int ms) {
    MakeDispatcher(token);
    starts.clear();
    RosterEntry closed{PoolId("p"), std::nullopt};
    closed.closed_by = Epoch(1);
    dispatcher->SetRoster(
        {{BackendId("b1"), closed}, {BackendId("b2"), {PoolId("p"), std::nullopt}}}, Now());
    AddBackend("b2");
    AddJob("j1", {Step(1, 1000)}, "", true);
    Advance(ms);
  }

  // The owner ends, and its successor finds b1 silent and no longer registered.
  void TakeOver() {
    const HandOver hand_over = dispatcher->MakeHandOver();
    MakeDispatcher(2);
    starts.clear();
    silent.insert(BackendId("b1"));
    dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                           {BackendId("b2"), {PoolId("p"), std::nullopt}}},
                          Now(), hand_over);
    AddBackend("b2");
    AddJob("j1", {Step(1, 1000)}, "", true);
  }
};

}  // namespace

TEST_GROUP_BASE(DispatcherHandOver, HandOverFixture){};

// Guards against tasks that are down for longer than they need to be: the successor did not know
// that no other incarnation of the silent server can have runs.
TEST(DispatcherHandOver, RunsThatWereConfirmedAreAwaitedForTheUsualLease) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(2000);
  LONGS_EQUAL(1, starts.size());
  TakeOver();
  Advance(6000);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterUsualLease - 6000);
  LONGS_EQUAL(1, starts.size());
}

// Guards against two runs of a task: the start may reach the next incarnation of the server.
TEST(DispatcherHandOver, AStartOnTheWayIsAwaitedForTheLongestLease) {
  OrderStart(60);
  TakeOver();
  Advance(kAfterUsualLease);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease - kAfterUsualLease);
  LONGS_EQUAL(1, starts.size());
}

// The same if the run is already being stopped, and the reply to its start is awaited.
TEST(DispatcherHandOver, AStartOnTheWayOfACancelledJobIsNotCertain) {
  OrderStart(60);
  dispatcher->CancelJob(JobId("j1"), Now());
  CHECK(IsUncertain("b1"));
}

TEST(DispatcherHandOver, AStartWithoutAReplyIsNotCertain) {
  OrderStart(60);
  silent.clear();
  dispatcher->OnStart(starts[0], {OrderOutcome::kUnknown, std::nullopt}, Now());
  dispatcher->CancelJob(JobId("j1"), Now());
  Advance(100);
  LONGS_EQUAL(1, stops.size());
  dispatcher->OnStop(stops[0], {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  Advance(2000);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  CHECK(IsUncertain("b1"));
}

TEST(DispatcherHandOver, AnIncarnationThatHasNotRepliedIsNotCertain) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(2000);
  CHECK_FALSE(IsUncertain("b1"));
  started_at = 2;
  silent.insert(BackendId("b1"));
  AddBackend("b1");
  CHECK(IsUncertain("b1"));
}

// Guards against the same if the server leaves before the owner does.
TEST(DispatcherHandOver, RunsOfASilentServerEndByTheLeaseThatTheOwnerExtendedLast) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(2000);
  silent.insert(BackendId("b1"));
  Advance(2000);
  TakeOver();
  Advance(kAfterUsualLease);
  LONGS_EQUAL(1, starts.size());
}

// Guards against two runs of a task: the server has restarted and has been given a longer lease.
TEST(DispatcherHandOver, AServerWithALongerLeaseIsNotCertain) {
  OrderStart(60);
  // By the clock of another incarnation.
  dispatcher->OnStart(starts[0], {OrderOutcome::kDone, BackendClock(0)}, Now());
  now_ms += 1000;
  CHECK(IsUncertain("b1"));
}

// Its runs are those of an earlier owner, of which this one knows nothing.
TEST(DispatcherHandOver, AServerThatHasNotRepliedToThisOwnerIsNotCertain) {
  MakeDispatcher(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}}}, Now());
  Advance(100);
  CHECK(IsUncertain("b1"));
}

// A server without runs has nothing to wait for.
TEST(DispatcherHandOver, RunsHaveEndedAtOnceIfThereAreNone) {
  AddBackend("b1");
  Advance(2000);
  CHECK(dispatcher->MakeHandOver().runs_end_by <= Now());
  CHECK_FALSE(IsUncertain("b1"));
}

// Guards against tasks that are down for longer than they need to be after the owner of a draining
// server was killed.
TEST(DispatcherHandOver, RunsOfAClosedServerAreAwaitedForTheUsualLease) {
  TakeOverClosed(2, kAfterUsualLease);
  LONGS_EQUAL(1, starts.size());
}

// Guards against two runs of a task: the owner in between may have sent starts to the server.
TEST(DispatcherHandOver, OnlyTheNextOwnerTakesAServerForClosed) {
  TakeOverClosed(3, kAfterUsualLease);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease - kAfterUsualLease);
  LONGS_EQUAL(1, starts.size());
}

TEST(DispatcherHandOver, ADrainingServerIsClosedOnceAllItsStartsAreConfirmed) {
  OrderStart(20);
  Register("b1", true);
  CHECK(!dispatcher->RosterToWrite().has_value());
  silent.clear();
  Confirm(starts[0]);
  now_ms += 1000;
  dispatcher->Tick(Now(), false);
  CHECK(IsClosed("b1"));
}

// Guards against two runs of a task: the successor would not expect the start.
TEST(DispatcherHandOver, AServerThatIsBeingClosedGetsNoStart) {
  AddBackend("b1");
  Advance(300);
  Register("b1", true);
  CHECK(IsClosed("b1"));
  dispatcher->RosterSent(*dispatcher->RosterToWrite());
  // It has restarted under its id.
  started_at = 2;
  Register("b1", false);
  AddJob("j1", {Step(1, 1000)});
  const auto advance_without_roster = [&] {
    for (int n = 0; n < 20; ++n) {
      for (const PollOrder& it : AdvanceWithoutReplies(20)) ReplyTo(it);
      if (const auto routes = dispatcher->RoutesToWrite()) dispatcher->RoutesWritten(*routes);
    }
  };
  advance_without_roster();
  LONGS_EQUAL(0, starts.size());
  CHECK_FALSE(IsClosed("b1"));
  dispatcher->RosterWritten(*dispatcher->RosterToWrite());
  advance_without_roster();
  LONGS_EQUAL(1, starts.size());
}
