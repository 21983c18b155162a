#include <algorithm>

#include "dispatcher_fixture.h"
#include "sapphirewheel/coordination/maintenance_runner.h"

using namespace sapphirewheel;           // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

// What keeps long-running tasks available while their backend servers lose the path to the registry
// or to the owner: the VM of a server that may run something is in use.
TEST_GROUP_BASE(DispatcherAvailability, DispatcherFixture) {
  std::vector<VmId> ordered;
  std::unique_ptr<MaintenanceRunner> maintenance;
  const BackendId b1{"b1"};
  const VmId v1{"v1"};

  void AddBackendOnVm() {
    BackendReport report;
    report.id = b1;
    report.pool = PoolId("p");
    report.vm = v1;
    report.capacity = kServer;
    report.started_at = UnixMillis(started_at);
    dispatcher->UpsertBackend(report, Now());
  }

  void AddLongRunningJob() {
    StepSpec step = Step(2, 1000);
    step.long_running = true;
    step.unavailable_budget = 1;
    AddJob("j1", {step});
  }

  // Begins a wave with the VM, which is up and runs the server by the list of VMs.
  void StartWave() {
    MaintenanceRunner::Hooks hooks;
    hooks.maintain = [this](const VmId& vm, std::int64_t) { ordered.push_back(vm); };
    hooks.evacuate = [this](const BackendId& id, bool on) { dispatcher->SetEvacuating(id, on); };
    hooks.avoid = [this](const BackendId& id, bool on) { dispatcher->SetAvoided(id, on); };
    hooks.is_idle = [this](const BackendId& id) { return dispatcher->IsIdle(id); };
    hooks.ended = [this](const BackendId& id) { dispatcher->BackendEnded(id, Now()); };
    maintenance = std::make_unique<MaintenanceRunner>(hooks, Millis(2000));
    maintenance->AddWave(WaveOrder{1, {v1}, Millis(20'000), 1}, {}, Now());
    maintenance->SetVms({VmReport{v1, PoolId("p"), VmState::kUp, b1}}, Now(), Now());
    TickMaintenance();
  }

  // Stores what has changed, as an owner does at once.
  void TickMaintenance() {
    maintenance->Tick(dispatcher->Backends(), Now());
    for (const auto& it : maintenance->TakeChanges()) maintenance->OnStored(it.wave, it.progress);
    maintenance->Tick(dispatcher->Backends(), Now());
  }

  void AdvanceWithMaintenance(int ms) {
    for (const int until = now_ms + ms; now_ms < until;) {
      Advance(100);
      TickMaintenance();
    }
  }
};

// Guards against maintenance that ends long-running tasks beyond their budget: a server that lost
// the path to the registry has left it, and its VM was taken for one without a server.
TEST(DispatcherAvailability, NoMaintenanceOfAVmWhoseServerLeftTheRegistryWhileItRunsTasks) {
  AddBackendOnVm();
  AddLongRunningJob();
  Advance(300);
  LONGS_EQUAL(2, starts.size());
  StartWave();
  AdvanceWithMaintenance(300);
  LONGS_EQUAL(0, ordered.size());
  dispatcher->RemoveBackend(b1, Now());
  silent.insert(b1);
  AdvanceWithMaintenance(3000);
  LONGS_EQUAL(0, ordered.size());
  // Its runs have ended with the lease.
  AdvanceWithMaintenance(kAfterUsualLease);
  LONGS_EQUAL(1, ordered.size());
  CHECK(ordered[0] == v1);
}

// Guards against the same after a change of owner: the new owner knows the server only by the
// roster, and adopts its runs once the server is registered again.
TEST(DispatcherAvailability, NoMaintenanceOfAVmWhoseServerMayRunTasksOfAnEarlierOwner) {
  dispatcher->SetRoster({{b1, {PoolId("p"), std::nullopt, v1}}}, Now());
  AddJob("j1", {Step(1, 1000)}, "", true);
  StartWave();
  AdvanceWithMaintenance(3000);
  LONGS_EQUAL(0, ordered.size());
  AdvanceWithMaintenance(kAfterLongestLease);
  LONGS_EQUAL(1, ordered.size());
}

// Guards against the same while the first poll of a server that has left the registry is in flight.
TEST(DispatcherAvailability, NoMaintenanceOfAVmWhoseServerLeftTheRegistryBeforeItReplied) {
  dispatcher->SetRoster({{b1, {PoolId("p"), std::nullopt, v1}}}, Now());
  AddBackendOnVm();
  LONGS_EQUAL(1, AdvanceWithoutReplies(100).size());
  dispatcher->RemoveBackend(b1, Now());
  StartWave();
  AdvanceWithoutReplies(100);
  TickMaintenance();
  LONGS_EQUAL(0, ordered.size());
}

// The roster of an older version does not name the VM, but the list of VMs names the server.
TEST(DispatcherAvailability, AServerOfTheRosterThatIsNotRegisteredIsNotIdle) {
  dispatcher->SetRoster({{b1, {PoolId("p"), std::nullopt}}}, Now());
  CHECK_FALSE(dispatcher->IsIdle(b1));
  StartWave();
  AdvanceWithMaintenance(1000);
  LONGS_EQUAL(0, ordered.size());
  AdvanceWithMaintenance(kAfterLongestLease);
  CHECK_TRUE(dispatcher->IsIdle(b1));
  LONGS_EQUAL(1, ordered.size());
}

// The new server of a VM shows its return, also while the earlier one may still count as running.
TEST(DispatcherAvailability, ARegisteredServerIsListedAfterAnEarlierOneOfItsVm) {
  AddBackendOnVm();
  AddLongRunningJob();
  Advance(300);
  dispatcher->RemoveBackend(b1, Now());
  silent.insert(b1);
  BackendReport report;
  report.id = BackendId("a1");
  report.pool = PoolId("p");
  report.vm = v1;
  report.capacity = kServer;
  report.started_at = UnixMillis(started_at);
  dispatcher->UpsertBackend(report, Now());
  Advance(100);
  const auto views = dispatcher->Backends();
  LONGS_EQUAL(2, views.size());
  CHECK(views[0].id == b1);
  CHECK_FALSE(views[0].usable);
  CHECK_FALSE(views[0].settled);
  CHECK(views[1].id == BackendId("a1"));
  CHECK_TRUE(views[1].usable);
}
