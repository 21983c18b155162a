#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Several nodes and a table service in virtual time, replayable from a seed. Replies may be slow or
// be lost after the request took effect, the service may be unavailable, and nodes may be paused or
// killed.
class SimRows {
 public:
  explicit SimRows(std::uint64_t seed) : random_(seed) {}

  // Probabilities in percent.
  int lost_answers = 0;
  int unavailable = 0;
  bool outage = false;
  std::int64_t max_delay_ms = 20;
  // Called after each commit, to check invariants.
  std::function<void()> on_commit;

  [[nodiscard]] MonotonicTime now() const { return now_; }
  [[nodiscard]] std::uint64_t Random() { return random_(); }
  [[nodiscard]] bool Chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
  [[nodiscard]] const std::map<RowKey, Row>& rows() const { return rows_; }

  // Runs a function on a node after a delay; later if the node is paused, never if it is killed.
  void Post(int node, Millis delay, std::function<void()> run) {
    events_.emplace(now_ + delay, [this, node, run = std::move(run)] { Deliver(node, run); });
  }
  void Pause(int node) { paused_[node] = true; }
  void Kill(int node) { killed_[node] = true; }
  // Resumes a node and delivers what arrived while it was paused, oldest first.
  void Wake(int node) {
    paused_[node] = false;
    for (const auto& run : std::exchange(held_[node], {})) run();
  }
  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    now_ = end;
  }
  void RunFor(Millis time) { RunUntil(now_ + time); }

  [[nodiscard]] TableHooks HooksFor(int node) {
    TableHooks hooks;
    hooks.transact = [this, node](Transaction transaction, TransactCallback done) {
      Transact(node, std::move(transaction), done);
    };
    hooks.read = [this, node](std::vector<RowKey> keys, ReadCallback done) {
      ServeRead(
          node, [this, keys = std::move(keys)] { return ReadRows(keys); }, done);
    };
    hooks.scan = [this, node](ScanRequest request, ScanCallback done) {
      ServeRead(
          node, [this, request = std::move(request)] { return ScanRows(request); },
          std::move(done));
    };
    return hooks;
  }

  // Writes a row without a transaction, for the setup of a test.
  void Put(const RowKey& key, const std::string& value) {
    rows_[key] = {key, Revision(++revision_), value, AttemptId("setup")};
  }

 private:
  void Deliver(int node, const std::function<void()>& run) {
    if (killed_[node]) return;
    if (paused_[node]) {
      held_[node].push_back(run);
    } else {
      run();
    }
  }
  Millis Delay() {
    return Millis(
        1 + static_cast<std::int64_t>(
                random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, max_delay_ms))));
  }
  void Transact(int node, Transaction transaction, const TransactCallback& done) {
    if (outage || Chance(unavailable)) {
      Post(node, Delay(), [done] { done({TransactOutcome::kUnavailable, {}, {}}); });
      return;
    }
    // The request is in flight even if its node is paused or killed in the meantime.
    events_.emplace(now_ + Delay(), [this, node, transaction = std::move(transaction), done] {
      TransactResult result = Apply(transaction);
      if (Chance(lost_answers)) {
        Post(node, Millis(500), [done] { done({TransactOutcome::kUncertain, {}, {}}); });
      } else {
        Post(node, Delay(), [done, result = std::move(result)] { done(result); });
      }
    });
  }
  TransactResult Apply(const Transaction& transaction) {
    for (const RowCheck& check : transaction.checks) {
      if (RowAt(check.key).revision != check.expected) {
        TransactResult conflict{TransactOutcome::kConflict, {}, {}};
        for (const RowCheck& each : transaction.checks) conflict.current.push_back(RowAt(each.key));
        for (const RowWrite& each : transaction.writes) conflict.current.push_back(RowAt(each.key));
        return conflict;
      }
    }
    const Revision revision(++revision_);
    for (const RowWrite& write : transaction.writes) {
      if (write.value) {
        rows_[write.key] = {write.key, revision, *write.value, transaction.attempt};
      } else {
        rows_.erase(write.key);
      }
    }
    if (on_commit) on_commit();
    return {TransactOutcome::kCommitted, revision, {}};
  }
  [[nodiscard]] Row RowAt(const RowKey& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? Row{key, {}, {}, {}} : it->second;
  }
  [[nodiscard]] std::vector<Row> ReadRows(const std::vector<RowKey>& keys) const {
    std::vector<Row> rows;
    rows.reserve(keys.size());
    for (const RowKey& key : keys) rows.push_back(RowAt(key));
    return rows;
  }
  [[nodiscard]] std::vector<Row> ScanRows(const ScanRequest& request) const {
    std::vector<Row> rows;
    for (auto it = rows_.lower_bound({request.table, request.first}); it != rows_.end(); ++it) {
      const RowKey& key = it->first;
      if (key.table != request.table || static_cast<int>(rows.size()) >= request.limit) break;
      if (!request.last.empty() && key.key >= request.last) break;
      rows.push_back(it->second);
    }
    return rows;
  }
  void ServeRead(int node, std::function<std::vector<Row>()> read, const ReadCallback& done) {
    if (outage || Chance(unavailable)) {
      Post(node, Delay(), [done] {
        done(Error{ErrorKind::kPlatformUnavailable, "outage", "retry", RunState::kNotRun, {}});
      });
      return;
    }
    events_.emplace(now_ + Delay(), [this, node, read = std::move(read), done] {
      Post(node, Delay(), [done, rows = read()] { done(rows); });
    });
  }

  std::mt19937_64 random_;
  MonotonicTime now_{Millis(1000)};
  std::uint64_t revision_ = 0;
  std::map<RowKey, Row> rows_;
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::map<int, bool> paused_;
  std::map<int, bool> killed_;
  std::map<int, std::vector<std::function<void()>>> held_;
};

}  // namespace sapphirewheel
