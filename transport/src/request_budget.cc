#include "request_budget.h"

#include <algorithm>

namespace sapphirewheel {

RequestId RequestBudget::Open(Time now) {
  const RequestId id{++last_id_};
  requests_[id].progress_at = now;
  return id;
}

void RequestBudget::Received(RequestId id, std::size_t bytes, Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  if (bytes < request.progress_bytes + limits_.progress_bytes) return;
  request.progress_at = now;
  request.progress_bytes = bytes;
}

bool RequestBudget::Hold(RequestId id, std::size_t bytes) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return false;
  const std::size_t before = it->second.held;
  Remove(before);
  const std::size_t large_room =
      limits_.total_bytes - std::min(limits_.total_bytes, limits_.reserved_bytes);
  bool fits = held_ == 0 || held_ + bytes <= limits_.total_bytes;
  if (IsLarge(bytes)) fits = large_ == 0 || (fits && large_held_ + bytes <= large_room);
  it->second.held = fits ? bytes : before;
  Add(it->second.held);
  return fits;
}

void RequestBudget::Complete(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end()) it->second.complete = true;
}

void RequestBudget::Close(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Remove(it->second.held);
  requests_.erase(it);
}

std::optional<RequestId> RequestBudget::FindStalled(RequestId grower, std::size_t bytes,
                                                    Time now) const {
  std::optional<RequestId> found;
  Time oldest = now - limits_.patience;
  for (const auto& [id, it] : requests_) {
    if (id == grower || it.complete || it.progress_at > oldest) continue;
    if (IsLarge(bytes) && !IsLarge(it.held)) continue;
    if (found && it.progress_at == oldest) continue;
    found = id;
    oldest = it.progress_at;
  }
  return found;
}

void RequestBudget::Add(std::size_t bytes) {
  held_ += bytes;
  if (!IsLarge(bytes)) return;
  large_held_ += bytes;
  ++large_;
}

void RequestBudget::Remove(std::size_t bytes) {
  held_ -= bytes;
  if (!IsLarge(bytes)) return;
  large_held_ -= bytes;
  --large_;
}

}  // namespace sapphirewheel
