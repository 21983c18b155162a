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
  // Wave of the last order.
  std::int64_t last_wave = 0;
  std::set<BackendId> evacuated;
  std::set<BackendId> busy;
  std::set<BackendId> ended;
  std::vector<Dispatcher::BackendView> backends;
  std::vector<VmReport> vms;

  // The last progress that was stored of each wave, and the waves that are completed.
  std::map<std::int64_t, MaintenanceProgress> stored;
  std::set<std::int64_t> completed;

  MaintenanceRunner runner{Hooks(), Millis(2000)};

  MaintenanceRunner::Hooks Hooks() {
    MaintenanceRunner::Hooks hooks;
    hooks.maintain = [this](const VmId& vm, std::int64_t wave) {
      ordered.push_back(vm);
      last_wave = wave;
    };
    hooks.evacuate = [this](const BackendId& id, bool on) {
      on ? void(evacuated.insert(id)) : void(evacuated.erase(id));
    };
    hooks.avoid = [](const BackendId&, bool) {};
    hooks.is_idle = [this](const BackendId& id) { return busy.count(id) == 0; };
    hooks.ended = [this](const BackendId& id) { ended.insert(id); };
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

  // Stores what has changed, as an owner does at once.
  void Tick(int at) {
    runner.Tick(backends, At(at));
    for (const auto& it : runner.TakeChanges()) {
      stored[it.wave] = it.progress;
      if (it.completed) completed.insert(it.wave);
      runner.OnStored(it.wave, it.progress);
    }
    runner.Tick(backends, At(at));
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
    runner.AddWave(order, {}, At(0));
    runner.SetVms(vms, At(0), At(0));
  }
};

TEST(MaintenanceRunner, DoesNotExceedTheMaximumNumberOfVmsDown) {
  for (const char* it : {"v1", "v2", "v3"}) AddVm(it);
  Start(1);
  Tick(0);
  LONGS_EQUAL(1, ordered.size());
  runner.OnMaintain(ordered[0], 1, VmOrderOutcome::kDone, At(10));
  Tick(100);
  LONGS_EQUAL(1, ordered.size());
  Return(ordered[0].str().c_str());
  Tick(2100);
  LONGS_EQUAL(2, ordered.size());
}

TEST(MaintenanceRunner, WaitsUntilTheVmIsFree) {
  AddVm("v1");
  busy.insert(BackendId("b-v1"));
  Start(1);
  Tick(0);
  LONGS_EQUAL(0, ordered.size());
  busy.clear();
  Tick(20);
  LONGS_EQUAL(1, ordered.size());
}

// Guards against two runs of a task: a server that is cut off from the registry still runs its
// tasks, which the maintenance of its VM would give up.
TEST(MaintenanceRunner, WaitsForTheTasksOfAServerThatLeftTheRegistry) {
  AddVm("v1");
  busy.insert(BackendId("b-v1"));
  backends.clear();
  Start(1);
  Tick(0);
  LONGS_EQUAL(0, ordered.size());
  busy.clear();
  Tick(100);
  LONGS_EQUAL(1, ordered.size());
}

// An order without a reply may have been carried out.
TEST(MaintenanceRunner, CountsAnOrderWithoutAReplyAsDownAndRepeatsIt) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  Tick(0);
  runner.OnMaintain(ordered[0], 1, VmOrderOutcome::kUnknown, At(100));
  Tick(1000);
  LONGS_EQUAL(2, ordered.size());
  CHECK(ordered[0] == ordered[1]);
}

// The VM continues to count as down even if it is no longer idle and another VM is.
TEST(MaintenanceRunner, OrdersNoOtherVmWhileAnOrderMayStillBeCarriedOut) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  Tick(0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(100));
  busy.insert(BackendId("b-v1"));
  Tick(1000);
  LONGS_EQUAL(2, ordered.size());
  CHECK(ordered[1] == VmId("v1"));
  // The repeated order is refused, which does not show the outcome of the first one.
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(1100));
  for (int at = 2000; at < 13'000; at += 500) {
    Tick(at);
    if (ordered.back() == VmId("v1")) {
      runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(at + 10));
    }
  }
  CHECK(
      std::all_of(ordered.begin(), ordered.end(), [](const auto& it) { return it == VmId("v1"); }));
  // Too late to be carried out.
  for (int at = 13'500; at < 15'000; at += 500) {
    Tick(at);
    if (ordered.back() != VmId("v1")) break;
    runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(at + 10));
  }
  CHECK(ordered.back() == VmId("v2"));
}

// VMs of a spare pool are off and have no backend server that would show their return.
TEST(MaintenanceRunner, SeesTheReturnOfAVmWithoutBackendServer) {
  vms.push_back(VmReport{VmId("v1"), PoolId("spare"), VmState::kUp, BackendId()});
  Start(1);
  Tick(0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(10));
  runner.SetVms(vms, At(500), At(500));
  CHECK(runner.IsPending(VmId("v1")));
  runner.SetVms(vms, At(3100), At(3100));
  Tick(3100);
  CHECK_FALSE(runner.IsPending(VmId("v1")));
  CHECK(completed.count(1) > 0);
}

// Guards against waves that take twice as long as the maintenance of their VMs: the return of a VM
// without backend server shows in the first list that no longer has it in maintenance.
TEST(MaintenanceRunner, SeesTheReturnOfAVmAfterAListThatShowedItInMaintenance) {
  vms.push_back(VmReport{VmId("v1"), PoolId("spare"), VmState::kUp, BackendId()});
  Start(1);
  Tick(0);
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
  Tick(0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  Return("v1");
  Tick(900);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(3000));
  for (int at = 3000; at < 5000; at += 100) Tick(at);
  CHECK(std::count(ordered.begin(), ordered.end(), VmId("v2")) == 0);
  Return("v1");
  Tick(5100);
  CHECK(std::count(ordered.begin(), ordered.end(), VmId("v2")) == 1);
}

// Guards against waves with more VMs down than allowed: a list that was requested before the order
// was confirmed showed another server, which was taken for the return.
TEST(MaintenanceRunner, DoesNotTakeAListFromBeforeTheConfirmationForTheReturn) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  Start(1);
  Tick(0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  Tick(900);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(3000));
  vms[0].backend = BackendId("moved");
  runner.SetVms(vms, At(2900), At(3050));
  runner.SetVms(vms, At(3600), At(3650));
  Tick(3700);
  CHECK(runner.IsPending(VmId("v1")));
  CHECK(std::count(ordered.begin(), ordered.end(), VmId("v2")) == 0);
}

// Guards against waves that end late because the reply to an order came after the VM was back.
TEST(MaintenanceRunner, SeesTheReturnInTheListAfterALateReply) {
  AddVm("v1");
  Start(1);
  Tick(0);
  Return("v1");
  vms[0].backend = backends[0].id;
  Tick(2100);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(2900));
  Tick(3000);
  runner.SetVms(vms, At(3900), At(3920));
  CHECK_FALSE(runner.IsPending(VmId("v1")));
}

// Guards against waves that end late because no reply shows that an order was carried out.
TEST(MaintenanceRunner, SeesInTheListThatAnOrderWithoutAReplyWasCarriedOut) {
  AddVm("v1");
  Start(1);
  Tick(0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  vms[0].state = VmState::kMaintenance;
  runner.SetVms(vms, At(1100), At(1120));
  Tick(1200);
  Return("v1");
  Tick(2100);
  CHECK_FALSE(runner.IsPending(VmId("v1")));
}

// Guards against tasks that maintenance ends without notice: a server that came up while the order
// was open was given work.
TEST(MaintenanceRunner, AServerThatComesUpWhileAnOrderIsOpenGetsNoWork) {
  AddVm("v1");
  Start(1);
  Tick(0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kUnknown, At(500));
  Return("v1");
  const BackendId server = backends[0].id;
  Tick(2200);
  CHECK(evacuated.count(server) == 1);
  // It was the return.
  vms[0].backend = server;
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(2900));
  Tick(3000);
  CHECK(evacuated.count(server) == 1);
  runner.SetVms(vms, At(4000), At(4020));
  CHECK(evacuated.count(server) == 0);
}

TEST(MaintenanceRunner, SkipsVmsThatAnEarlierOwnerFinished) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  WaveOrder order{1, {VmId("v1"), VmId("v2")}, Millis(20'000), 2};
  const auto progress = MaintenanceProgress::Decode(MaintenanceProgress{{VmId("v1")}, {}}.Encode());
  runner.AddWave(order, progress, At(0));
  runner.SetVms(vms, At(0), At(0));
  Tick(0);
  LONGS_EQUAL(1, ordered.size());
  CHECK(ordered[0] == VmId("v2"));
}

// Guards against waves that are said to be completed without the maintenance of one of their VMs:
// its maintenance in another wave was taken for theirs.
TEST(MaintenanceRunner, MaintainsAVmInEachOfItsWaves) {
  AddVm("v1");
  Start(1);
  runner.AddWave(WaveOrder{2, {VmId("v1")}, Millis(20'000), 1}, {}, At(0));
  Tick(0);
  LONGS_EQUAL(1, ordered.size());
  LONGS_EQUAL(1, last_wave);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(10));
  vms[0].state = VmState::kMaintenance;
  runner.SetVms(vms, At(1200), At(1210));
  Tick(1300);
  LONGS_EQUAL(1, ordered.size());
  Return("v1");
  vms[0].state = VmState::kUp;
  vms[0].backend = backends[0].id;
  Tick(2100);
  runner.SetVms(vms, At(3200), At(3210));
  Tick(3300);
  CHECK(completed.count(1) > 0);
  CHECK(completed.count(2) == 0);
  // It got no work between the two.
  CHECK(evacuated.count(backends[0].id) > 0);
  LONGS_EQUAL(2, ordered.size());
  LONGS_EQUAL(2, last_wave);
  runner.OnMaintain(VmId("v1"), 2, VmOrderOutcome::kDone, At(3310));
  Tick(3400);
  Return("v1");
  Tick(5400);
  CHECK(completed.count(2) > 0);
}

// The same without any record, such as for a VM that somebody else maintains.
TEST(MaintenanceRunner, DoesNotTakeMaintenanceWithoutARecordForItsOwn) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  vms[0].state = VmState::kMaintenance;
  Start(1);
  Tick(0);
  // It counts as down.
  LONGS_EQUAL(0, ordered.size());
  vms[0].state = VmState::kUp;
  runner.SetVms(vms, At(2000), At(2010));
  Tick(2100);
  LONGS_EQUAL(1, ordered.size());
  CHECK(runner.IsPending(VmId("v1")));
  CHECK(runner.IsPending(VmId("v2")));
}

// Guards against waves with more VMs down than allowed: the order of an owner that has ended may
// still be carried out, and its successor did not know of it.
TEST(MaintenanceRunner, CountsWhatAnEarlierOwnerMayHaveOrderedAsDown) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  WaveOrder order{1, {VmId("v1"), VmId("v2")}, Millis(20'000), 1};
  busy.insert(BackendId("b-v1"));
  runner.AddWave(order, MaintenanceProgress{{}, {VmId("v1")}}, At(0));
  // It gets no work even before the first list of VMs.
  Tick(0);
  CHECK(evacuated.count(BackendId("b-v1")) > 0);
  runner.SetVms(vms, At(10), At(20));
  Tick(100);
  LONGS_EQUAL(0, ordered.size());
  // The order of this owner shows the platform its higher token.
  busy.clear();
  Tick(200);
  LONGS_EQUAL(1, ordered.size());
  CHECK(ordered[0] == VmId("v1"));
  // It may have been confirmed because the earlier one was carried out, so the server may be in
  // use.
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(210));
  CHECK(ended.empty());
  Tick(300);
  LONGS_EQUAL(1, ordered.size());
  runner.SetVms(vms, At(3400), At(3410));
  CHECK(ended.empty());
  Tick(3500);
  LONGS_EQUAL(2, ordered.size());
  CHECK(ordered[1] == VmId("v2"));
}

// An order that was never carried out does not hold up its wave for long.
TEST(MaintenanceRunner, AnOrderOfAnEarlierOwnerIsTooLateAfterAWhile) {
  for (const char* it : {"v1", "v2"}) AddVm(it);
  WaveOrder order{1, {VmId("v1"), VmId("v2")}, Millis(20'000), 1};
  busy.insert(BackendId("b-v1"));
  runner.AddWave(order, MaintenanceProgress{{}, {VmId("v1")}}, At(0));
  runner.SetVms(vms, At(10), At(20));
  Tick(12'900);
  LONGS_EQUAL(0, ordered.size());
  Tick(13'100);
  LONGS_EQUAL(1, ordered.size());
  CHECK(ordered[0] == VmId("v2"));
}

// The list shows that the repeated order was carried out and not only confirmed.
TEST(MaintenanceRunner, ARepeatedOrderOfAnEarlierOwnerEndsTheServerThatTheListNoLongerShows) {
  AddVm("v1");
  runner.AddWave(WaveOrder{1, {VmId("v1")}, Millis(20'000), 1},
                 MaintenanceProgress{{}, {VmId("v1")}}, At(0));
  runner.SetVms(vms, At(10), At(20));
  Tick(100);
  LONGS_EQUAL(1, ordered.size());
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kDone, At(210));
  Tick(300);
  CHECK(ended.empty());
  vms[0].state = VmState::kMaintenance;
  runner.SetVms(vms, At(1300), At(1310));
  CHECK(ended.count(BackendId("b-v1")) > 0);
}

TEST(MaintenanceRunner, SeesTheMaintenanceThatAnEarlierOwnerOrdered) {
  AddVm("v1");
  vms[0].state = VmState::kMaintenance;
  runner.AddWave(WaveOrder{1, {VmId("v1")}, Millis(20'000), 1},
                 MaintenanceProgress{{}, {VmId("v1")}}, At(0));
  runner.SetVms(vms, At(2000), At(2010));
  Tick(2010);
  vms[0].state = VmState::kUp;
  runner.SetVms(vms, At(3200), At(3210));
  Tick(3300);
  CHECK(completed.count(1) > 0);
  LONGS_EQUAL(0, ordered.size());
}

// Guards against orders that a successor does not know of.
TEST(MaintenanceRunner, OrdersNothingBeforeTheRecordIsStored) {
  AddVm("v1");
  Start(1);
  for (int at = 0; at < 1000; at += 100) runner.Tick(backends, At(at));
  LONGS_EQUAL(0, ordered.size());
  const auto changes = runner.TakeChanges();
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].progress.ordered == std::set<VmId>{VmId("v1")});
  // An earlier write that does not name the VM.
  runner.OnStored(1, MaintenanceProgress{});
  runner.Tick(backends, At(1000));
  LONGS_EQUAL(0, ordered.size());
  runner.OnStored(1, changes[0].progress);
  runner.Tick(backends, At(1100));
  LONGS_EQUAL(1, ordered.size());
}

// A refused order is recorded again before it is repeated.
TEST(MaintenanceRunner, ARefusedOrderIsNoLongerRecorded) {
  AddVm("v1");
  Start(1);
  Tick(0);
  CHECK(stored[1].ordered.count(VmId("v1")) > 0);
  runner.OnMaintain(VmId("v1"), 1, VmOrderOutcome::kBusy, At(10));
  Tick(100);
  CHECK(stored[1].ordered.empty());
}

TEST(MaintenanceRunner, ProgressOfAnOlderVersionNamesNoOrders) {
  const auto progress = MaintenanceProgress::Decode(R"({"finished":["v1"]})");
  CHECK(progress.finished == std::set<VmId>{VmId("v1")});
  CHECK(progress.ordered.empty());
  CHECK(MaintenanceProgress::Decode("[1]") == MaintenanceProgress{});
  const MaintenanceProgress both{{VmId("v1")}, {VmId("v2")}};
  CHECK(MaintenanceProgress::Decode(both.Encode()) == both);
}
