#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "sapphirewheel/coordination/token_escrow.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {

void TokenEscrow::Reclaim(const NodeId& node, DoneCallback done) {
  reclaims_[node].done.push_back(std::move(done));
  StepReclaim(node);
}

void TokenEscrow::StepReclaim(const NodeId& node) {
  ReclaimState& reclaim = reclaims_.at(node);
  if (reclaim.busy || hooks_.clock() < reclaim.next_try) return;
  if (reclaim.scanned && reclaim.teams.empty()) {
    const std::vector<DoneCallback> done = std::move(reclaim.done);
    reclaims_.erase(node);
    for (const DoneCallback& callback : done) callback(boost::outcome_v2::success());
    return;
  }
  reclaim.busy = true;
  if (!reclaim.scanned) {
    hooks_.table.scan(
        {schema::kQuota, reclaim.scan_from, ""},
        [this, node](const Result<std::vector<Row>>& rows) { OnReclaimScan(node, rows); });
    return;
  }
  const TeamId team = reclaim.teams.back();
  hooks_.table.read({schema::QuotaFree(team), schema::QuotaHeld(team, node)},
                    [this, node](const Result<std::vector<Row>>& rows) {
                      if (!rows) return RetryReclaim(node, false);
                      ReclaimTeam(node, rows.value());
                    });
}

void TokenEscrow::OnReclaimScan(const NodeId& node, const Result<std::vector<Row>>& rows) {
  if (!rows) return RetryReclaim(node, false);
  ReclaimState& reclaim = reclaims_.at(node);
  const std::string suffix = "/" + node.str();
  for (const Row& row : rows.value()) {
    if (!row.key.key.ends_with(suffix)) continue;
    reclaim.teams.emplace_back(row.key.key.substr(0, row.key.key.size() - suffix.size()));
  }
  const ScanRequest defaults;
  reclaim.scanned = rows.value().size() < static_cast<std::size_t>(defaults.limit);
  // Ids contain no control characters, so this is the first possible key after the last one read.
  if (!reclaim.scanned) reclaim.scan_from = rows.value().back().key.key + '\x01';
  RetryReclaim(node, true);
}

// Moves the tokens in one transaction that checks both rows. Whatever the outcome, the rows are
// read again until the held row is gone, so that repeated and concurrent reclaims move the tokens
// once.
void TokenEscrow::ReclaimTeam(const NodeId& node, const std::vector<Row>& rows) {
  const Row& free = rows.at(0);
  const Row& held = rows.at(1);
  if (held.revision == Revision(0)) {
    reclaims_.at(node).teams.pop_back();
    return RetryReclaim(node, true);
  }
  auto free_value = ParseObject(free.value);
  auto held_value = ParseObject(held.value);
  if (!free_value || !held_value) return RetryReclaim(node, false);
  free_value.value()["free"] =
      IntField(free_value.value(), "free") + IntField(held_value.value(), "tokens");
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{free.key, free.revision}, {held.key, held.revision}};
  transaction.writes = {{free.key, boost::json::serialize(free_value.value())},
                        {held.key, std::nullopt}};
  hooks_.table.transact(std::move(transaction), [this, node](const TransactResult& result) {
    RetryReclaim(node, result.outcome == TransactOutcome::kCommitted ||
                           result.outcome == TransactOutcome::kConflict);
  });
}

void TokenEscrow::RetryReclaim(const NodeId& node, bool at_once) {
  ReclaimState& reclaim = reclaims_.at(node);
  reclaim.busy = false;
  const auto jitter = hooks_.random() % 2;
  if (!at_once) reclaim.next_try = hooks_.clock() + settings_.retry_interval * (1 + jitter);
  StepReclaim(node);
}

}  // namespace sapphirewheel
