#include "sapphirewheel/coordination/token_escrow.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Maximum backoff as a multiple of `retry_interval`. Urgent work must start within 1 s, so a team
// without free tokens is checked at least every 5 x 200 ms.
constexpr int kMaxBackoffFactor = 5;

std::string EncodeFree(Slots free, Slots limit, ConfigVersion version) {
  return boost::json::serialize(boost::json::object{
      {"free", free.count()}, {"limit", limit.count()}, {"version", version.count()}});
}

std::string EncodeHeld(Slots tokens) {
  return boost::json::serialize(boost::json::object{{"tokens", tokens.count()}});
}

std::int64_t NumberField(const Row& row, std::string_view field) {
  if (row.revision == Revision(0)) return 0;
  auto object = ParseObject(row.value);
  return object ? IntField(object.value(), field) : 0;
}

bool IsFencedMember(const Row& row) {
  auto object = ParseObject(row.value);
  return object && BoolField(object.value(), "fenced");
}

}  // namespace

TokenEscrow::TokenEscrow(Settings settings, Hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

Slots TokenEscrow::Idle(const TeamState& state) {
  return std::max(Slots(0), state.held - state.used);
}

Slots TokenEscrow::Usable(const TeamState& state) {
  return state.free < Slots(0) ? Slots(0) : Idle(state);
}

AttemptId TokenEscrow::NewAttemptId() const {
  return AttemptId(settings_.self.str() + "/" + schema::PaddedNumber(hooks_.random()));
}

bool TokenEscrow::IsOwnAttempt(const AttemptId& attempt) const {
  return attempt.str().starts_with(settings_.self.str() + "/");
}

void TokenEscrow::OnConfig(const FleetConfig& config) {
  for (const auto& [team, change] : config.teams) {
    const auto it = config.entity_versions.find(EntityName(ConfigChange(change)));
    const ConfigVersion version = it == config.entity_versions.end() ? config.version : it->second;
    TeamState& state = teams_[team];
    if (version <= state.limit_version) continue;
    state.limit = change.upper_limit;
    state.limit_version = version;
    state.rows_known = false;
    state.failures = 0;
    state.next_try = hooks_.clock();
    Step(team, state);
  }
}

void TokenEscrow::Tick(MonotonicTime now) {
  for (auto& [team, state] : teams_) {
    UpdateSurplus(state, now);
    if (state.max_requested > Slots(0) && now >= state.requested_until) {
      state.max_requested = state.min_requested = Slots(0);
    }
    Step(team, state);
  }
  std::vector<NodeId> nodes;
  for (const auto& [node, reclaim] : reclaims_) nodes.push_back(node);
  for (const NodeId& node : nodes) StepReclaim(node);
  CheckDrained();
}

// Tokens that stayed idle for a whole window are surplus, even while a larger task is waiting.
// Otherwise two nodes that each hold part of what such tasks need would block each other.
void TokenEscrow::UpdateSurplus(TeamState& state, MonotonicTime now) {
  if (now - state.window_start < settings_.idle_return) return;
  state.surplus = state.min_idle;
  if (state.surplus > Slots(0)) {
    state.chunk = Slots(std::max<std::int64_t>(1, state.chunk.count() / 2));
  }
  state.min_idle = Idle(state);
  state.window_start = now;
}

bool TokenEscrow::TryTake(const TeamId& team, Slots slots) {
  const auto it = teams_.find(team);
  if (it == teams_.end()) return false;
  TeamState& state = it->second;
  if (slots <= Usable(state)) {
    state.used += slots;
    state.min_idle = std::min(state.min_idle, Idle(state));
    state.surplus = std::min(state.surplus, Idle(state));
    return true;
  }
  if (draining_ || slots > state.limit) return false;
  const bool first = state.max_requested == Slots(0);
  state.max_requested = std::max(state.max_requested, slots);
  state.min_requested = first ? slots : std::min(state.min_requested, slots);
  state.requested_until = hooks_.clock() + settings_.idle_return;
  Step(team, state);
  return false;
}

void TokenEscrow::Release(const TeamId& team, Slots slots) {
  const auto it = teams_.find(team);
  if (it == teams_.end()) return;
  TeamState& state = it->second;
  state.used = std::max(Slots(0), state.used - slots);
  if (draining_ || state.free < Slots(0)) Step(team, state);
}

Slots TokenEscrow::Held(const TeamId& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? Slots(0) : it->second.held;
}

Slots TokenEscrow::Free(const TeamId& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? Slots(0) : Usable(it->second);
}

// Advances a team by one step: settles the pending transaction, applies a new limit, returns or
// acquires tokens, in this order, with at most one table call at a time.
void TokenEscrow::Step(const TeamId& team, TeamState& state) {
  if (state.busy || hooks_.clock() < state.next_try) return;
  if (state.pending || !state.rows_known) return ReadRows(team, state);
  if (!fenced_ && state.row_version < state.limit_version) return AdjustToLimit(team, state);
  const Slots idle = Idle(state);
  const bool delete_row = draining_ && state.used == Slots(0) && state.held_revision != Revision(0);
  Slots to_return;
  if (state.free < Slots(0)) to_return = std::min(idle, Slots(0) - state.free);
  if (state.surplus > Slots(0)) to_return = std::max(to_return, std::min(state.surplus, idle));
  if (draining_) to_return = idle;
  if (to_return > Slots(0) || delete_row) return MoveTokens(team, state, Slots(0) - to_return);
  if (state.max_requested == Slots(0) || draining_ || fenced_) return;
  if (state.max_requested <= Usable(state)) {
    state.max_requested = state.min_requested = Slots(0);
    return;
  }
  const Slots amount = AcquireAmount(state);
  if (amount > Slots(0)) return MoveTokens(team, state, amount);
  state.rows_known = false;
  Backoff(state);
}

// Number of tokens to acquire now; 0 if the free tokens do not suffice for the smallest waiting
// task.
Slots TokenEscrow::AcquireAmount(const TeamState& state) const {
  if (state.free <= Slots(0)) return Slots(0);
  const Slots idle = Idle(state);
  const Slots target = std::max(state.max_requested, state.chunk) - idle;
  const Slots need = state.max_requested - idle;
  const Slots least = state.min_requested - idle;
  Slots cap = state.free;
  if (!state.last_writer_is_self) {
    cap = Slots(static_cast<std::int64_t>(static_cast<double>(state.free.count()) *
                                          settings_.max_fraction));
  }
  const Slots amount = std::min(target, cap);
  if (amount >= need) return amount;
  if (need <= state.free) return need;
  if (least <= Slots(0) || least > state.free) return Slots(0);
  return std::max(amount, least);
}

void TokenEscrow::ReadRows(const TeamId& team, TeamState& state) {
  state.busy = true;
  hooks_.table.read({schema::QuotaFree(team), schema::QuotaHeld(team, settings_.self),
                     schema::MemberRow(settings_.self)},
                    [this, team](const Result<std::vector<Row>>& rows) { OnRows(team, rows); });
}

void TokenEscrow::OnRows(const TeamId& team, const Result<std::vector<Row>>& rows) {
  TeamState& state = teams_[team];
  state.busy = false;
  if (!rows) return Backoff(state);
  const Slots before = Usable(state);
  ApplyRows(team, state, rows.value(), false);
  if (state.pending) {
    // All checked rows are unchanged, so the transaction may still take effect. Sending it again
    // settles it: either it commits now, or a check fails and will also fail for any later
    // delivery.
    state.resent = true;
    return Send(team, state);
  }
  Step(team, state);
  if (Usable(state) > before) hooks_.available(team);
}

// Applies rows as read. A pending transaction is settled once a checked row has changed, because
// revisions never return to an earlier value; the held row then shows whether it took effect.
void TokenEscrow::ApplyRows(const TeamId& team, TeamState& state, const std::vector<Row>& rows,
                            bool settled) {
  if (state.pending) {
    for (const RowCheck& check : state.pending->checks) {
      for (const Row& row : rows) {
        settled = settled || (row.key == check.key && row.revision != check.expected);
      }
    }
    if (!settled) return;
    state.pending.reset();
  }
  for (const Row& row : rows) {
    if (row.key == schema::QuotaFree(team)) ApplyFreeRow(state, row);
    if (row.key == schema::QuotaHeld(team, settings_.self)) {
      state.held = Slots(NumberField(row, "tokens"));
      state.held_revision = row.revision;
    }
    if (row.key == schema::MemberRow(settings_.self)) {
      const bool removed = member_revision_ != Revision(0) && row.revision == Revision(0);
      if (removed || IsFencedMember(row)) fenced_ = true;
      member_revision_ = row.revision;
    }
  }
  state.min_idle = std::min(state.min_idle, Idle(state));
  state.rows_known = true;
}

void TokenEscrow::ApplyFreeRow(TeamState& state, const Row& row) {
  state.free = Slots(NumberField(row, "free"));
  state.row_limit = Slots(NumberField(row, "limit"));
  state.row_version = ConfigVersion(static_cast<std::uint64_t>(NumberField(row, "version")));
  state.free_revision = row.revision;
  state.last_writer_is_self = IsOwnAttempt(row.attempt);
}

// Adjusts the free row to the limit in this node's configuration, once per version.
void TokenEscrow::AdjustToLimit(const TeamId& team, TeamState& state) {
  const Slots free = state.free + (state.limit - state.row_limit);
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{schema::QuotaFree(team), state.free_revision}};
  transaction.writes = {
      {schema::QuotaFree(team), EncodeFree(free, state.limit, state.limit_version)}};
  state.pending = std::move(transaction);
  state.resent = false;
  Send(team, state);
}

// Moves `to_self` tokens from the free row to this node's held row, or back if negative. The check
// of the member row prevents a fenced node from acquiring tokens that nobody would reclaim.
void TokenEscrow::MoveTokens(const TeamId& team, TeamState& state, Slots to_self) {
  const Slots held = state.held + to_self;
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{schema::QuotaFree(team), state.free_revision},
                        {schema::QuotaHeld(team, settings_.self), state.held_revision}};
  if (to_self > Slots(0)) {
    transaction.checks.push_back({schema::MemberRow(settings_.self), member_revision_});
  }
  RowWrite own{schema::QuotaHeld(team, settings_.self), EncodeHeld(held)};
  if (draining_ && held == Slots(0)) own.value.reset();
  transaction.writes = {{schema::QuotaFree(team),
                         EncodeFree(state.free - to_self, state.row_limit, state.row_version)},
                        std::move(own)};
  // Tokens that are being returned must not be used, even while the outcome is unknown.
  if (to_self < Slots(0)) state.held = held;
  state.pending = std::move(transaction);
  state.resent = false;
  Send(team, state);
}

void TokenEscrow::Send(const TeamId& team, TeamState& state) {
  state.busy = true;
  hooks_.table.transact(*state.pending,
                        [this, team](const TransactResult& result) { OnTransact(team, result); });
}

void TokenEscrow::OnTransact(const TeamId& team, const TransactResult& result) {
  TeamState& state = teams_[team];
  state.busy = false;
  const Slots before = Usable(state);
  if (result.outcome == TransactOutcome::kCommitted) {
    std::vector<Row> rows;
    for (const RowWrite& write : state.pending->writes) {
      const Revision revision = write.value ? result.revision : Revision(0);
      rows.push_back({write.key, revision, write.value.value_or(""), state.pending->attempt});
    }
    // Only a commit clears the surplus, so that a return that conflicts is repeated immediately.
    if (rows.size() > 1) state.surplus = Slots(0);
    const Slots held = state.held;
    ApplyRows(team, state, rows, true);
    state.failures = 0;
    if (state.held > held) {
      const MonotonicTime now = hooks_.clock();
      const bool soon = now - state.last_acquired < settings_.idle_return;
      if (soon) state.chunk = std::min(state.limit, state.chunk + state.chunk);
      state.last_acquired = now;
      state.max_requested = state.min_requested = Slots(0);
    }
  } else if (result.outcome == TransactOutcome::kConflict) {
    ApplyRows(team, state, result.current, true);
  } else {
    // This was the only delivery and it had no effect, so the rows are unchanged.
    if (result.outcome == TransactOutcome::kUnavailable && !state.resent) state.pending.reset();
    // The next read restores the held tokens or settles the transaction.
    state.rows_known = false;
    return Backoff(state);
  }
  Step(team, state);
  if (Usable(state) > before) hooks_.available(team);
  CheckDrained();
}

void TokenEscrow::Backoff(TeamState& state) {
  state.failures = std::min(state.failures + 1, kMaxBackoffFactor);
  const auto interval = static_cast<std::uint64_t>(settings_.retry_interval.count()) *
                        static_cast<std::uint64_t>(state.failures);
  const auto delay = interval / 2 + hooks_.random() % (interval / 2 + 1);
  state.next_try = hooks_.clock() + Millis(delay);
}

void TokenEscrow::Drain(std::function<void()> done) {
  draining_ = true;
  drain_callbacks_.push_back(std::move(done));
  for (auto& [team, state] : teams_) {
    state.max_requested = state.min_requested = Slots(0);
    Step(team, state);
  }
  CheckDrained();
}

void TokenEscrow::CheckDrained() {
  if (drain_callbacks_.empty()) return;
  for (const auto& [team, state] : teams_) {
    if (state.busy || state.pending || !state.rows_known || Idle(state) > Slots(0)) return;
  }
  std::vector<std::function<void()>> done;
  done.swap(drain_callbacks_);
  for (const auto& callback : done) callback();
}

}  // namespace sapphirewheel
