#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/state/table.h"

namespace sapphirewheel::testing {

// Runs events in the order of a simulated clock; all randomness comes from one seed.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  [[nodiscard]] MonotonicTime Now() const { return now_; }
  [[nodiscard]] std::uint64_t Random() { return random_(); }
  // Uniform in [0, n).
  [[nodiscard]] std::int64_t Below(std::int64_t n) {
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(n));
  }
  [[nodiscard]] bool Chance(int percent) { return Below(100) < percent; }

  void After(std::int64_t delay_ms, std::function<void()> event) {
    events_.emplace(std::pair(now_ + Millis(delay_ms), ++sequence_), std::move(event));
  }
  void RunFor(std::int64_t ms) {
    const MonotonicTime end = now_ + Millis(ms);
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

 private:
  std::mt19937_64 random_;
  MonotonicTime now_{};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> events_;
};

// State of a simulated process. Replies to a paused process are deferred, those to a dead one are
// dropped.
struct Process {
  bool alive = true;
  bool paused = false;
  std::vector<std::function<void()>> deferred;

  void Deliver(const std::function<void()>& event) {
    if (!alive) return;
    if (paused) {
      deferred.push_back(event);
    } else {
      event();
    }
  }
  void Resume() {
    paused = false;
    std::vector<std::function<void()>> events;
    events.swap(deferred);
    for (const auto& event : events) Deliver(event);
  }
};

// The platform's table with delays, outages, and lost, repeated and late requests and replies. A
// late transaction reaches the table after its sender was told that the outcome is uncertain.
class SimTable {
 public:
  explicit SimTable(Simulation& sim) : sim_(sim) {}

  bool out = false;
  // Probability in percent of each kind of fault of a call.
  int fault_percent = 5;
  // Called after each committed transaction.
  std::function<void(const Transaction&)> on_commit;
  std::map<RowKey, Row> rows;

  [[nodiscard]] Row Get(const RowKey& key) const {
    const auto it = rows.find(key);
    return it == rows.end() ? Row{key, Revision(0), "", AttemptId()} : it->second;
  }

  TransactResult Apply(const Transaction& transaction) {
    TransactResult result;
    result.outcome = TransactOutcome::kCommitted;
    for (const RowCheck& check : transaction.checks) {
      if (Get(check.key).revision != check.expected) result.outcome = TransactOutcome::kConflict;
    }
    if (result.outcome == TransactOutcome::kConflict) {
      for (const RowCheck& check : transaction.checks) result.current.push_back(Get(check.key));
      for (const RowWrite& write : transaction.writes) result.current.push_back(Get(write.key));
      return result;
    }
    result.revision = Revision(++revision_);
    for (const RowWrite& write : transaction.writes) {
      if (write.value) {
        rows[write.key] = Row{write.key, result.revision, *write.value, transaction.attempt};
      } else {
        rows.erase(write.key);
      }
    }
    if (on_commit) on_commit(transaction);
    return result;
  }

  [[nodiscard]] TableHooks HooksFor(const std::shared_ptr<Process>& process) {
    TableHooks hooks;
    hooks.transact = [this, process](Transaction transaction, TransactCallback done) {
      Transact(process, std::move(transaction), std::move(done));
    };
    hooks.read = [this, process](std::vector<RowKey> keys, ReadCallback done) {
      Fetch(process, std::move(done), [this, keys = std::move(keys)] {
        std::vector<Row> result;
        for (const RowKey& key : keys) result.push_back(Get(key));
        return result;
      });
    };
    hooks.scan = [this, process](ScanRequest request, ScanCallback done) {
      Fetch(process, std::move(done), [this, request] { return Scan(request); });
    };
    return hooks;
  }

 private:
  [[nodiscard]] std::vector<Row> Scan(const ScanRequest& request) const {
    std::vector<Row> result;
    for (auto it = rows.lower_bound({request.table, request.first});
         it != rows.end() && it->first.table == request.table; ++it) {
      if (!request.last.empty() && it->first.key >= request.last) break;
      if (result.size() >= static_cast<std::size_t>(request.limit)) break;
      result.push_back(it->second);
    }
    return result;
  }

  void DeliverAfter(const std::shared_ptr<Process>& process, std::int64_t delay,
                    const std::function<void()>& event) {
    sim_.After(delay, [process, event] { process->Deliver(event); });
  }

  void Transact(const std::shared_ptr<Process>& process, Transaction transaction,
                TransactCallback done) {
    const TransactResult uncertain{TransactOutcome::kUncertain, {}, {}};
    const TransactResult unavailable{TransactOutcome::kUnavailable, {}, {}};
    const std::int64_t timeout = 50 + sim_.Below(300);
    if (out || sim_.Chance(fault_percent)) {
      // The request is lost, or is refused without an effect.
      const TransactResult result = sim_.Chance(50) ? uncertain : unavailable;
      return DeliverAfter(process, timeout, [done, result] { done(result); });
    }
    const bool lost = sim_.Chance(fault_percent);
    const bool late = sim_.Chance(fault_percent);
    const bool repeated = sim_.Chance(fault_percent);
    const std::int64_t arrival = late ? timeout + sim_.Below(1500) : 1 + sim_.Below(20);
    if (lost || late) DeliverAfter(process, timeout, [done, uncertain] { done(uncertain); });
    sim_.After(arrival, [this, process, transaction, done, silent = lost || late] {
      const TransactResult result = Apply(transaction);
      if (!silent) DeliverAfter(process, 1 + sim_.Below(20), [done, result] { done(result); });
    });
    if (repeated)
      sim_.After(arrival + sim_.Below(800), [this, transaction] { Apply(transaction); });
  }

  template <typename Get>
  void Fetch(const std::shared_ptr<Process>& process, ReadCallback done, Get get) {
    if (out || sim_.Chance(fault_percent)) {
      const Error error{ErrorKind::kPlatformUnavailable, "no reply", "retry", RunState::kNotRun,
                        std::nullopt};
      return DeliverAfter(process, 50 + sim_.Below(300), [done, error] { done(error); });
    }
    sim_.After(1 + sim_.Below(20), [this, process, done, get] {
      const std::vector<Row> result = get();
      DeliverAfter(process, 1 + sim_.Below(20), [done, result] { done(result); });
    });
  }

  Simulation& sim_;
  std::uint64_t revision_ = 0;
};

}  // namespace sapphirewheel::testing
