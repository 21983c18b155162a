#include "cancel_marks.h"

#include <string>

#include "sapphirewheel/coordination/fleet_owner.h"

namespace sapphirewheel {

void CancelMarks::Add(const JobId& id, Revision revision, MonotonicTime now) {
  const auto [it, added] = marks_.try_emplace(id, Mark{revision, now});
  if (!added && it->second.revision != revision) it->second = Mark{revision, now};
}

std::vector<CancelMarks::Row> CancelMarks::Expired(Millis keep, std::size_t most,
                                                   MonotonicTime now) const {
  std::vector<Row> expired;
  std::string part;
  for (const auto& [id, mark] : marks_) {
    if (now - mark.seen_at <= keep) continue;
    if (expired.empty()) part = rows::JobPart(id);
    if (rows::JobPart(id) != part) continue;
    expired.emplace_back(id, mark.revision);
    if (expired.size() == most) break;
  }
  return expired;
}

}  // namespace sapphirewheel
