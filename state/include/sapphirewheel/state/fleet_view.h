#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

enum class VmRole { kEntry, kWorker };
enum class VmPhase { kLive, kLeaving };

// A VM as listed by the platform; the list lags behind the actual state.
struct VmInfo {
  VmId vm;
  VmRole role = VmRole::kWorker;
  VmPhase phase = VmPhase::kLive;
  DataCentreId data_centre;
  RackId rack;
  // "ip:port" of the backend server's HTTP interface.
  std::string address;
  Slots slots;
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;
};

struct VmList {
  std::vector<VmInfo> vms;
};

// Phase of a VM, which determines what nodes may do with it. Stored in table `vms` with the VM's
// pool.
enum class AssignmentPhase { kActive, kDraining, kRebooting, kVerifying, kOut };

// The assignment of a VM to a pool, stored in the VM's only row in table `vms`.
struct VmAssignment {
  VmId vm;
  PoolId pool;
  AssignmentPhase phase = AssignmentPhase::kActive;
  // The wave that has taken the VM out of service; empty when none has.
  WaveId wave;
  Revision revision;
};

[[nodiscard]] std::string EncodeAssignment(const VmAssignment& assignment);
// Returns an assignment with an empty pool when the text is invalid.
[[nodiscard]] VmAssignment DecodeAssignment(const VmId& vm, const std::string& text,
                                            Revision revision);

}  // namespace sapphirewheel
