#include <algorithm>
#include <utility>

#include "dispatcher_fixture.h"

using namespace sapphirewheel;           // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

// What a dispatcher knows of backend servers, and what it takes over from an earlier owner.
TEST_GROUP_BASE(DispatcherRecovery, DispatcherFixture){};

// Runs on a silent backend server go on until its lease is over.
TEST(DispatcherRecovery, StartsElsewhereOnlyAfterTheLeaseOfASilentBackendServer) {
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
TEST(DispatcherRecovery, MovesNoLastingTaskWhileAnotherMayBeAway) {
  AddBackend("b1");
  AddBackend("b2");
  AddBackend("b3");
  StepSpec step = Step(2, 1000);
  step.long_running = true;
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
TEST(DispatcherRecovery, ABackendServerIsNotIdleBeforeItsEndsAreWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  End(starts[0], RunEnd::kDone);
  dispatcher->Tick(Now(), true);
  now_ms += 200;
  dispatcher->Tick(Now(), true);
  for (const PollOrder& it : polls) Answer(it);
  polls.clear();
  LONGS_EQUAL(0, dispatcher->Backends()[0].tasks);
  CHECK_FALSE(dispatcher->IsIdle(BackendId("b1")));
  LONGS_EQUAL(1, dispatcher->TakeWrites(10).size());
  CHECK_FALSE(dispatcher->IsIdle(BackendId("b1")));
  dispatcher->WritesDone(true);
  CHECK(dispatcher->IsIdle(BackendId("b1")));
}

TEST(DispatcherRecovery, ANewOwnerWaitsForTheRosterAndAdoptsWhatRuns) {
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

TEST(DispatcherRecovery, AHigherTokenEndsTheOwner) {
  AddBackend("b1");
  dispatcher->Tick(Now(), true);
  PollReply answer;
  answer.outcome = OrderOutcome::kFenced;
  dispatcher->OnPoll(polls.front(), answer, Now(), Now());
  CHECK(dispatcher->fenced());
}

TEST(DispatcherRecovery, AStartThatIsFencedEndsTheOwner) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  CHECK_FALSE(dispatcher->fenced());
  dispatcher->OnStop({starts[0].backend, "", Epoch(1), starts[0].task, starts[0].run},
                     {OrderOutcome::kFenced, std::nullopt}, Now());
  CHECK(dispatcher->fenced());
}

// What is not in the stored roster would be missed by the next owner.
TEST(DispatcherRecovery, StartsNothingOnABackendServerBeforeTheRosterIsWritten) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  for (int n = 0; n < 10; ++n, now_ms += 20) {
    dispatcher->Tick(Now(), true);
    for (const PollOrder& it : std::exchange(polls, {})) Answer(it);
  }
  LONGS_EQUAL(0, starts.size());
  Pass(200);
  LONGS_EQUAL(1, starts.size());
}

// A new life counts its ends anew, so a number that was seen may be another end.
TEST(DispatcherRecovery, SeesTheEndsOfABackendServerThatStartedAgain) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  AddJob("j2", {Step(1, 1000)});
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  End(starts[0], RunEnd::kDone);
  Pass(300);
  started_at = 2;
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

TEST(DispatcherRecovery, IgnoresALateAnswerOfAnEarlierLife) {
  AddBackend("b1");
  dispatcher->RosterWritten(*dispatcher->RosterToWrite());
  dispatcher->Tick(Now(), true);
  LONGS_EQUAL(1, polls.size());
  const PollOrder first = polls.front();
  polls.clear();
  // The registry tells of the new life before the answer of the earlier one is there.
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
  // A start would carry a lease by the earlier life's clock.
  LONGS_EQUAL(0, starts.size());
  Pass(1500);
  LONGS_EQUAL(1, starts.size());
}

// A lost answer must not cost the lease: the look is repeated long before its timeout.
TEST(DispatcherRecovery, RepeatsALookWhoseAnswerIsOverdue) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  LONGS_EQUAL(1, starts.size());
  const std::vector<PollOrder> sent = PassUnanswered(1300);
  LONGS_EQUAL(2, sent.size());
  CHECK(sent[1].lease_until.has_value());
  LONGS_EQUAL(0, sent[1].wait.count());
  // Its answer counts, and the end of the first look's time afterwards says nothing.
  Answer(sent[1]);
  dispatcher->OnPoll(sent[0], PollReply{}, Now(), Now());
  CHECK(dispatcher->Backends()[0].usable);
}

// The list of the repeated look is older than what the second one told.
TEST(DispatcherRecovery, IgnoresAnswersThatOvertookEachOther) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  const auto before = running;
  const std::vector<PollOrder> sent = PassUnanswered(1300);
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
TEST(DispatcherRecovery, IgnoresAnswersToLooksOfAForgottenEntry) {
  AddBackend("b1");
  Pass(200);
  PollOrder old{BackendId("b1"), "", Epoch(1)};
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
TEST(DispatcherRecovery, KeepsTheUpperLimitWhileRunsOfAnEarlierOwnerMayBeHidden) {
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
TEST(DispatcherRecovery, PlacesNothingInTheRoomOfAnUnwantedRun) {
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
TEST(DispatcherRecovery, StopsATaskThatStandsStill) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(2000);
  LONGS_EQUAL(0, stops.size());
  Pass(2000);
  LONGS_EQUAL(1, stops.size());
}

// An earlier owner may have left them side by side.
TEST(DispatcherRecovery, SlowsAFillerBesideATaskWhoseTailNearsItsTarget) {
  Make(2);
  StepSpec serving = Step(1, 1000);
  serving.long_running = true;
  serving.latency_target = Millis(100);
  StepSpec filler = Step(1, 1000);
  filler.best_effort = true;
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

TEST(DispatcherRecovery, RepeatsNoOccurrenceThatAnEarlierOwnerFinished) {
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

// An address may pass to another life, which tells so; what ran there is over.
TEST(DispatcherRecovery, RunsAgainWhatWasOnALifeThatAnotherOneReplaced) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  AddBackend("b2");
  Pass(100);
  dispatcher->OnStop({starts[0].backend, "", Epoch(1), starts[0].task, starts[0].run},
                     {OrderOutcome::kWrongIncarnation, std::nullopt}, Now());
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}

TEST(DispatcherRecovery, LearnsFromALookThatAnotherLifeIsThere) {
  AddBackend("b1");
  AddJob("j1", {Step(1, 1000)});
  Pass(300);
  AddBackend("b2");
  Pass(100);
  PollOrder newest;
  for (const PollOrder& it : PassUnanswered(1300)) {
    if (it.backend == BackendId("b1")) newest = it;
  }
  PollReply other;
  other.outcome = OrderOutcome::kWrongIncarnation;
  dispatcher->OnPoll(newest, other, Now(), Now());
  Pass(300);
  LONGS_EQUAL(2, starts.size());
  CHECK(starts[1].backend == BackendId("b2"));
}
