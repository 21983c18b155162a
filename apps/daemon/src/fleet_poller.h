#pragma once

#include <functional>
#include <map>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/state/fleet_view.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Polls the VM list, the members and the VM assignments from the platform and keeps the latest
// result of each.
class FleetPoller {
 public:
  struct Settings {
    Millis list_interval{1000};
    Millis assignment_interval{2000};
  };
  struct Hooks {
    TableHooks table;
    std::function<void(std::function<void(Result<VmList>)>)> list_vms;
    std::function<void(const VmList&)> vms_changed;
    std::function<void(const std::map<VmId, VmAssignment>&)> assignments_changed;
    std::function<void(const std::vector<MemberRecord>&)> members_read;
  };

  FleetPoller(Settings settings, Hooks hooks);

  void Tick(MonotonicTime now);
  // Makes the next tick read the assignments. Called after this node changed them.
  void RefreshAssignments() noexcept { assignments_.next = MonotonicTime{}; }

  [[nodiscard]] const VmList& vms() const noexcept { return vms_; }
  [[nodiscard]] const std::map<VmId, VmInfo>& by_id() const noexcept { return by_id_; }
  [[nodiscard]] const std::map<VmId, VmAssignment>& assignments() const noexcept {
    return assigned_;
  }

 private:
  // A periodic read. At most one is in flight.
  struct Poll {
    MonotonicTime next{};
    bool busy = false;
  };
  [[nodiscard]] static bool Due(Poll& poll, MonotonicTime now, Millis interval);

  void ReadVms();
  void ReadMembers();
  // Reads the assignments page by page from the key `first` on; `read` holds those read before.
  void ReadAssignments(const std::string& first, std::map<VmId, VmAssignment> read);

  Settings settings_;
  Hooks hooks_;
  Poll list_;
  Poll members_;
  Poll assignments_;
  VmList vms_;
  std::map<VmId, VmInfo> by_id_;
  std::map<VmId, VmAssignment> assigned_;
};

}  // namespace sapphirewheel
