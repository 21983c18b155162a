#pragma once

#include <optional>
#include <set>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// A row by which operators request that nothing is started in a data centre, or its removal, which
// withdraws the request.
struct EvacuationRow {
  DataCentreId data_centre;
  bool removed = false;
};

// The data centres in which nothing may be started, and when they were last confirmed. A value: the
// node that follows the operators' rows passes copies of it to the owner.
class Evacuations {
 public:
  // Nothing may be placed anywhere when the last confirmation is older than `max_age`, because a
  // request may have been missed. Without a maximum age, the last known set counts.
  explicit Evacuations(std::optional<Millis> max_age = std::nullopt) : max_age_(max_age) {}

  // Applies a row of the change feed.
  void Apply(const EvacuationRow& row);
  // Replaces the set by the one that a full read of the rows has shown.
  void Replace(std::set<DataCentreId> data_centres) { data_centres_ = std::move(data_centres); }
  // The present set was the newest one at `at`.
  void Confirm(MonotonicTime at);

  [[nodiscard]] bool Contains(const DataCentreId& data_centre) const {
    return data_centres_.count(data_centre) > 0;
  }
  // Whether the set is recent enough to place tasks by it.
  [[nodiscard]] bool MayPlace(MonotonicTime now) const;
  [[nodiscard]] const std::set<DataCentreId>& data_centres() const noexcept {
    return data_centres_;
  }
  // Absent until the set has been read once.
  [[nodiscard]] const std::optional<MonotonicTime>& confirmed() const noexcept {
    return confirmed_;
  }

 private:
  std::optional<Millis> max_age_;
  std::set<DataCentreId> data_centres_;
  std::optional<MonotonicTime> confirmed_;
};

}  // namespace sapphirewheel
