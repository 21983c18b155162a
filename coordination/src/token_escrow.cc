#include "sapphirewheel/coordination/token_escrow.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Urgent work must start within 1 s, so an exhausted team is looked at again at least every
// 5 x 200 ms.
constexpr int kMaxBackoffFactor = 5;

std::string EncodeFree(Slots free, Slots limit, ConfigVersion version) {
  return boost::json::serialize(boost::json::object{
      {"free", free.count()}, {"limit", limit.count()}, {"version", version.count()}});
}

std::string EncodeHeld(Slots tokens) {
  return boost::json::serialize(boost::json::object{{"tokens", tokens.count()}});
}

std::int64_t Number(const Row& row, std::string_view field) {
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

bool TokenEscrow::Mine(const AttemptId& attempt) const {
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
    CloseWindow(state, now);
    if (state.wanted > Slots(0) && now >= state.wanted_until) {
      state.wanted = state.wanted_least = Slots(0);
    }
    Step(team, state);
  }
  std::vector<NodeId> nodes;
  for (const auto& [node, reclaim] : reclaims_) nodes.push_back(node);
  for (const NodeId& node : nodes) StepReclaim(node);
  CheckDrained();
}

// Tokens that stayed idle through a whole window are superfluous, even while a larger task waits:
// two nodes that each hold a part of what such tasks need would otherwise block each other.
void TokenEscrow::CloseWindow(TeamState& state, MonotonicTime now) {
  if (now - state.window_start < settings_.idle_return) return;
  state.surplus = state.idle_low;
  if (state.surplus > Slots(0)) {
    state.chunk = Slots(std::max<std::int64_t>(1, state.chunk.count() / 2));
  }
  state.idle_low = Idle(state);
  state.window_start = now;
}

bool TokenEscrow::TryTake(const TeamId& team, Slots slots) {
  const auto it = teams_.find(team);
  if (it == teams_.end()) return false;
  TeamState& state = it->second;
  if (slots <= Usable(state)) {
    state.used += slots;
    state.idle_low = std::min(state.idle_low, Idle(state));
    state.surplus = std::min(state.surplus, Idle(state));
    return true;
  }
  if (draining_ || slots > state.limit) return false;
  const bool first = state.wanted == Slots(0);
  state.wanted = std::max(state.wanted, slots);
  state.wanted_least = first ? slots : std::min(state.wanted_least, slots);
  state.wanted_until = hooks_.clock() + settings_.idle_return;
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

// One step of a team: settles, adjusts, returns or acquires, in this order; one call at a time.
void TokenEscrow::Step(const TeamId& team, TeamState& state) {
  if (state.busy || hooks_.clock() < state.next_try) return;
  if (state.pending || !state.rows_known) return ReadRows(team, state);
  if (!fenced_ && state.row_version < state.limit_version) return Adjust(team, state);
  const Slots idle = Idle(state);
  const bool delete_row = draining_ && state.used == Slots(0) && state.held_revision != Revision(0);
  Slots back;
  if (state.free < Slots(0)) back = std::min(idle, Slots(0) - state.free);
  if (state.surplus > Slots(0)) back = std::max(back, std::min(state.surplus, idle));
  if (draining_) back = idle;
  if (back > Slots(0) || delete_row) return Move(team, state, Slots(0) - back);
  if (state.wanted == Slots(0) || draining_ || fenced_) return;
  if (state.wanted <= Usable(state)) {
    state.wanted = state.wanted_least = Slots(0);
    return;
  }
  const Slots amount = AcquireAmount(state);
  if (amount > Slots(0)) return Move(team, state, amount);
  state.rows_known = false;
  Backoff(state);
}

// Tokens to acquire now; 0 when not even the smallest waiting task could start with the free ones.
Slots TokenEscrow::AcquireAmount(const TeamState& state) const {
  if (state.free <= Slots(0)) return Slots(0);
  const Slots idle = Idle(state);
  const Slots target = std::max(state.wanted, state.chunk) - idle;
  const Slots need = state.wanted - idle;
  const Slots least = state.wanted_least - idle;
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
  Absorb(team, state, rows.value(), false);
  if (state.pending) {
    // All checked rows are unchanged, so the transaction can still arrive at the table. Sending it
    // again settles it: either this copy commits, or a check fails and then fails for ever.
    state.resent = true;
    return Send(team, state);
  }
  Step(team, state);
  if (Usable(state) > before) hooks_.available(team);
}

// Takes over rows as read. An unsettled transaction is settled once a checked row has changed,
// because revisions never return to an earlier value; the held row then shows its effect.
void TokenEscrow::Absorb(const TeamId& team, TeamState& state, const std::vector<Row>& rows,
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
    if (row.key == schema::QuotaFree(team)) AbsorbFree(state, row);
    if (row.key == schema::QuotaHeld(team, settings_.self)) {
      state.held = Slots(Number(row, "tokens"));
      state.held_revision = row.revision;
    }
    if (row.key == schema::MemberRow(settings_.self)) {
      const bool removed = member_revision_ != Revision(0) && row.revision == Revision(0);
      if (removed || IsFencedMember(row)) fenced_ = true;
      member_revision_ = row.revision;
    }
  }
  state.idle_low = std::min(state.idle_low, Idle(state));
  state.rows_known = true;
}

void TokenEscrow::AbsorbFree(TeamState& state, const Row& row) {
  state.free = Slots(Number(row, "free"));
  state.row_limit = Slots(Number(row, "limit"));
  state.row_version = ConfigVersion(static_cast<std::uint64_t>(Number(row, "version")));
  state.free_revision = row.revision;
  state.last_writer_is_self = Mine(row.attempt);
}

// Accounts for the limit of this node's configuration in the free row, once a version.
void TokenEscrow::Adjust(const TeamId& team, TeamState& state) {
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

// Moves tokens from the free row to this node's, or back when negative. The check of the member row
// keeps a node that was fenced from acquiring tokens that nobody would reclaim.
void TokenEscrow::Move(const TeamId& team, TeamState& state, Slots to_self) {
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
  // Tokens on their way back must not be used, even if the outcome stays unknown.
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
    // A conflict keeps the surplus, so that a contended return is repeated at once.
    if (rows.size() > 1) state.surplus = Slots(0);
    const Slots held = state.held;
    Absorb(team, state, rows, true);
    state.failures = 0;
    if (state.held > held) {
      const MonotonicTime now = hooks_.clock();
      const bool soon = now - state.last_acquired < settings_.idle_return;
      if (soon) state.chunk = std::min(state.limit, state.chunk + state.chunk);
      state.last_acquired = now;
      state.wanted = state.wanted_least = Slots(0);
    }
  } else if (result.outcome == TransactOutcome::kConflict) {
    Absorb(team, state, result.current, true);
  } else {
    // Nothing was sent before and this had no effect: the rows are as they were.
    if (result.outcome == TransactOutcome::kUnavailable && !state.resent) state.pending.reset();
    // The read that follows restores the held tokens or settles the transaction.
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
  drained_.push_back(std::move(done));
  for (auto& [team, state] : teams_) {
    state.wanted = state.wanted_least = Slots(0);
    Step(team, state);
  }
  CheckDrained();
}

void TokenEscrow::CheckDrained() {
  if (drained_.empty()) return;
  for (const auto& [team, state] : teams_) {
    if (state.busy || state.pending || !state.rows_known || Idle(state) > Slots(0)) return;
  }
  std::vector<std::function<void()>> done;
  done.swap(drained_);
  for (const auto& callback : done) callback();
}

}  // namespace sapphirewheel
