#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel::testing {

// In-memory table service and object store with its own virtual clock. Faults are random with a
// given seed, so that a failure can be reproduced. Nothing happens until Step, RunFor or RunUntil
// is called.
class FakeTable {
 public:
  // Probabilities from 0 to 1, applied to each call.
  struct Faults {
    // The call has no effect and fails as unavailable.
    double refuse = 0;
    // The call takes effect, but its reply is lost (transactions: kUncertain).
    double lose_reply = 0;
    // The call is lost before it takes effect (transactions: kUncertain).
    double lose_request = 0;
    // The transaction returns kUncertain and takes effect up to 2 s later.
    double late_effect = 0;
    // Delay of each direction; random delays also reorder calls.
    Millis min_delay{1};
    Millis max_delay{1};
  };

  // Limits of docs/platform.md.
  static constexpr std::size_t kMaxValueBytes = 64 * 1024;
  static constexpr std::size_t kMaxRows = 200;

  explicit FakeTable(std::uint64_t seed = 1) : random_(seed) {}
  FakeTable(std::uint64_t seed, Faults faults) : random_(seed), faults_(faults) {}
  FakeTable(const FakeTable&) = delete;
  FakeTable& operator=(const FakeTable&) = delete;

  // Returns the hooks of one client, which can be disconnected by its name. The table must outlive
  // them.
  [[nodiscard]] TableHooks Hooks(const std::string& client = "") {
    TableHooks hooks;
    hooks.transact = [this, client](Transaction t, TransactCallback done) {
      Transact(client, std::move(t), std::move(done));
    };
    hooks.read = [this, client](std::vector<RowKey> keys, ReadCallback done) {
      Query<std::vector<Row>>(client, std::move(done), [this, keys = std::move(keys)] {
        std::vector<Row> rows;
        for (const RowKey& key : keys) rows.push_back(Get(key));
        row_reads_ += static_cast<std::int64_t>(keys.size());
        return Result<std::vector<Row>>(std::move(rows));
      });
    };
    hooks.scan = [this, client](ScanRequest request, ScanCallback done) {
      Query<std::vector<Row>>(client, std::move(done), [this, request = std::move(request)] {
        return Result<std::vector<Row>>(Scan(request));
      });
    };
    hooks.put_object = [this, client](std::string name, std::string bytes, DoneCallback done) {
      Query<void>(client, std::move(done),
                  [this, name = std::move(name), bytes = std::move(bytes)]() -> Result<void> {
                    objects_[name] = bytes;
                    return boost::outcome_v2::success();
                  });
    };
    hooks.get_object = [this, client](std::string name, ObjectCallback done) {
      Query<std::string>(client, std::move(done), [this, name]() -> Result<std::string> {
        const auto it = objects_.find(name);
        if (it == objects_.end()) {
          return Error{ErrorKind::kNotFound, "no object " + name, "check the name",
                       RunState::kNotRun, std::nullopt};
        }
        return it->second;
      });
    };
    return hooks;
  }

  [[nodiscard]] MonotonicTime now() const noexcept { return now_; }
  [[nodiscard]] Clock clock() {
    return [this] { return now_; };
  }
  // Random numbers for the code under test, independent of the order of faults.
  [[nodiscard]] RandomSource random() {
    const std::uint64_t seed = random_();
    return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
  }
  // Returns a random number from 0 to n - 1.
  [[nodiscard]] std::uint64_t Draw(std::uint64_t n) { return random_() % n; }

  void set_faults(Faults faults) { faults_ = faults; }
  // During an outage all calls of all clients fail without effect, including pending calls.
  void SetOutage(bool outage) { outage_ = outage; }
  // Disconnects or reconnects a client.
  void SetDisconnected(const std::string& client, bool disconnected) {
    if (disconnected) {
      disconnected_.insert(client);
    } else {
      disconnected_.erase(client);
    }
  }

  // Runs `task` after a delay in virtual time.
  void After(Millis delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }
  // Advances to the next task and runs it; returns false if there is none.
  bool Step() {
    if (tasks_.empty()) return false;
    auto it = tasks_.begin();
    now_ = std::max(now_, it->first);
    std::function<void()> task = std::move(it->second);
    tasks_.erase(it);
    task();
    return true;
  }
  // Runs all tasks that are due within `time` and advances the clock by it.
  void RunFor(Millis time) {
    const MonotonicTime end = now_ + time;
    while (!tasks_.empty() && tasks_.begin()->first <= end) Step();
    now_ = end;
  }
  // Runs until `done` returns true, for at most `limit` of virtual time; returns its last result.
  bool RunUntil(const std::function<bool()>& done, Millis limit = Millis(60000)) {
    const MonotonicTime end = now_ + limit;
    while (!done() && !tasks_.empty() && tasks_.begin()->first <= end) Step();
    return done();
  }

  // Direct access for test set-up and assertions, without faults.
  [[nodiscard]] Row Get(const RowKey& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? Row{key, Revision(0), "", AttemptId()} : it->second;
  }
  void Put(const RowKey& key, const std::string& value) {
    ++revision_;
    rows_[key] = Row{key, Revision(revision_), value, AttemptId("test")};
  }
  void Erase(const RowKey& key) { rows_.erase(key); }
  [[nodiscard]] std::vector<Row> Scan(const ScanRequest& request) {
    std::vector<Row> found;
    for (auto it = rows_.lower_bound(RowKey{request.table, request.first}); it != rows_.end();
         ++it) {
      const RowKey& key = it->first;
      if (key.table != request.table || (!request.last.empty() && key.key >= request.last)) break;
      if (found.size() >= static_cast<std::size_t>(request.limit)) break;
      found.push_back(it->second);
    }
    row_reads_ += static_cast<std::int64_t>(found.size());
    return found;
  }
  [[nodiscard]] const std::map<std::string, std::string>& objects() const { return objects_; }
  // Numbers of committed transactions, written rows and read rows.
  [[nodiscard]] std::int64_t commits() const noexcept { return commits_; }
  [[nodiscard]] std::int64_t row_writes() const noexcept { return row_writes_; }
  [[nodiscard]] std::int64_t row_reads() const noexcept { return row_reads_; }
  // Number of transactions that exceeded the limits of the service; they are refused.
  [[nodiscard]] std::int64_t limit_violations() const noexcept { return limit_violations_; }
  // Called after each commit, e.g. to check invariants over all rows.
  void set_on_commit(std::function<void(const Transaction&)> hook) { on_commit_ = std::move(hook); }

 private:
  [[nodiscard]] bool Chance(double probability) {
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  [[nodiscard]] Millis Delay() {
    const auto range = static_cast<std::uint64_t>((faults_.max_delay - faults_.min_delay).count());
    return faults_.min_delay + Millis(static_cast<std::int64_t>(random_() % (range + 1)));
  }
  [[nodiscard]] bool Unreachable(const std::string& client) const {
    return outage_ || disconnected_.contains(client);
  }
  static Error Unavailable() {
    return Error{ErrorKind::kPlatformUnavailable, "table service unavailable", "retry later",
                 RunState::kNotRun, Millis(1000)};
  }

  void Reply(TransactCallback done, TransactResult result) {
    After(Delay(), [done = std::move(done), result = std::move(result)] { done(result); });
  }

  void Transact(const std::string& client, Transaction t, TransactCallback done) {
    if (Chance(faults_.late_effect)) {
      After(Millis(static_cast<std::int64_t>(Draw(2000))), [this, client, t] {
        if (!Unreachable(client)) static_cast<void>(Apply(t));
      });
      return Reply(std::move(done), {TransactOutcome::kUncertain, Revision(), {}});
    }
    const bool refused = Chance(faults_.refuse);
    const bool lost = Chance(faults_.lose_request);
    const bool reply_lost = Chance(faults_.lose_reply);
    After(Delay(), [this, client, t = std::move(t), done = std::move(done), refused, lost,
                    reply_lost]() mutable {
      if (refused || Unreachable(client)) {
        return Reply(std::move(done), {TransactOutcome::kUnavailable, Revision(), {}});
      }
      TransactResult result{TransactOutcome::kUncertain, Revision(), {}};
      if (!lost) result = Apply(t);
      if (lost || reply_lost) result = {TransactOutcome::kUncertain, Revision(), {}};
      Reply(std::move(done), std::move(result));
    });
  }

  TransactResult Apply(const Transaction& t) {
    if (!WithinLimits(t)) {
      ++limit_violations_;
      return {TransactOutcome::kUnavailable, Revision(), {}};
    }
    for (const RowCheck& check : t.checks) {
      if (Get(check.key).revision != check.expected) return Conflict(t);
    }
    ++revision_;
    ++commits_;
    for (const RowWrite& write : t.writes) {
      ++row_writes_;
      if (write.value) {
        rows_[write.key] = Row{write.key, Revision(revision_), *write.value, t.attempt};
      } else {
        rows_.erase(write.key);
      }
    }
    if (on_commit_) on_commit_(t);
    return {TransactOutcome::kCommitted, Revision(revision_), {}};
  }

  // If a written row already has the attempt id of the transaction, an earlier delivery of the same
  // transaction committed.
  TransactResult Conflict(const Transaction& t) const {
    TransactResult result{TransactOutcome::kConflict, Revision(), {}};
    for (const RowWrite& write : t.writes) {
      const Row row = Get(write.key);
      if (row.revision.count() != 0 && row.attempt == t.attempt) {
        return {TransactOutcome::kCommitted, row.revision, {}};
      }
    }
    std::set<RowKey> keys;
    for (const RowCheck& check : t.checks) keys.insert(check.key);
    for (const RowWrite& write : t.writes) keys.insert(write.key);
    for (const RowKey& key : keys) result.current.push_back(Get(key));
    return result;
  }

  static bool WithinLimits(const Transaction& t) {
    if (t.checks.size() + t.writes.size() > kMaxRows) return false;
    for (const RowWrite& write : t.writes) {
      if (write.value && write.value->size() > kMaxValueBytes) return false;
    }
    return true;
  }

  template <typename T>
  void Query(const std::string& client, std::function<void(Result<T>)> done,
             std::function<Result<T>()> effect) {
    const bool refused = Chance(faults_.refuse) || Chance(faults_.lose_request);
    const bool reply_lost = Chance(faults_.lose_reply);
    After(Delay(),
          [this, client, done = std::move(done), effect = std::move(effect), refused, reply_lost] {
            Result<T> result = refused || Unreachable(client) ? Result<T>(Unavailable()) : effect();
            if (reply_lost) result = Unavailable();
            After(Delay(), [done, result = std::move(result)] { done(result); });
          });
  }

  std::mt19937_64 random_;
  Faults faults_;
  bool outage_ = false;
  std::set<std::string> disconnected_;
  MonotonicTime now_{};
  // Tasks with equal times run in the order in which they were added.
  std::multimap<MonotonicTime, std::function<void()>> tasks_;
  std::map<RowKey, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t revision_ = 0;
  std::int64_t commits_ = 0;
  std::int64_t row_writes_ = 0;
  std::int64_t row_reads_ = 0;
  std::int64_t limit_violations_ = 0;
  std::function<void(const Transaction&)> on_commit_;
};

}  // namespace sapphirewheel::testing
