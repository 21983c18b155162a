#pragma once

#include <map>
#include <utility>
#include <vector>

#include "sapphirewheel/state/table.h"

// An in-memory table service. Calls take effect at once. Their callbacks run in order in RunAll,
// because TableHooks guarantees that callbacks run after the call has returned.
class MemoryTable {
 public:
  [[nodiscard]] sapphirewheel::TableHooks hooks() {
    using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
    TableHooks hooks;
    hooks.transact = [this](Transaction transaction, TransactCallback done) {
      Later([done = std::move(done), result = Transact(transaction)] { done(result); });
    };
    hooks.read = [this](const std::vector<RowKey>& keys, ReadCallback done) {
      std::vector<Row> rows;
      for (const RowKey& key : keys) rows.push_back(Get(key));
      Later([done = std::move(done), rows = std::move(rows)] { done(rows); });
    };
    hooks.scan = [this](const ScanRequest& scan, ScanCallback done) {
      Later([done = std::move(done), rows = Scan(scan)] { done(rows); });
    };
    return hooks;
  }

  sapphirewheel::TransactResult Transact(const sapphirewheel::Transaction& transaction) {
    using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
    TransactResult result;
    for (const RowCheck& check : transaction.checks) {
      if (Get(check.key).revision == check.expected) continue;
      result.outcome = TransactOutcome::kConflict;
      for (const RowCheck& it : transaction.checks) result.current.push_back(Get(it.key));
      for (const RowWrite& it : transaction.writes) result.current.push_back(Get(it.key));
      return result;
    }
    revision_ += Revision(1);
    for (const RowWrite& it : transaction.writes) {
      if (it.value) {
        rows_[it.key] = Row{it.key, revision_, *it.value, transaction.attempt};
      } else {
        rows_.erase(it.key);
      }
    }
    result.outcome = TransactOutcome::kCommitted;
    result.revision = revision_;
    return result;
  }

  // Runs all pending callbacks, including those of calls that they make.
  void RunAll() {
    while (!due_.empty()) {
      for (const auto& callback : std::exchange(due_, {})) callback();
    }
  }

 private:
  [[nodiscard]] sapphirewheel::Row Get(const sapphirewheel::RowKey& key) const {
    const auto it = rows_.find(key);
    if (it != rows_.end()) return it->second;
    sapphirewheel::Row absent;
    absent.key = key;
    return absent;
  }

  [[nodiscard]] std::vector<sapphirewheel::Row> Scan(const sapphirewheel::ScanRequest& scan) const {
    std::vector<sapphirewheel::Row> found;
    for (auto it = rows_.lower_bound({scan.table, scan.first}); it != rows_.end(); ++it) {
      const bool past_end = !scan.last.empty() && it->first.key >= scan.last;
      if (it->first.table != scan.table || past_end) break;
      if (found.size() == static_cast<std::size_t>(scan.limit)) break;
      found.push_back(it->second);
    }
    return found;
  }

  void Later(std::function<void()> callback) { due_.push_back(std::move(callback)); }

  std::map<sapphirewheel::RowKey, sapphirewheel::Row> rows_;
  sapphirewheel::Revision revision_;
  std::vector<std::function<void()>> due_;
};
