#pragma once

#include <map>
#include <set>
#include <string>

#include "sapphirewheel/coordination/caller_call.h"
#include "sapphirewheel/coordination/fleet_ports.h"
#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/metrics.h"

namespace sapphirewheel {

// Metrics of a daemon on the users' platform.
class DeployedMetrics {
 public:
  // Creates the gauges with the value 0, so that a missing gauge is not mistaken for zero.
  DeployedMetrics();
  // Counts a decision or state change by the event that is logged for it.
  void CountEvent(Event event);
  // Records a caller's call when it is answered.
  void ObserveCall(const CallerCall& call, const CallerReply& reply, double seconds);
  void ObserveStoreCall(const char* kind, StoreOutcome outcome, double seconds);
  void SetOwner(bool owner);
  // By pool; 0 for the pools that are no longer listed.
  void SetDeferredJobs(const std::map<PoolId, int>& deferred);
  void SetSuppressedLines(double lines);
  // Longest time between two ticks of the node's thread in the last second.
  void SetLongestTickGap(Millis gap);

  [[nodiscard]] MetricsRegistry& registry() noexcept { return registry_; }
  // Data centres whose evacuation is requested, and tasks that run there, as the owner sees it.
  void SetEvacuations(std::size_t data_centres, int tasks);

  // Prometheus text format.
  [[nodiscard]] std::string Render() const { return registry_.Render(); }

 private:
  MetricsRegistry registry_;
  std::set<PoolId> pools_;
};

// Forwards calls to another row store and records their duration.
class MeteredRowStore final : public RowStore {
 public:
  MeteredRowStore(RowStore& next, DeployedMetrics& metrics) : next_(next), metrics_(metrics) {}

  void Commit(const RowTransaction& transaction, Millis timeout, RowsCallback done) override;
  void Read(const RowRange& range, const ReplyLimits& limits, RowsCallback done) override;
  void ListParts(const std::string& table, const std::string& after, const ReplyLimits& limits,
                 PartsCallback done) override;
  // Not measured: its duration is mostly the wait that was asked for.
  void Follow(const std::string& table, Revision after, Millis wait, const ReplyLimits& limits,
              RowsCallback done) override;

 private:
  RowStore& next_;
  DeployedMetrics& metrics_;
};

}  // namespace sapphirewheel
