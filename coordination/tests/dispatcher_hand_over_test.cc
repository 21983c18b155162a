#include "dispatcher_fixture.h"

using namespace sapphirewheel;           // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

// What an owner that ends as planned tells its successor of the runs that it has started.
namespace {

class HandOverFixture : public DispatcherFixture {
 public:
  [[nodiscard]] bool IsUncertain(const char* id) const {
    return dispatcher->MakeHandOver().uncertain.count(BackendId(id)) > 0;
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
  AddBackend("b1");
  Advance(300);
  silent.insert(BackendId("b1"));
  AddJob("j1", {Step(1, 1000)});
  Advance(60);
  LONGS_EQUAL(1, starts.size());
  TakeOver();
  Advance(kAfterUsualLease);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease - kAfterUsualLease);
  LONGS_EQUAL(1, starts.size());
}

// The same if the run is already being stopped, and the reply to its start is awaited.
TEST(DispatcherHandOver, AStartOnTheWayOfACancelledJobIsNotCertain) {
  AddBackend("b1");
  Advance(300);
  silent.insert(BackendId("b1"));
  AddJob("j1", {Step(1, 1000)});
  Advance(60);
  LONGS_EQUAL(1, starts.size());
  dispatcher->CancelJob(JobId("j1"), Now());
  CHECK(IsUncertain("b1"));
}

TEST(DispatcherHandOver, AStartWithoutAReplyIsNotCertain) {
  AddBackend("b1");
  Advance(300);
  silent.insert(BackendId("b1"));
  AddJob("j1", {Step(1, 1000)});
  Advance(60);
  LONGS_EQUAL(1, starts.size());
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
  AddBackend("b1");
  Advance(300);
  silent.insert(BackendId("b1"));
  AddJob("j1", {Step(1, 1000)});
  Advance(60);
  LONGS_EQUAL(1, starts.size());
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
