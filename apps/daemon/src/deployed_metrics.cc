#include "deployed_metrics.h"

#include <chrono>
#include <utility>

namespace sapphirewheel {
namespace {

using SteadyClock = std::chrono::steady_clock;

double SecondsSince(SteadyClock::time_point start) {
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

const char* KindName(CallKind kind) {
  switch (kind) {
    case CallKind::kSubmit:
      return "submit";
    case CallKind::kRead:
      return "read";
    case CallKind::kCancel:
      return "cancel";
  }
  return "read";
}

std::string OutcomeLabel(const CallerReply& reply) {
  if (reply.kind == CallerReply::Kind::kError) return ErrorCode(reply.error.kind);
  return reply.kind == CallerReply::Kind::kGone ? "gone" : "done";
}

const char* OutcomeLabel(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kNotDone:
      return "not-done";
    case StoreOutcome::kRejected:
      return "rejected";
    case StoreOutcome::kUnknown:
      return "unknown";
    case StoreOutcome::kHistoryGone:
      return "history-gone";
  }
  return "unknown";
}

}  // namespace

DeployedMetrics::DeployedMetrics() {
  SetOwner(false);
  SetSuppressedLines(0);
  SetLongestTickGap(Millis(0));
  SetEvacuations(0, 0);
}

void DeployedMetrics::CountEvent(Event event) {
  registry_
      .GetCounter("sapphirewheel_events_total", "Decisions and state changes by event.",
                  {{"event", Describe(event).name}})
      .Add();
}

void DeployedMetrics::ObserveCall(const CallerCall& call, const CallerReply& reply,
                                  double seconds) {
  registry_
      .GetHistogram("sapphirewheel_call_seconds", "Time from a caller's call to its response.",
                    DurationBounds(),
                    {{"kind", KindName(call.kind)}, {"outcome", OutcomeLabel(reply)}})
      .Observe(seconds);
}

void DeployedMetrics::ObserveStoreCall(const char* kind, StoreOutcome outcome, double seconds) {
  registry_
      .GetHistogram("sapphirewheel_store_seconds", "Duration of calls to the table service.",
                    DurationBounds(), {{"kind", kind}, {"outcome", OutcomeLabel(outcome)}})
      .Observe(seconds);
}

void DeployedMetrics::SetOwner(bool owner) {
  registry_.GetGauge("sapphirewheel_owner", "1 while this node is the owner that places work.")
      .Set(owner ? 1 : 0);
}

void DeployedMetrics::SetDeferredJobs(const std::map<PoolId, int>& deferred) {
  for (const auto& [pool, jobs] : deferred) pools_.insert(pool);
  for (const PoolId& it : pools_) {
    const auto jobs = deferred.find(it);
    registry_
        .GetGauge("sapphirewheel_deferred_jobs",
                  "Jobs that this owner defers because there is no room for them to be in time.",
                  {{"pool", it.str()}})
        .Set(jobs == deferred.end() ? 0 : jobs->second);
  }
}

void DeployedMetrics::SetSuppressedLines(double lines) {
  registry_.GetGauge("sapphirewheel_log_lines_left_out", "Log lines suppressed by the rate limit.")
      .Set(lines);
}

void DeployedMetrics::SetEvacuations(std::size_t data_centres, int tasks) {
  registry_
      .GetGauge("sapphirewheel_evacuated_data_centres",
                "Data centres whose evacuation operators have requested.")
      .Set(static_cast<double>(data_centres));
  registry_
      .GetGauge("sapphirewheel_evacuated_tasks",
                "Tasks that run in evacuated data centres; 0 on a node that is not the owner.")
      .Set(tasks);
}

void DeployedMetrics::SetLongestTickGap(Millis gap) {
  constexpr double kMillisPerSecond = 1000;
  registry_
      .GetGauge("sapphirewheel_longest_tick_gap_seconds",
                "Longest time between two ticks of the node's thread in the last second.")
      .Set(static_cast<double>(gap.count()) / kMillisPerSecond);
}

void MeteredRowStore::Commit(const RowTransaction& transaction, Millis timeout, RowsCallback done) {
  const auto start = SteadyClock::now();
  next_.Commit(transaction, timeout, [this, start, done = std::move(done)](const RowsReply& it) {
    metrics_.ObserveStoreCall("commit", it.outcome, SecondsSince(start));
    done(it);
  });
}

void MeteredRowStore::Read(const RowRange& range, const ReplyLimits& limits, RowsCallback done) {
  const auto start = SteadyClock::now();
  next_.Read(range, limits, [this, start, done = std::move(done)](const RowsReply& it) {
    metrics_.ObserveStoreCall("read", it.outcome, SecondsSince(start));
    done(it);
  });
}

void MeteredRowStore::ListParts(const std::string& table, const std::string& after,
                                const ReplyLimits& limits, PartsCallback done) {
  const auto start = SteadyClock::now();
  next_.ListParts(table, after, limits,
                  [this, start, done = std::move(done)](const PartsReply& it) {
                    metrics_.ObserveStoreCall("parts", it.outcome, SecondsSince(start));
                    done(it);
                  });
}

void MeteredRowStore::Follow(const std::string& table, Revision after, Millis wait,
                             const ReplyLimits& limits, RowsCallback done) {
  next_.Follow(table, after, wait, limits, std::move(done));
}

}  // namespace sapphirewheel
