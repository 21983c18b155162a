#include "sapphirewheel/coordination/roster_rows.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "sapphirewheel/coordination/fleet_owner.h"
#include "sapphirewheel/coordination/rendezvous.h"

namespace sapphirewheel {
namespace {

int RowOf(const BackendId& id) {
  return 1 + static_cast<int>(StableHash(id.str()) % static_cast<std::uint64_t>(RosterRows::kRows));
}

}  // namespace

std::string RosterRows::Key(int row) {
  return row == 0 ? rows::kRoster : rows::kRoster + ("/" + std::to_string(row));
}

std::optional<int> RosterRows::Row(std::string_view key) {
  const std::string_view single = rows::kRoster;
  if (key == single) return 0;
  if (key.size() <= single.size() + 1 || key.substr(0, single.size()) != single ||
      key[single.size()] != '/') {
    return std::nullopt;
  }
  const std::string_view digits = key.substr(single.size() + 1);
  int row = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), row);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  return whole && row > 0 ? std::optional(row) : std::nullopt;
}

Roster RosterRows::Stored() const {
  Roster all;
  for (const auto& [row, entries] : stored_) {
    for (const auto& [id, entry] : entries) all[id] = entry;
  }
  return all;
}

bool RosterRows::IsDivided(const Roster& wanted) const {
  if (wanted.size() > kMaxServersOfOneRow) return true;
  const bool stored = !stored_.empty() && stored_.rbegin()->first > 0;
  return stored || (!uncertain_.empty() && *uncertain_.rbegin() > 0);
}

RosterRows::Change RosterRows::Next(const Roster& wanted, std::size_t max_rows) const {
  std::map<int, Roster> target;
  for (const auto& [row, entries] : stored_) target[row];
  for (const int row : uncertain_) target[row];
  const bool divided = IsDivided(wanted);
  for (const auto& [id, entry] : wanted) target[divided ? RowOf(id) : 0][id] = entry;
  Change change;
  std::map<int, Roster> after = stored_;
  const auto differs = [&](int row, const Roster& entries) {
    const auto it = stored_.find(row);
    const bool same = it == stored_.end() ? entries.empty() : it->second == entries;
    return !same && change.rows.count(row) == 0;
  };
  const auto take = [&](int row, const Roster& entries) {
    change.rows[row] = entries;
    after[row] = entries;
  };
  // What they hold must be certain before the result can be.
  for (const int row : uncertain_) take(row, target[row]);
  bool complete = true;
  for (const auto& [row, entries] : target) {
    if (row == 0 || !differs(row, entries)) continue;
    if (change.rows.size() < max_rows) {
      take(row, entries);
    } else {
      complete = false;
    }
  }
  // Last, as its servers go to the other rows when the roster is divided.
  const auto single = target.find(0);
  if (single != target.end() && complete && differs(0, single->second)) take(0, single->second);
  for (const auto& [row, entries] : after) {
    for (const auto& [id, entry] : entries) change.result[id] = entry;
  }
  return change;
}

void RosterRows::OnSent(const Change& change) {
  for (const auto& [row, entries] : change.rows) uncertain_.insert(row);
}

void RosterRows::OnWritten(const Change& change) {
  for (const auto& [row, entries] : change.rows) {
    stored_[row] = entries;
    uncertain_.erase(row);
  }
}

}  // namespace sapphirewheel
