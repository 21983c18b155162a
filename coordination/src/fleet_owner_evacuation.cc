#include <utility>

#include "fleet_owner_state.h"

// What the owner does and tells about evacuated data centres.

namespace sapphirewheel {
namespace {

std::string Describe(const DataCentreId& data_centre, const Dispatcher::DataCentreUse& use) {
  std::string detail = "data-centre=" + data_centre.str() +
                       " servers=" + std::to_string(use.servers) +
                       " tasks=" + std::to_string(use.tasks) +
                       " long-running=" + std::to_string(use.long_running_tasks);
  if (use.servers == 0) detail += ", no backend server is there";
  return detail;
}

}  // namespace

void FleetOwner::Impl::ReportEvacuations() {
  const std::set<DataCentreId>& present = evacuations.data_centres();
  if (present == reported_evacuations) return;
  const auto earlier = std::exchange(reported_evacuations, present);
  for (const DataCentreId& it : present) {
    if (earlier.count(it) > 0) continue;
    ReportEvent(NodeEvent::kEvacuationBegun, Describe(it, dispatcher->UseOf(it)));
  }
  for (const DataCentreId& it : earlier) {
    if (present.count(it) > 0) continue;
    ReportEvent(NodeEvent::kEvacuationEnded, Describe(it, dispatcher->UseOf(it)));
  }
}

void FleetOwner::SetEvacuations(const Evacuations& evacuations) {
  impl_->evacuations = evacuations;
  if (impl_->dispatcher) impl_->dispatcher->SetEvacuations(evacuations);
  if (impl_->autoscaler) impl_->autoscaler->SetEvacuated(evacuations.data_centres());
}

int FleetOwner::EvacuatedTasks() const {
  if (!impl_->dispatcher) return 0;
  int tasks = 0;
  for (const DataCentreId& it : impl_->evacuations.data_centres()) {
    tasks += impl_->dispatcher->UseOf(it).tasks;
  }
  return tasks;
}

}  // namespace sapphirewheel
