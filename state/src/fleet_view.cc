#include "sapphirewheel/state/fleet_view.h"

#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

constexpr const char* kPhaseNames[] = {"active", "draining", "rebooting", "verifying", "out"};

}  // namespace

std::string EncodeAssignment(const VmAssignment& assignment) {
  return boost::json::serialize(boost::json::object{
      {"pool", assignment.pool.str()},
      {"phase", kPhaseNames[static_cast<int>(assignment.phase)]},
      {"wave", assignment.wave.str()},
  });
}

VmAssignment DecodeAssignment(const VmId& vm, const std::string& text, Revision revision) {
  VmAssignment assignment;
  assignment.vm = vm;
  assignment.revision = revision;
  auto object = ParseObject(text);
  if (!object) return assignment;
  assignment.pool = PoolId(TextField(object.value(), "pool"));
  assignment.wave = WaveId(TextField(object.value(), "wave"));
  const std::string phase = TextField(object.value(), "phase", "active");
  for (int i = 0; i < 5; ++i) {
    if (phase == kPhaseNames[i]) assignment.phase = static_cast<AssignmentPhase>(i);
  }
  return assignment;
}

}  // namespace sapphirewheel
