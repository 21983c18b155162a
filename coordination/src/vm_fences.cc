#include "sapphirewheel/coordination/vm_fences.h"

#include <algorithm>
#include <set>

namespace sapphirewheel {

void VmFences::Queue(const std::vector<VmReport>& vms,
                     const std::vector<Dispatcher::BackendView>& backends) {
  std::set<BackendId> serving;
  for (const auto& it : backends) {
    if (it.long_running_tasks > 0) serving.insert(it.id);
  }
  for (const VmReport& it : vms) {
    if (it.state == VmState::kUp && serving.count(it.backend) > 0) pending_.push_back(it);
  }
}

std::optional<std::pair<VmId, PoolId>> VmFences::Take(
    const std::vector<Dispatcher::BackendView>& backends) {
  const VmReport listed = pending_.back();
  pending_.pop_back();
  // The VM may have been moved since the list, and this must not move it back.
  const bool unchanged = std::any_of(backends.begin(), backends.end(), [&](const auto& it) {
    return it.id == listed.backend && it.pool == listed.pool && it.usable &&
           it.long_running_tasks > 0;
  });
  if (!unchanged) return std::nullopt;
  return std::pair(listed.vm, listed.pool);
}

}  // namespace sapphirewheel
