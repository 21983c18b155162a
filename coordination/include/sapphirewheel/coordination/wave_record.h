#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/fleet_view.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

enum class WavePhase { kRunning, kPaused, kCancelling, kCancelled, kDone };
[[nodiscard]] const char* WavePhaseName(WavePhase phase) noexcept;

// State of a maintenance wave, stored in the row `waves/<wave>`.
struct WaveRecord {
  std::vector<PoolId> pools;
  WavePhase phase = WavePhase::kRunning;
  // Configuration version of the last operator action (start, resume, cancel) that was applied.
  ConfigVersion applied;
  // VMs that failed verification since the start or the latest resume, with their racks.
  std::map<VmId, RackId> failures;
  // Number of resumes; each one retries every failed VM once.
  std::int64_t resumes = 0;
  // Why the wave is paused.
  std::string reason;
};

// State of a VM that a wave has taken out of service.
struct WaveVm {
  // Never kActive. kOut after a failed reboot or verification.
  AssignmentPhase phase = AssignmentPhase::kDraining;
  // Boot id before the reboot; the reboot is complete when the VM reports another one.
  std::string boot;
  // Value of WaveRecord::resumes when the VM was admitted or last rebooted.
  std::int64_t resumes = 0;
};

// The VMs of one pool in a wave, as of its start, stored in the row `waves/<wave>/<pool>`. One row
// per pool keeps row values small for waves over thousands of VMs.
struct WavePart {
  std::set<VmId> todo;
  std::map<VmId, WaveVm> busy;
  std::set<VmId> done;
};

[[nodiscard]] RowKey WavePartRow(const WaveId& wave, const PoolId& pool);

[[nodiscard]] std::string EncodeWave(const WaveRecord& wave);
[[nodiscard]] Result<WaveRecord> DecodeWave(const std::string& text);
[[nodiscard]] std::string EncodeWavePart(const WavePart& part);
[[nodiscard]] Result<WavePart> DecodeWavePart(const std::string& text);

}  // namespace sapphirewheel
