#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/fleet_ports.h"

namespace sapphirewheel {

// The VMs for which the platform has yet to see the fencing token of a new owner, so that it
// refuses the orders of earlier owners. Moving a VM to the pool that it is already in shows the
// token and changes nothing. Done only for VMs with long-running tasks, which a late order would
// interrupt.
class VmFences {
 public:
  void Queue(const std::vector<VmReport>& vms,
             const std::vector<Dispatcher::BackendView>& backends);
  [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }
  // The next VM with its pool, by the state of the backend servers at this time; absent if it is no
  // longer needed.
  [[nodiscard]] std::optional<std::pair<VmId, PoolId>> Take(
      const std::vector<Dispatcher::BackendView>& backends);

 private:
  std::vector<VmReport> pending_;
};

}  // namespace sapphirewheel
