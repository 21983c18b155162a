#include <algorithm>

#include "dispatcher_state.h"

// Data centres in which operators want nothing to be started.

namespace sapphirewheel {
namespace {

constexpr Millis kStuckCheckInterval{300};
// Interval of looking for room elsewhere for long-running tasks in evacuated data centres, which
// may be many servers; a move takes longer.
constexpr Millis kEvacuationCheckInterval{100};

}  // namespace

void Dispatcher::Impl::MoveTasks() {
  const bool check_stuck = now_ >= next_stuck_check;
  if (check_stuck) next_stuck_check = now_ + kStuckCheckInterval;
  const bool may_place = MayPlace();
  const bool leave_evacuated = now_ >= next_evacuation_check;
  if (leave_evacuated) next_evacuation_check = now_ + kEvacuationCheckInterval;
  for (auto& [id, backend] : backends) {
    if (check_stuck) {
      StopStuckTasks(*backend);
      if (may_place) SeparateBestEffortTasks(*backend);
    }
    const bool leave =
        backend->evacuating || backend->avoided || (leave_evacuated && InEvacuation(*backend));
    // Where nothing may be placed, a task is better off on its server, unless that leaves.
    if (backend->report.draining || (leave && may_place)) Evacuate(*backend);
  }
}

bool Dispatcher::Impl::InEvacuation(const BackendEntry& backend) const {
  return evacuations.Contains(backend.report.data_centre);
}

bool Dispatcher::Impl::MayPlace() const { return evacuations.MayPlace(now_); }

bool Dispatcher::Impl::IsGangInEvacuation(const TaskRef& ref) const {
  const auto& tasks = ref.step->tasks;
  return ref.spec->gang && std::any_of(tasks.begin(), tasks.end(), [&](const TaskState& it) {
           return it.backend != nullptr && InEvacuation(*it.backend);
         });
}

bool Dispatcher::Impl::MayMoveGang(const QueuePolicy& queue, const TaskRef& ref) {
  const StepSpec& spec = *ref.spec;
  if (spec.unavailable_budget.value_or(spec.count) < spec.count) return false;
  Plan plan;
  for (const TaskState& it : ref.step->tasks) {
    // It can start again where it runs.
    if (it.backend != nullptr && IsUsable(*it.backend)) continue;
    const BackendEntry* place = Pick(queue, spec, *ref.step, it, plan);
    if (place == nullptr) return false;
    ++plan[place];
  }
  return true;
}

void Dispatcher::SetEvacuations(const Evacuations& evacuations) {
  const bool changed = evacuations.data_centres() != impl_->evacuations.data_centres();
  impl_->evacuations = evacuations;
  if (!changed) return;
  impl_->pool_servers_valid = false;
  impl_->place_due = true;
}

Dispatcher::DataCentreUse Dispatcher::UseOf(const DataCentreId& data_centre) const {
  DataCentreUse use;
  for (const auto& [id, backend] : impl_->backends) {
    if (backend->report.data_centre != data_centre) continue;
    use.servers += backend->registered ? 1 : 0;
    use.tasks += static_cast<int>(backend->tasks.size());
    use.long_running_tasks += backend->long_running_tasks;
  }
  return use;
}

}  // namespace sapphirewheel
