#include "dispatcher_fixture.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::DispatcherFixture;
using sapphirewheel::testing::Step;

namespace {

constexpr std::int64_t kLease = 6000;

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
  constexpr int kLongestLease = 10'000;
  CHECK(now_ms - known >= kLongestLease - kLease - 700);
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
