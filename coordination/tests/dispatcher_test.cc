#include "sapphirewheel/coordination/dispatcher.h"

#include <deque>

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Resources kServer{8000, 16'000, 0};

StepSpec Step(int count, std::int64_t cpu) {
  StepSpec step;
  step.count = count;
  step.each = {cpu, 100, 0};
  step.estimate = Millis(1000);
  return step;
}

}  // namespace

// One dispatcher whose orders are answered by the test.
TEST_GROUP(Dispatcher) {
  int now_ms = 0;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::deque<LookOrder> looks;
  std::vector<AdviceOrder> advice;
  std::optional<AdvicePolicy> advice_policy;
  std::map<BackendId, std::vector<ListedRun>> running;
  std::map<BackendId, std::vector<ListedEnd>> ended;
  std::vector<PaceOrder> paces;
  std::set<BackendId> silent;
  // Life of all backend servers, and the number of the next end in it.
  std::int64_t born = 1;
  std::int64_t next_end = 1;
  std::size_t written = 0;
  std::unique_ptr<Dispatcher> dispatcher;

  MonotonicTime Now() const { return MonotonicTime(Millis(now_ms)); }

  void setup() override { Make(1); }

  void Make(std::uint64_t token) {
    Dispatcher::Hooks hooks;
    hooks.start = [this](const StartOrder& it) { starts.push_back(it); };
    hooks.stop = [this](const StopOrder& it) { stops.push_back(it); };
    hooks.look = [this](const LookOrder& it) { looks.push_back(it); };
    hooks.pace = [this](const PaceOrder& it) { paces.push_back(it); };
    hooks.advise = [this](const AdviceOrder& it) { advice.push_back(it); };
    hooks.wall_clock = [this] { return UnixMillis(now_ms); };
    Dispatcher::Settings settings;
    settings.token = Epoch(token);
    dispatcher = std::make_unique<Dispatcher>(settings, hooks, Now());
    auto config = std::make_shared<DispatchConfig>();
    config->pools = {{PoolId("p"), false, false}};
    QueuePolicy queue;
    queue.id = QueueId("q");
    queue.pool = PoolId("p");
    queue.attempts = 2;
    queue.stretch = 2;
    queue.advice = advice_policy;
    config->queues = {queue};
    config->teams = {TeamPolicy{TeamId("t"), {}, 1, {3000, 0, 0}}};
    dispatcher->SetConfig(config);
  }

  void AddBackend(const char* id, std::vector<std::string> labels = {"a", "r1"}) {
    BackendReport report;
    report.id = BackendId(id);
    report.pool = PoolId("p");
    report.capacity = kServer;
    report.labels = std::move(labels);
    report.born = UnixMillis(born);
    dispatcher->UpsertBackend(report, Now());
  }

  void AddJob(const char* id, std::vector<StepSpec> steps, const char* team = "",
              bool inherited = false) {
    StoredJob job;
    job.id = JobId(id);
    job.queue = QueueId("q");
    job.team = TeamId(team);
    job.accepted_at = UnixMillis(now_ms);
    job.spec.steps = std::move(steps);
    dispatcher->AddJob(job, std::nullopt, inherited, Now());
  }

  // A job of one task that is due twice, with the time between.
  void AddTimedJob(const char* id, int first_due, int interval,
                   const std::optional<JobProgress>& progress) {
    StoredJob job;
    job.id = JobId(id);
    job.queue = QueueId("q");
    job.accepted_at = UnixMillis(now_ms);
    job.spec.steps = {Step(1, 1000)};
    job.spec.repetitions = 2;
    job.spec.first_due = UnixMillis(first_due);
    job.spec.interval = Millis(interval);
    dispatcher->AddJob(job, progress, progress.has_value(), Now());
  }

  // Passes time; looks are answered from `running` and `ended`, starts are confirmed.
  void Pass(int ms) {
    for (const int until = now_ms + ms; now_ms < until; now_ms += 20) {
      if (const auto roster = dispatcher->RosterToWrite()) dispatcher->RosterWritten(*roster);
      constexpr std::size_t kBatch = 100;
      written += dispatcher->TakeWrites(kBatch).size();
      dispatcher->WritesDone(true);
      const std::size_t before = starts.size();
      dispatcher->Tick(Now(), true);
      for (std::size_t n = before; n < starts.size(); ++n) Confirm(starts[n]);
      const auto due = std::move(looks);
      looks.clear();
      for (const LookOrder& it : due) Answer(it);
    }
  }

  void Confirm(const StartOrder& order) {
    if (silent.count(order.backend) > 0) return;
    running[order.backend].push_back({order.task, order.run, "", 100, 0});
    dispatcher->OnStart(order, {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  }

  void Answer(const LookOrder& order) {
    LookAnswer answer;
    if (silent.count(order.backend) == 0) {
      answer.outcome = OrderOutcome::kDone;
      answer.clock = BackendClock(now_ms);
      answer.born = UnixMillis(born);
      // Work that is not finished advances.
      for (ListedRun& it : running[order.backend]) it.percent += it.percent < 99 ? 1 : 0;
      answer.running = running[order.backend];
      auto& ends = ended[order.backend];
      std::erase_if(ends, [&](const auto& it) { return it.number <= order.acknowledged_end; });
      answer.ended = ends;
    }
    dispatcher->OnLook(order, answer, Now() + Millis(1), Now() + Millis(1));
  }

  void End(const StartOrder& order, RunEnd how) {
    std::erase_if(running[order.backend], [&](const auto& it) { return it.task == order.task; });
    ended[order.backend].push_back({next_end++, order.task, order.run, how, ""});
  }
};

TEST(Dispatcher, NeverPlacesMoreThanABackendServerHolds) {
  AddBackend("b1");
  AddJob("j1", {Step(5, 3000)});
  Pass(500);
  LONGS_EQUAL(2, starts.size());
  End(starts[0], RunEnd::kDone);
  Pass(500);
  LONGS_EQUAL(3, starts.size());
}

TEST(Dispatcher, StartsAStepWhenTheOnesBeforeAreDone) {
  AddBackend("b1");
  StepSpec second = Step(1, 1000);
  second.after = {0};
  AddJob("j1", {Step(2, 1000), second});
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  End(starts[0], RunEnd::kDone);
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  End(starts[1], RunEnd::kDone);
  Pass(300);
  LONGS_EQUAL(3, starts.size());
  LONGS_EQUAL(1, starts[2].task.step);
}

TEST(Dispatcher, KeepsTheUpperLimitOfATeam) {
  AddBackend("b1");
  AddBackend("b2");
  AddJob("j1", {Step(6, 1000)}, "t");
  Pass(500);
  LONGS_EQUAL(3, starts.size());
}

TEST(Dispatcher, FailsAJobAfterItsAttemptsAndNotBefore) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(200);
  End(starts[0], RunEnd::kStopped);
  Pass(300);
  End(starts[1], RunEnd::kFailed);
  Pass(300);
  LONGS_EQUAL(3, starts.size());
  CHECK(starts[2].run > starts[1].run);
  End(starts[2], RunEnd::kFailed);
  Pass(500);
  LONGS_EQUAL(3, starts.size());
}

TEST(Dispatcher, PlacesOnlyWhereTheRequiredLabelIs) {
  AddBackend("b1", {"a", "r1"});
  AddBackend("b2", {"b", "r2"});
  StepSpec step = Step(2, 1000);
  step.required_label = "b";
  AddJob("j1", {step});
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  for (const auto& it : starts) CHECK(it.backend == BackendId("b2"));
}

TEST(Dispatcher, KeepsTasksOfAStepApart) {
  AddBackend("b1");
  AddBackend("b2");
  StepSpec step = Step(3, 100);
  step.per_server_limit = 1;
  AddJob("j1", {step});
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[0].backend != starts[1].backend);
}

TEST(Dispatcher, StartsAGangAtOnceOrNotAtAll) {
  AddBackend("b1");
  StepSpec step = Step(3, 3000);
  step.gang = true;
  AddJob("j1", {step});
  Pass(300);
  LONGS_EQUAL(0, starts.size());
  AddBackend("b2");
  Pass(300);
  LONGS_EQUAL(3, starts.size());
  CHECK(starts[0].run == starts[2].run);
}

TEST(Dispatcher, DrainingBackendServersGetNothingNew) {
  AddBackend("b1");
  Pass(100);
  BackendReport report;
  report.id = BackendId("b1");
  report.pool = PoolId("p");
  report.capacity = kServer;
  report.draining = true;
  report.born = UnixMillis(1);
  dispatcher->UpsertBackend(report, Now());
  AddJob("j1", {Step(1, 1000)});
  Pass(500);
  LONGS_EQUAL(0, starts.size());
}

// Runs on a silent backend server go on until its lease is over.
TEST(Dispatcher, StartsElsewhereOnlyAfterTheLeaseOfASilentBackendServer) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  silent.insert(BackendId("b1"));
  AddBackend("b2");
  Pass(5500);
  LONGS_EQUAL(1, starts.size());
  Pass(5000);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

// A task whose backend server does not answer may be away.
TEST(Dispatcher, MovesNoLastingTaskWhileAnotherMayBeAway) {
  AddBackend("b1");
  AddBackend("b2");
  AddBackend("b3");
  StepSpec step = Step(2, 1000);
  step.lasting = true;
  step.per_server_limit = 1;
  step.unavailable_budget = 1;
  AddJob("j1", {step});
  Pass(500);
  LONGS_EQUAL(2, starts.size());
  silent.insert(starts[0].backend);
  Pass(2000);
  dispatcher->SetEvacuating(starts[1].backend, true);
  Pass(1000);
  LONGS_EQUAL(0, stops.size());
  silent.clear();
  Pass(4000);
  LONGS_EQUAL(1, stops.size());
}

// The list of ends goes with the backend server, so a VM is not free before they are written.
TEST(Dispatcher, ABackendServerIsNotIdleBeforeItsEndsAreWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  End(starts[0], RunEnd::kDone);
  dispatcher->Tick(Now(), true);
  now_ms += 200;
  dispatcher->Tick(Now(), true);
  for (const LookOrder& it : looks) Answer(it);
  looks.clear();
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  CHECK_FALSE(dispatcher->IsIdle(BackendId("b1")));
  LONGS_EQUAL(1, dispatcher->TakeWrites(10).size());
  CHECK_FALSE(dispatcher->IsIdle(BackendId("b1")));
  dispatcher->WritesDone(true);
  CHECK(dispatcher->IsIdle(BackendId("b1")));
}

TEST(Dispatcher, StopsWhatACancelledJobRuns) {
  AddBackend("b1");
  AddJob("j1", {Step(2, 1000)});
  Pass(300);
  dispatcher->CancelJob(JobId("j1"), Now());
  Pass(100);
  LONGS_EQUAL(2, stops.size());
}

TEST(Dispatcher, ANewOwnerWaitsForTheRosterAndAdoptsWhatRuns) {
  Make(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                         {BackendId("gone"), {PoolId("p"), std::nullopt}}},
                        Now());
  AddBackend("b1");
  running[BackendId("b1")].push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddJob("j1", {Step(2, 1000)}, "", true);
  Pass(3000);
  LONGS_EQUAL(0, starts.size());
  LONGS_EQUAL(0, stops.size());
  Pass(5000);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].task.index);
  CHECK(starts[0].run > RunNumber(1000));
}

TEST(Dispatcher, StartsWithATicketWhereThePolicyAllowsIt) {
  advice_policy = AdvicePolicy{Millis(10), Millis(1), Millis(3000)};
  Make(1);
  AddBackend("b1");
  AddBackend("b2");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  LONGS_EQUAL(0, starts.size());
  LONGS_EQUAL(1, advice.size());
  STRCMP_EQUAL("j1.0.0", advice[0].StepName().c_str());
  LONGS_EQUAL(2, advice[0].backends.size());
  dispatcher->OnAdvice(advice[0], {true, {{BackendId("b2"), "ticket"}}, Millis(3000)}, Now());
  Pass(300);
  LONGS_EQUAL(1, starts.size());
  CHECK(starts[0].backend == BackendId("b2"));
  STRCMP_EQUAL("ticket", starts[0].ticket.c_str());
}

TEST(Dispatcher, AHigherTokenEndsTheOwner) {
  AddBackend("b1");
  dispatcher->Tick(Now(), true);
  LookAnswer answer;
  answer.outcome = OrderOutcome::kFenced;
  dispatcher->OnLook(looks.front(), answer, Now(), Now());
  CHECK(dispatcher->fenced());
}

TEST(Dispatcher, AStartThatIsFencedEndsTheOwner) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  CHECK_FALSE(dispatcher->fenced());
  dispatcher->OnStop({starts[0].backend, "", Epoch(1), starts[0].task, starts[0].run},
                     {OrderOutcome::kFenced, std::nullopt}, Now());
  CHECK(dispatcher->fenced());
}

// What is not in the stored roster would be missed by the next owner.
TEST(Dispatcher, StartsNothingOnABackendServerBeforeTheRosterIsWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  for (int n = 0; n < 10; ++n, now_ms += 20) {
    dispatcher->Tick(Now(), true);
    for (const LookOrder& it : std::exchange(looks, {})) Answer(it);
  }
  LONGS_EQUAL(0, starts.size());
  Pass(200);
  LONGS_EQUAL(1, starts.size());
}

TEST(Dispatcher, ABackendServerThatIsFreedGetsNothingNew) {
  AddBackend("b1");
  Pass(100);
  dispatcher->SetEvacuating(BackendId("b1"), true);
  AddJob("j1", {Step(1, 1000)});
  Pass(500);
  LONGS_EQUAL(0, starts.size());
}

// A new life counts its ends anew, so a number that was seen may be another end.
TEST(Dispatcher, SeesTheEndsOfABackendServerThatStartedAgain) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  AddJob("j2", {Step(1, 1000)});
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  End(starts[0], RunEnd::kDone);
  Pass(300);
  born = 2;
  next_end = 1;
  running.clear();
  ended.clear();
  Pass(300);
  LONGS_EQUAL(3, starts.size());
  End(starts[2], RunEnd::kDone);
  Pass(1000);
  LONGS_EQUAL(3, starts.size());
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
}

TEST(Dispatcher, IgnoresALateAnswerOfAnEarlierLife) {
  AddBackend("b1");
  dispatcher->RosterWritten(*dispatcher->RosterToWrite());
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(1, looks.size());
  const LookOrder first = looks.front();
  looks.clear();
  // The registry tells of the new life before the answer of the earlier one is there.
  born = 2;
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  LookAnswer late;
  late.outcome = OrderOutcome::kDone;
  late.clock = BackendClock(900'000);
  late.born = UnixMillis(1);
  dispatcher->OnLook(first, late, Now(), Now());
  now_ms += 20;
  dispatcher->Tick(Now(), true);
  // A start would carry a lease by the earlier life's clock.
  LONGS_EQUAL(0, starts.size());
  Pass(1500);
  LONGS_EQUAL(1, starts.size());
}

// A lost answer must not cost the lease: the look is repeated long before its timeout.
TEST(Dispatcher, RepeatsALookWhoseAnswerIsOverdue) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  LONGS_EQUAL(1, starts.size());
  looks.clear();
  std::vector<LookOrder> sent;
  const int from = now_ms;
  while (now_ms < from + 1300) {
    dispatcher->Tick(Now(), true);
    sent.insert(sent.end(), looks.begin(), looks.end());
    looks.clear();
    now_ms += 20;
  }
  LONGS_EQUAL(2, sent.size());
  CHECK(sent[1].lease_until.has_value());
  LONGS_EQUAL(0, sent[1].wait.count());
  // Its answer counts, and the end of the first look's time afterwards says nothing.
  Answer(sent[1]);
  dispatcher->OnLook(sent[0], LookAnswer{}, Now(), Now());
  CHECK(dispatcher->Backends()[0].usable);
}

// The list of the repeated look is older than what the second one told.
TEST(Dispatcher, IgnoresAnswersThatOvertookEachOther) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  looks.clear();
  const auto before = running;
  std::vector<LookOrder> sent;
  const int from = now_ms;
  while (now_ms < from + 1300) {
    dispatcher->Tick(Now(), true);
    sent.insert(sent.end(), looks.begin(), looks.end());
    looks.clear();
    now_ms += 20;
  }
  LONGS_EQUAL(2, sent.size());
  End(starts[0], RunEnd::kDone);
  Answer(sent[1]);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  running = before;
  Answer(sent[0]);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  running.clear();
  Pass(500);
  LONGS_EQUAL(0, stops.size());
  LONGS_EQUAL(1, starts.size());
}

// An entry that was forgotten begins its looks anew; answers to the earlier ones say nothing.
TEST(Dispatcher, IgnoresAnswersToLooksOfAForgottenEntry) {
  AddBackend("b1");
  Pass(200);
  LookOrder old{BackendId("b1"), "", Epoch(1)};
  old.sequence = 50;
  dispatcher->RemoveBackend(BackendId("b1"), Now());
  Pass(200);
  AddBackend("b1");
  Answer(old);
  AddJob("j1", {Step(1, 1000)});
  Pass(500);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, dispatcher->Backends()[0].tasks);
  End(starts[0], RunEnd::kDone);
  Pass(500);
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
}

// What an earlier owner may have started there counts against the team.
TEST(Dispatcher, KeepsTheUpperLimitWhileRunsOfAnEarlierOwnerMayBeHidden) {
  Make(2);
  dispatcher->SetRoster({{BackendId("b1"), {PoolId("p"), std::nullopt}},
                         {BackendId("gone"), {PoolId("p"), std::nullopt}}},
                        Now());
  AddBackend("b1");
  AddJob("j1", {Step(2, 1000)}, "t", true);
  AddJob("j2", {Step(3, 1000)}, "t");
  Pass(3000);
  LONGS_EQUAL(1, starts.size());
  CHECK(starts[0].task.job == JobId("j2"));
  Pass(5000);
  LONGS_EQUAL(3, starts.size());
}

// A run that nobody wants takes its room until it has ended.
TEST(Dispatcher, PlacesNothingInTheRoomOfAnUnwantedRun) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 6000)});
  Pass(300);
  dispatcher->CancelJob(JobId("j1"), Now());
  Pass(100);
  LONGS_EQUAL(1, stops.size());
  dispatcher->OnStop(stops[0], {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  running.clear();
  Pass(300);
  // A start that was late.
  running[BackendId("b1")] = {{{JobId("j1"), 0, 0, 0}, RunNumber(7), "", 10, 0}};
  Pass(300);
  // Nothing else runs there, so only a change brings another look.
  AddJob("j0", {Step(1, 100)});
  Pass(300);
  const std::size_t before = starts.size();
  CHECK(std::any_of(stops.begin(), stops.end(),
                    [](const auto& it) { return it.run == RunNumber(7); }));
  AddJob("j2", {Step(1, 3000)});
  Pass(300);
  LONGS_EQUAL(before, starts.size());
  std::erase_if(running[BackendId("b1")], [](const auto& it) { return it.run == RunNumber(7); });
  Pass(500);
  LONGS_EQUAL(before + 1, starts.size());
}

// The group's backend servers show full progress from the start, so nothing advances.
TEST(Dispatcher, StopsATaskThatStandsStill) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(2000);
  LONGS_EQUAL(0, stops.size());
  Pass(2000);
  LONGS_EQUAL(1, stops.size());
}

TEST(Dispatcher, FillersKeepAwayFromTasksThatServe) {
  AddBackend("b1");
  StepSpec serving = Step(1, 1000);
  serving.lasting = true;
  serving.latency_target = Millis(100);
  AddJob("j1", {serving});
  Pass(300);
  StepSpec filler = Step(1, 1000);
  filler.fills = true;
  AddJob("j2", {filler});
  Pass(500);
  LONGS_EQUAL(1, starts.size());
  AddBackend("b2");
  Pass(500);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
  // Nor does a task that serves come beside a filler.
  serving.each.cpu_millis = 7500;
  AddJob("j3", {serving});
  Pass(500);
  LONGS_EQUAL(2, starts.size());
}

// An earlier owner may have left them side by side.
TEST(Dispatcher, SlowsAFillerBesideATaskWhoseTailNearsItsTarget) {
  Make(2);
  StepSpec serving = Step(1, 1000);
  serving.lasting = true;
  serving.latency_target = Millis(100);
  StepSpec filler = Step(1, 1000);
  filler.fills = true;
  AddJob("j1", {serving}, "", true);
  AddJob("j2", {filler}, "", true);
  auto& runs = running[BackendId("b1")];
  runs.push_back({{JobId("j1"), 0, 0, 0}, RunNumber(3), "", 100, 80});
  runs.push_back({{JobId("j2"), 0, 0, 0}, RunNumber(3), "", 10, 0});
  AddBackend("b1");
  Pass(300);
  LONGS_EQUAL(1, paces.size());
  LONGS_EQUAL(0, paces[0].percent);
  CHECK(paces[0].task.job == JobId("j2"));
  running[BackendId("b1")][0].load = 40;
  Pass(300);
  LONGS_EQUAL(2, paces.size());
  LONGS_EQUAL(100, paces[1].percent);
}

TEST(Dispatcher, StartsATimedJobWhenItIsDue) {
  AddBackend("b1");
  AddTimedJob("j1", 2000, 3000, std::nullopt);
  Pass(1900);
  LONGS_EQUAL(0, starts.size());
  Pass(400);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(0, starts[0].task.occurrence);
  End(starts[0], RunEnd::kDone);
  Pass(2500);
  LONGS_EQUAL(1, starts.size());
  Pass(600);
  LONGS_EQUAL(2, starts.size());
  LONGS_EQUAL(1, starts[1].task.occurrence);
}

TEST(Dispatcher, RepeatsNoOccurrenceThatAnEarlierOwnerFinished) {
  AddBackend("b1");
  JobProgress progress;
  progress.FinishOccurrence(0);
  now_ms = 4000;
  AddTimedJob("j1", 2000, 3000, progress);
  Pass(800);
  LONGS_EQUAL(0, starts.size());
  Pass(600);
  LONGS_EQUAL(1, starts.size());
  LONGS_EQUAL(1, starts[0].task.occurrence);
}
