#include <algorithm>

#include "dispatcher_fixture.h"

using namespace sapphirewheel;           // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

// Where runs of an earlier owner may be after a queue was moved to another pool.
TEST_GROUP_BASE(DispatcherRoutes, DispatcherFixture) {
  const QueueId queue{"q"};
  const PoolId former{"p"};
  const PoolId present{"p2"};

  // An empty pool removes the queue.
  void SetPool(const PoolId& pool, int attempts = 2) {
    auto config = std::make_shared<DispatchConfig>();
    config->pools = {{former, false, false}, {present, false, false}};
    QueuePolicy policy;
    policy.id = queue;
    policy.pool = pool;
    policy.attempts = attempts;
    if (!pool.empty()) config->queues = {policy};
    policy.id = QueueId("q2");
    policy.pool = present;
    config->queues.push_back(policy);
    config->teams = {TeamPolicy{TeamId("t"), {}, 1, {3000, 0, 0}}};
    dispatcher->SetConfig(config);
  }

  // Fails the last run that was started, and waits until the task could start again.
  void FailLastRun() {
    EndRun(starts.back(), RunEnd::kFailed);
    Advance(1000);
  }

  bool HasEnded(const char* job) const {
    return std::any_of(decisions.begin(), decisions.end(), [&](const Decision& it) {
      return it.kind == DecisionKind::kJobEnded && it.job == JobId(job);
    });
  }

  QueueRoutes Routes(const std::vector<PoolId>& pools) {
    QueueRoutes routes;
    for (const PoolId& it : pools) routes.Add(queue, it);
    return routes;
  }

  // The owner with token 2 knows of a silent server of the former pool, and has one of the present.
  void TakeOver() {
    MakeDispatcher(2);
    dispatcher->SetRoster({{BackendId("b1"), {former, std::nullopt, VmId()}}}, Now());
    silent.insert(BackendId("b1"));
    AddBackend("b2", {}, "", "p2");
  }

  void AddJobOf(const char* id, const QueueId& of, const StepSpec& step, const char* team) {
    StoredJob job;
    job.id = JobId(id);
    job.queue = of;
    job.team = TeamId(team);
    job.accepted_at = UnixMillis(now_ms);
    job.spec.steps = {step};
    dispatcher->AddJob(job, std::nullopt, false, Now());
  }
};

// Guards against two runs of a task: a new owner looked for silent servers only in the pool to
// which the queue is routed now.
TEST(DispatcherRoutes, ANewOwnerWaitsForSilentServersOfTheFormerPool) {
  TakeOver();
  dispatcher->SetRoutes(Routes({former, present}));
  SetPool(present);
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease);
  LONGS_EQUAL(1, starts.size());
}

TEST(DispatcherRoutes, AGangWaitsForSilentServersOfTheFormerPool) {
  TakeOver();
  dispatcher->SetRoutes(Routes({former, present}));
  SetPool(present);
  StepSpec step = Step(2, 1000);
  step.gang = true;
  AddJob("j1", {step}, "", true);
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease);
  LONGS_EQUAL(2, starts.size());
}

// The configuration may also change after the takeover.
TEST(DispatcherRoutes, AMoveAfterTheTakeoverDoesNotEndTheWait) {
  TakeOver();
  dispatcher->SetRoutes(Routes({former}));
  SetPool(former);
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(1000);
  SetPool(present);
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease);
  LONGS_EQUAL(1, starts.size());
}

// Guards against teams above their upper limit by runs on silent servers of a former pool.
TEST(DispatcherRoutes, RunsThatMayBeInTheFormerPoolCountForTheUpperLimit) {
  TakeOver();
  dispatcher->SetRoutes(Routes({former, present}));
  SetPool(present);
  AddJob("j1", {Step(3, 1000)}, "t", true);
  AddJobOf("j2", QueueId("q2"), Step(1, 1000), "t");
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease);
  LONGS_EQUAL(3, starts.size());
}

// The same for a queue that the configuration no longer has.
TEST(DispatcherRoutes, RunsOfARemovedQueueCountForTheUpperLimit) {
  TakeOver();
  dispatcher->SetRoutes(Routes({former}));
  SetPool(PoolId());
  AddJob("j1", {Step(3, 1000)}, "t", true);
  AddJobOf("j2", QueueId("q2"), Step(1, 1000), "t");
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
  Advance(kAfterLongestLease);
  LONGS_EQUAL(1, starts.size());
}

TEST(DispatcherRoutes, JobsDoNotWaitForSilentServersOfPoolsInWhichTheirQueueNeverWas) {
  TakeOver();
  dispatcher->SetRoutes(Routes({present}));
  SetPool(present);
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(500);
  LONGS_EQUAL(1, starts.size());
}

// An owner of an older version stores no routes.
TEST(DispatcherRoutes, WithoutStoredRoutesRunsMayBeInAnyPool) {
  TakeOver();
  SetPool(present);
  AddJob("j1", {Step(1, 1000)}, "", true);
  Advance(3000);
  LONGS_EQUAL(0, starts.size());
}

TEST(DispatcherRoutes, NothingStartsInAPoolBeforeTheRouteIsWritten) {
  SetPool(former);
  AddBackend("b1");
  AddBackend("b2", {}, "", "p2");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  SetPool(present);
  AddJob("j2", {Step(1, 1000)});
  for (int n = 0; n < 20; ++n) {
    dispatcher->Tick(Now(), true);
    now_ms += 20;
  }
  LONGS_EQUAL(1, starts.size());
  const auto routes = dispatcher->RoutesToWrite();
  CHECK(routes.has_value());
  CHECK(*routes == Routes({former, present}));
  dispatcher->RoutesSent(*routes);
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(1, starts.size());
  dispatcher->RoutesWritten(*routes);
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

TEST(DispatcherRoutes, AFormerPoolIsKeptWhileItHasRunsOfTheQueue) {
  SetPool(former);
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  SetPool(present);
  CHECK(*dispatcher->RoutesToWrite() == Routes({former, present}));
  Advance(1000);
  CHECK_FALSE(dispatcher->RoutesToWrite().has_value());
  EndRun(starts[0], RunEnd::kDone);
  for (int n = 0; n < 20; ++n) {
    dispatcher->Tick(Now(), true);
    const auto due = std::move(polls);
    polls.clear();
    for (const PollOrder& it : due) ReplyTo(it);
    now_ms += 20;
  }
  const auto routes = dispatcher->RoutesToWrite();
  CHECK(routes.has_value());
  CHECK(*routes == Routes({present}));
}

// A former pool is needed as long as a silent server of it may have runs, also before the first
// round of placement.
TEST(DispatcherRoutes, AFormerPoolIsKeptWhileAServerOfItIsSilent) {
  TakeOver();
  dispatcher->SetRoutes(Routes({former, present}));
  SetPool(present);
  CHECK(*dispatcher->RoutesToWrite() == Routes({former, present}));
  Advance(kAfterLongestLease);
  CHECK(dispatcher->RoutesToWrite() == std::nullopt);
}

// Without a reply to the write, the successor may or may not know the former pool.
TEST(DispatcherRoutes, ARouteThatAWriteUnderWayDropsIsNotUsedAgainBeforeAnotherWrite) {
  SetPool(former);
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(300);
  EndRun(starts[0], RunEnd::kDone);
  Advance(300);
  SetPool(present);
  AddJob("j2", {Step(1, 1000)});
  const auto dropping = dispatcher->RoutesToWrite();
  CHECK(*dropping == Routes({present}));
  dispatcher->RoutesSent(*dropping);
  SetPool(former);
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(1, starts.size());
  Advance(300);
  LONGS_EQUAL(2, starts.size());
}

// Guards against a start in a pool that the queue has left while its task was moved within it.
TEST(DispatcherRoutes, AMovedTaskDoesNotStartInTheFormerPool) {
  SetPool(former);
  AddBackend("b1");
  StepSpec step = Step(1, 1000);
  step.long_running = true;
  AddJob("j1", {step});
  Advance(300);
  LONGS_EQUAL(1, starts.size());
  AddBackend("b2");
  AddBackend("b3", {}, "", "p2");
  Advance(300);
  dispatcher->SetEvacuating(BackendId("b1"), true);
  Advance(300);
  LONGS_EQUAL(1, stops.size());
  SetPool(present);
  EndRun(starts[0], RunEnd::kStopped);
  Advance(500);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b3"));
}

// Guards against a start after the last attempt: the last run failed while the queue had no route,
// and its failures were not compared with the limit again when the route was back.
TEST(DispatcherRoutes, ATaskWithoutAttemptsLeftDoesNotStartWhenItsRouteIsBack) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(200);
  FailLastRun();
  LONGS_EQUAL(2, starts.size());
  SetPool(PoolId());
  FailLastRun();
  CHECK_FALSE(HasEnded("j1"));
  SetPool(former);
  Advance(2000);
  LONGS_EQUAL(2, starts.size());
  CHECK(HasEnded("j1"));
}

// Guards against the same after a limit was lowered to the number of failed runs. A run that is
// under way may still be done.
TEST(DispatcherRoutes, ALowerLimitOfAttemptsCountsForTheNextStart) {
  SetPool(former, 3);
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Advance(200);
  FailLastRun();
  FailLastRun();
  LONGS_EQUAL(3, starts.size());
  SetPool(former, 2);
  Advance(2000);
  CHECK_FALSE(HasEnded("j1"));
  EndRun(starts.back(), RunEnd::kStopped);
  Advance(2000);
  LONGS_EQUAL(3, starts.size());
  CHECK(HasEnded("j1"));
}

// Guards against the same in a new owner, whose configuration may be newer than the failures.
TEST(DispatcherRoutes, ANewOwnerDoesNotStartATaskWithoutAttemptsLeft) {
  MakeDispatcher(2);
  AddBackend("b1");
  JobProgress progress;
  progress.CountFailure({JobId("j1"), 0, 0, 0}, RunNumber(1));
  progress.CountFailure({JobId("j1"), 0, 0, 0}, RunNumber(2));
  StoredJob job;
  job.id = JobId("j1");
  job.queue = queue;
  job.spec.steps = {Step(1, 1000)};
  dispatcher->AddJob(job, progress, true, Now());
  Advance(2000);
  LONGS_EQUAL(0, starts.size());
  CHECK(HasEnded("j1"));
}
