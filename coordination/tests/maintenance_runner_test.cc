#include "sapphirewheel/coordination/maintenance_runner.h"

#include <algorithm>
#include <set>

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

MonotonicTime At(int ms) { return MonotonicTime(Millis(ms)); }

}  // namespace

TEST_GROUP(MaintenanceRunner) {
  std::vector<VmId> ordered;
  std::set<BackendId> evacuated;
  std::set<BackendId> busy;
  std::vector<Dispatcher::BackendView> backends;
  std::vector<VmReport> vms;

  MaintenanceRunner runner{Hooks(), Millis(2000)};

  MaintenanceRunner::Hooks Hooks() {
    MaintenanceRunner::Hooks hooks;
    hooks.maintain = [this](const VmId& vm, std::int64_t) { ordered.push_back(vm); };
    hooks.evacuate = [this](const BackendId& id, bool on) {
      on ? void(evacuated.insert(id)) : void(evacuated.erase(id));
    };
    hooks.avoid = [](const BackendId&, bool) {};
    hooks.is_idle = [this](const BackendId& id) { return busy.count(id) == 0; };
    hooks.ended = [](const BackendId&) {};
    return hooks;
  }

  void AddVm(const char* name) {
    Dispatcher::BackendView view;
    view.id = BackendId(std::string("b-") + name);
    view.vm = VmId(name);
    view.usable = true;
    backends.push_back(view);
    vms.push_back(VmReport{VmId(name), PoolId("p"), VmState::kUp, view.id});
  }

  // The VM returns with a new incarnation of its backend server.
  void Return(const char* name) {
    for (auto& it : backends) {
      if (it.vm == VmId(name)) it.id = BackendId(it.id.str() + "'");
    }
  }

  void Start(int max_down) {
    WaveOrder order{1, {}, Millis(20'000), max_down};
    for (const auto& it : vms) order.vms.push_back(it.vm);
    runner.AddWave(order, {});
    runner.SetVms(vms, At(0), At(0));
  }
};

TEST(MaintenanceRunner, DoesNotExceedTheMaximumNumberOfVmsDown) {
  for (const char* it : {"v1", "v2", "v3"}) AddVm(it);
  Start(1);
  runner.Tick(backends, At(0));
  LONGS_EQUAL(1, ordered.size());
  runner.OnMaintain(ordered[0], 1, VmOrderOutcome::kDone, At(10));
  runner.Tick(backends, At(100));
  LONGS_EQUAL(1, ordered.size());
  Return(ordered[0].str().c_str());
  runner.Tick(backends, At(2100));
  LONGS_EQUAL(2, ordered.size());
}

TEST(MaintenanceRunner, WaitsUntilTheVmIsFree) {
  AddVm("v1");
  busy.insert(BackendId("b-v1"));
  Start(1);
  runner.Tick(backends, At(0));
  LONGS_EQUAL(0, ordered.size());
  busy.clear();
  runner.Tick(backends, At(20));
  LONGS_EQUAL(1, ordered.size());
}

// Guards against two runs of a task: a server that is cut off from the registry still runs its
// tasks, which the maintenance of its VM would give up.
TEST(MaintenanceRunner, WaitsForTheTasksOfAServerThatLeftTheRegistry) {
  AddVm("v1");
  busy.insert(BackendId("b-v1"));
  backends.clear();
  Start(1);
  runner.Tick(backends, At(0));
  LONGS_EQUAL(0, ordered.size());
  busy.clear();
  runner.Tick(backends, At(100));
  LONGS_EQUAL(1, ordered.size());
}

// An order without a reply may have been carried out.
TEST(MaintenanceRunner, CountsAnOrderWithoutAReplyAsDownAndRepeatsIt) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(ordered[0], 1, VmOrderOutcome::kUnknown, At(100));
  runner.Tick(backends, At(1000));
  LONGS_EQUAL(2, ordered.size());
  CHECK(ordered[0] == ordered[1]);
}

// The VM continues to count as down even if it is no longer idle and another VM is.
TEST(MaintenanceRunner, OrdersNoOtherVmWhileAnOrderMayStillBeCarriedOut) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(100));
  busy.insert(BackendId("b-v1"));
  runner.Tick(backends, At(1000));
  LONGS_EQUAL(2, ordered.size());
  CHECK(ordered[1] == VmId("v1"));
  // The repeated order is refused, which does not show the outcome of the first one.
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(1100));
  for (int at = 2000; at < 13'000; at += 500) {
    runner.Tick(backends, At(at));
    if (ordered.back() == VmId("v1")) {
      runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(at + 10));
    }
  }
  CHECK(
      std::all_of(ordered.begin(), ordered.end(), [](const auto& it) { return it == VmId("v1"); }));
  // Too late to be carried out.
  for (int at = 13'500; at < 15'000; at += 500) {
    runner.Tick(backends, At(at));
    if (ordered.back() != VmId("v1")) break;
    runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(at + 10));
  }
  CHECK(ordered.back() == VmId("v2"));
}

// VMs of a spare pool are off and have no backend server that would show their return.
TEST(MaintenanceRunner, SeesTheReturnOfAVmWithoutBackendServer) {
  vms.push_back(VmReport{VmId("v1"), PoolId("spare"), VmState::kUp, BackendId()});
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(10));
  runner.SetVms(vms, At(500), At(500));
  CHECK(runner.IsPending(VmId("v1")));
  runner.SetVms(vms, At(3100), At(3100));
  runner.Tick(backends, At(3100));
  CHECK_FALSE(runner.IsPending(VmId("v1")));
  const auto changes = runner.TakeChanges();
  CHECK(changes.back().completed);
}

// Guards against waves that take twice as long as the maintenance of their VMs: the return of a VM
// without backend server shows in the first list that no longer has it in maintenance.
TEST(MaintenanceRunner, SeesTheReturnOfAVmAfterAListThatShowedItInMaintenance) {
  vms.push_back(VmReport{VmId("v1"), PoolId("spare"), VmState::kUp, BackendId()});
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(10));
  vms[0].state = VmState::kMaintenance;
  runner.SetVms(vms, At(300), At(300));
  // A list taken before the order.
  vms[0].state = VmState::kUp;
  runner.SetVms(vms, At(600), At(600));
  CHECK(runner.IsPending(VmId("v1")));
  vms[0].state = VmState::kMaintenance;
  runner.SetVms(vms, At(1500), At(1500));
  CHECK(runner.IsPending(VmId("v1")));
  vms[0].state = VmState::kUp;
  runner.SetVms(vms, At(2100), At(2100));
  CHECK_FALSE(runner.IsPending(VmId("v1")));
}

// Guards against waves with more VMs down than allowed: a server that came up before the
// maintenance had begun, by a move that was under way when it was ordered, was taken for the
// return.
TEST(MaintenanceRunner, DoesNotTakeAServerOfAnEarlierMoveForTheReturn) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  Return("v1");
  runner.Tick(backends, At(900));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(3000));
  for (int at = 3000; at < 5000; at += 100) runner.Tick(backends, At(at));
  CHECK(std::count(ordered.begin(), ordered.end(), VmId("v2")) == 0);
  Return("v1");
  runner.Tick(backends, At(5100));
  CHECK(std::count(ordered.begin(), ordered.end(), VmId("v2")) == 1);
}

// Guards against waves with more VMs down than allowed: a list that was requested before the order
// was confirmed showed another server, which was taken for the return.
TEST(MaintenanceRunner, DoesNotTakeAListFromBeforeTheConfirmationForTheReturn) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  runner.Tick(backends, At(900));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(3000));
  vms[0].backend = BackendId("moved");
  runner.SetVms(vms, At(2900), At(3050));
  runner.SetVms(vms, At(3600), At(3650));
  runner.Tick(backends, At(3700));
  CHECK(runner.IsPending(VmId("v1")));
  CHECK(std::count(ordered.begin(), ordered.end(), VmId("v2")) == 0);
}

// Guards against waves that end late because the reply to an order came after the VM was back.
TEST(MaintenanceRunner, SeesTheReturnInTheListAfterALateReply) {
  AddVm("v1");
  Start(1);
  runner.Tick(backends, At(0));
  Return("v1");
  vms[0].backend = backends[0].id;
  runner.Tick(backends, At(2100));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(2900));
  runner.Tick(backends, At(3000));
  runner.SetVms(vms, At(3900), At(3920));
  CHECK_FALSE(runner.IsPending(VmId("v1")));
}

// Guards against waves that end late because no reply shows that an order was carried out.
TEST(MaintenanceRunner, SeesInTheListThatAnOrderWithoutAReplyWasCarriedOut) {
  AddVm("v1");
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  vms[0].state = VmState::kMaintenance;
  runner.SetVms(vms, At(1100), At(1120));
  runner.Tick(backends, At(1200));
  Return("v1");
  runner.Tick(backends, At(2100));
  CHECK_FALSE(runner.IsPending(VmId("v1")));
}

// Guards against tasks that maintenance ends without notice: a server that came up while the order
// was open was given work.
TEST(MaintenanceRunner, AServerThatComesUpWhileAnOrderIsOpenGetsNoWork) {
  AddVm("v1");
  Start(1);
  runner.Tick(backends, At(0));
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  Return("v1");
  const BackendId server = backends[0].id;
  runner.Tick(backends, At(2200));
  CHECK(evacuated.count(server) == 1);
  // It was the return.
  vms[0].backend = server;
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(2900));
  runner.Tick(backends, At(3000));
  CHECK(evacuated.count(server) == 1);
  runner.SetVms(vms, At(4000), At(4020));
  CHECK(evacuated.count(server) == 0);
}

TEST(MaintenanceRunner, SkipsVmsThatAnEarlierOwnerFinished) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  WaveOrder order{1, {VmId("v1"), VmId("v2")}, Millis(20'000), 2};
  const auto finished =
      MaintenanceRunner::DecodeFinished(MaintenanceRunner::EncodeFinished({VmId("v1")}));
  runner.AddWave(order, finished);
  runner.SetVms(vms, At(0), At(0));
  runner.Tick(backends, At(0));
  LONGS_EQUAL(1, ordered.size());
  CHECK(ordered[0] == VmId("v2"));
}
