#include "sapphirewheel/coordination/vm_fences.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

TEST_GROUP(VmFences) {
  VmFences fences;
  std::vector<VmReport> vms{VmReport{VmId("v1"), PoolId("p"), VmState::kUp, BackendId("b1")}};

  std::vector<Dispatcher::BackendView> Serving(const char* id, const char* pool, int tasks) {
    Dispatcher::BackendView view;
    view.id = BackendId(id);
    view.vm = VmId("v1");
    view.pool = PoolId(pool);
    view.usable = true;
    view.long_running_tasks = tasks;
    return {view};
  }
};

TEST(VmFences, AreSentForVmsWithLongRunningTasks) {
  fences.Queue(vms, Serving("b1", "p", 0));
  CHECK(fences.empty());
  fences.Queue(vms, Serving("b1", "p", 1));
  const auto fence = fences.Take(Serving("b1", "p", 1));
  CHECK(fence == std::pair(VmId("v1"), PoolId("p")));
  CHECK(fences.empty());
}

// Guards against tasks that are ended by a fence: the VM had changed its pool since the list, and
// the fence moved it back.
TEST(VmFences, AreNotSentForVmsThatHaveChangedSinceTheList) {
  fences.Queue(vms, Serving("b1", "p", 1));
  CHECK_FALSE(fences.Take(Serving("b2", "q", 1)).has_value());
  fences.Queue(vms, Serving("b1", "p", 1));
  CHECK_FALSE(fences.Take(Serving("b1", "p", 0)).has_value());
  CHECK(fences.empty());
}
