#include <algorithm>
#include <memory>

#include "sapphirewheel/coordination/worker_registry.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

constexpr int kSeconds = 10;

WorkerRegistry::Settings RegistrySettings() {
  WorkerRegistry::Settings settings;
  settings.self = NodeId("entry-1#1");
  settings.data_centre = DataCentreId("dc1");
  return settings;
}

// Reply of a worker that runs two tasks.
OwnershipReply GrantedReply(const VmId& vm) {
  OwnershipReply reply;
  reply.outcome = OwnershipOutcome::kGranted;
  reply.report.epoch = Epoch(1);
  reply.report.slots = Slots(8);
  reply.report.free_slots = Slots(6);
  for (int i = 0; i < 2; ++i) {
    TaskReport task;
    task.task = TaskId(vm.str() + "/task-" + std::to_string(i));
    task.node = NodeId("entry-1#1");
    task.team = TeamName(i);
    task.used_millicores = 2000;
    reply.report.tasks.push_back(task);
  }
  return reply;
}

std::int64_t RenewOwnership(WorkerRegistry& registry, MonotonicTime now) {
  std::int64_t calls = 0;
  for (const OwnershipCall& call : registry.CallsDue(now)) {
    registry.OnReply(call.vm, GrantedReply(call.vm), now);
    ++calls;
  }
  return calls;
}

// Measures a node that owns all workers and renews their ownership in each tick of the core loop.
std::vector<double> MeasureOwned(double size) {
  const int n = static_cast<int>(size);
  const FleetConfig config = MakeConfig(5, 6, n);
  const VmList list = MakeVms(n, 1);
  const auto assignments = MakeAssignments(n, 5);
  const double heap = HeapBytes();
  auto registry = std::make_unique<WorkerRegistry>(RegistrySettings());
  registry->OnLiveNodes({NodeId("entry-1#1")});
  registry->OnVmList(list, MonotonicTime{});
  registry->OnAssignments(assignments);
  MonotonicTime now{kCoreTick};
  RenewOwnership(*registry, now);
  const double per_worker = (HeapBytes() - heap) / size;
  std::int64_t calls = 0;
  const double start = CpuSeconds();
  const MonotonicTime end = now + Millis(kSeconds * 1000);
  for (now += kCoreTick; now <= end; now += kCoreTick) calls += RenewOwnership(*registry, now);
  const double cpu_seconds = CpuSeconds() - start;
  const int choices = 200;
  const double choose_start = CpuSeconds();
  for (int i = 0; i < choices; ++i) {
    static_cast<void>(registry->Choose(ServiceName(i % 5), TeamName(0), Slots(1), config, now));
  }
  const double choose_seconds = (CpuSeconds() - choose_start) / choices;
  return {static_cast<double>(calls) / kSeconds, cpu_seconds / static_cast<double>(calls) * 1e6,
          cpu_seconds / kSeconds * 100, per_worker, choose_seconds * 1e6};
}

// Measures the CPU time and heap that one of the assumed daemons needs for its view of the whole
// fleet: it reads the VM list and the assignments at their intervals, and sums the loads in each
// tick of the core loop.
std::vector<double> MeasureFleetView(double size) {
  const int n = static_cast<int>(size);
  const int pools = std::max(5, n / kVmsPerPool);
  const FleetConfig config = MakeConfig(pools, 6, n);
  const double heap = HeapBytes();
  const VmList list = MakeVms(n, kDataCentres);
  const auto by_id = ById(list);
  const auto assignments = MakeAssignments(n, pools);
  auto registry = std::make_unique<WorkerRegistry>(RegistrySettings());
  std::vector<NodeId> nodes;
  for (int i = 1; i <= kDaemonsPerDataCentre; ++i) {
    nodes.emplace_back("entry-" + std::to_string(i) + "#1");
  }
  registry->OnLiveNodes(nodes);
  MonotonicTime now{Millis(1)};
  registry->OnVmList(list, now);
  registry->OnAssignments(assignments);
  RenewOwnership(*registry, now);
  const double heap_held = HeapBytes() - heap;
  std::map<VmId, std::string> encoded;
  for (const auto& [vm, row] : assignments) encoded[vm] = EncodeAssignment(row);
  const double read_start = CpuSeconds();
  // A daemon reads the list twice and scans the assignments once in 2 s.
  for (int i = 0; i < 2; ++i) {
    const auto copy = ById(list);
    registry->OnVmList(list, now);
  }
  std::map<VmId, VmAssignment> decoded;
  for (const auto& [vm, value] : encoded) decoded[vm] = DecodeAssignment(vm, value, Revision(1));
  registry->OnAssignments(decoded);
  const double read_seconds = (CpuSeconds() - read_start) / 2;
  const double load_start = CpuSeconds();
  constexpr int kTicks = 50;
  for (int i = 0; i < kTicks; ++i) static_cast<void>(registry->Loads(config, now));
  const double load_seconds = CpuSeconds() - load_start;
  double bytes = 0;
  for (const auto& [vm, value] : encoded) {
    bytes += static_cast<double>(vm.str().size() + value.size());
  }
  return {heap_held / 1e6, read_seconds * 100, load_seconds * 100, bytes / 2 / 1000};
}

}  // namespace

std::vector<Series> MeasureWorkers() {
  return {
      MeasureSeries("WorkerRegistry: workers that one node owns", "owned workers",
                    static_cast<double>(kWorkers) / kDaemons,
                    {"renewals/s", "CPU µs/renewal", "CPU % of a core", "heap bytes/worker",
                     "CPU µs/placement"},
                    {50, 500, 5000}, MeasureOwned),
      MeasureSeries(
          "View of the fleet at one node: VM list and assignments, 81 daemons",
          "workers in the fleet", kWorkers,
          {"heap MB", "CPU % of reads (list 1 s, assignments 2 s)", "CPU % of Loads (each 20 ms)",
           "KB/s of keys and values of scanned assignments"},
          {50, 500, 5000}, MeasureFleetView),
  };
}

}  // namespace sapphirewheel::capacity
