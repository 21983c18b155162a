#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatcher.h"

#include "CppUTest/TestHarness.h"

namespace sapphirewheel::testing {

inline constexpr Resources kServer{8000, 16'000, 0};

// Longer than the usual lease of a backend server's runs.
inline constexpr int kAfterUsualLease = 7000;
// Longer than a new owner waits for the runs on a server that it has not heard of: the delivery of
// an order and the longest lease.
inline constexpr int kAfterLongestLease = 12'000;

inline StepSpec Step(int count, std::int64_t cpu) {
  StepSpec step;
  step.count = count;
  step.per_task = {cpu, 100, 0};
  step.estimate = Millis(1000);
  return step;
}

// A dispatcher whose orders get their replies from the test.
class DispatcherFixture : public Utest {
 public:
  int now_ms = 0;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::deque<PollOrder> polls;
  std::map<BackendId, int> polled;
  // Of the last poll.
  Millis poll_wait{0};
  std::vector<AdviceOrder> advice;
  std::optional<AdvicePolicy> advice_policy;
  FirstContact::Settings first_contact;
  std::map<BackendId, std::vector<ListedRun>> running;
  std::map<BackendId, std::vector<ListedEnd>> ended;
  std::vector<PaceOrder> paces;
  std::vector<Decision> decisions;
  std::set<BackendId> silent;
  // Highest run numbers that backend servers have seen of any task; starts up to them are refused.
  std::map<BackendId, RunNumber> numbers_seen;
  // Start time of the present incarnation of all backend servers, and the number of its next end.
  std::int64_t started_at = 1;
  std::int64_t next_end = 1;
  std::size_t written = 0;
  // Highest run number that was reserved in a written row.
  RunNumber reserved;
  std::size_t largest_row = 0;
  bool defer_under_overload = true;
  Millis max_lease{10'000};
  std::size_t max_row_bytes = kMaxRowBytes;
  std::unique_ptr<Dispatcher> dispatcher;

  MonotonicTime Now() const { return MonotonicTime(Millis(now_ms)); }

  void setup() override { MakeDispatcher(1); }

  void MakeDispatcher(std::uint64_t token) {
    Dispatcher::Hooks hooks;
    hooks.start = [this](const StartOrder& it) { starts.push_back(it); };
    hooks.stop = [this](const StopOrder& it) { stops.push_back(it); };
    hooks.poll = [this](const PollOrder& it) {
      ++polled[it.backend];
      poll_wait = it.wait;
      polls.push_back(it);
    };
    hooks.pace = [this](const PaceOrder& it) { paces.push_back(it); };
    hooks.advise = [this](const AdviceOrder& it) { advice.push_back(it); };
    hooks.report = [this](const Decision& it) { decisions.push_back(it); };
    hooks.wall_clock = [this] { return UnixMillis(now_ms); };
    Dispatcher::Settings settings;
    settings.token = Epoch(token);
    settings.first_contact = first_contact;
    settings.defer_under_overload = defer_under_overload;
    settings.max_lease = max_lease;
    settings.max_row_bytes = max_row_bytes;
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

  void AddBackend(const char* id, std::vector<std::string> labels = {"a", "r1"},
                  const char* address = "", const char* pool = "p") {
    BackendReport report;
    report.id = BackendId(id);
    report.address = address;
    report.pool = PoolId(pool);
    report.capacity = kServer;
    report.labels = std::move(labels);
    report.started_at = UnixMillis(started_at);
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

  // Adds a job of one task that is due twice, `interval` apart.
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

  // Advances the time without replying to polls, and returns the polls that were sent.
  std::vector<PollOrder> AdvanceWithoutReplies(int ms) {
    polls.clear();
    std::vector<PollOrder> sent;
    for (const int until = now_ms + ms; now_ms < until; now_ms += 20) {
      dispatcher->Tick(Now(), true);
      sent.insert(sent.end(), polls.begin(), polls.end());
      polls.clear();
    }
    return sent;
  }

  // Advances the time; replies to polls from `running` and `ended`, and confirms starts.
  void Advance(int ms) {
    for (const int until = now_ms + ms; now_ms < until; now_ms += 20) {
      if (const auto roster = dispatcher->RosterToWrite()) dispatcher->RosterWritten(*roster);
      if (const auto routes = dispatcher->RoutesToWrite()) dispatcher->RoutesWritten(*routes);
      constexpr std::size_t kBatch = 100;
      constexpr std::size_t kBatchBytes = 100'000;
      for (const ProgressWrite& it : dispatcher->TakeWrites(kBatch, kBatchBytes)) {
        ++written;
        largest_row = std::max(largest_row, it.value.size());
        if (const auto progress = JobProgress::Decode(it.value)) {
          reserved = std::max(reserved, progress.value().reserved_runs);
        }
      }
      dispatcher->WritesDone(true);
      const std::size_t before = starts.size();
      dispatcher->Tick(Now(), true);
      for (std::size_t n = before; n < starts.size(); ++n) Confirm(starts[n]);
      const auto due = std::move(polls);
      polls.clear();
      for (const PollOrder& it : due) ReplyTo(it);
    }
  }

  void Confirm(const StartOrder& order) {
    if (silent.count(order.backend) > 0) return;
    if (const auto it = numbers_seen.find(order.backend);
        it != numbers_seen.end() && order.run <= it->second) {
      dispatcher->OnStart(order, {OrderOutcome::kStaleRun, BackendClock(now_ms)}, Now());
      return;
    }
    running[order.backend].push_back({order.task, order.run, "", 100, 0});
    dispatcher->OnStart(order, {OrderOutcome::kDone, BackendClock(now_ms)}, Now());
  }

  void ReplyTo(const PollOrder& order) {
    PollReply reply;
    if (silent.count(order.backend) == 0) {
      reply.outcome = OrderOutcome::kDone;
      reply.clock = BackendClock(now_ms);
      reply.started_at = UnixMillis(started_at);
      // Unfinished tasks make progress.
      for (ListedRun& it : running[order.backend]) it.percent += it.percent < 99 ? 1 : 0;
      reply.running = running[order.backend];
      auto& ends = ended[order.backend];
      std::erase_if(ends, [&](const auto& it) { return it.number <= order.acknowledged_end; });
      constexpr std::size_t kMaxListed = 500;
      reply.ended.assign(ends.begin(), ends.begin() + std::min(ends.size(), kMaxListed));
    }
    dispatcher->OnPoll(order, reply, Now() + Millis(1), Now() + Millis(1));
  }

  // Ends of tasks of another job, as many as a server lists at once.
  void EndManyRuns(const char* id) {
    constexpr int kMaxListed = 500;
    for (int n = 0; n < kMaxListed; ++n) {
      ended[BackendId(id)].push_back(
          {next_end++, {JobId("other"), 0, 0, n}, RunNumber(1), RunEnd::kDone, ""});
    }
  }

  void EndRun(const StartOrder& order, RunEnd how) {
    std::erase_if(running[order.backend], [&](const auto& it) { return it.task == order.task; });
    ended[order.backend].push_back({next_end++, order.task, order.run, how, ""});
  }
};

}  // namespace sapphirewheel::testing
