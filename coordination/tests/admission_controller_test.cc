#include "sapphirewheel/coordination/admission_controller.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

MonotonicTime At(int ms) { return MonotonicTime(Millis(ms)); }

std::shared_ptr<const DispatchConfig> Config(std::uint64_t version, const char* key) {
  auto config = std::make_shared<DispatchConfig>();
  config->version = ConfigVersion(version);
  QueuePolicy open{QueueId("open"), "h", "/a/", PoolId("p")};
  open.open = true;
  QueuePolicy closed{QueueId("closed"), "h", "/a/b/", PoolId("p")};
  config->queues = {open, closed};
  config->teams = {TeamPolicy{TeamId("t"), {key}, 1, {}}};
  return config;
}

}  // namespace

TEST_GROUP(AdmissionController) {
  AdmissionController controller{AdmissionController::Settings{Millis(3500), Millis(1500)}};
};

TEST(AdmissionController, RefusesBeforeTheFirstConfiguration) {
  const auto refused = controller.Admit("h", "/a/1", "", At(0));
  CHECK(refused.error().kind == ErrorKind::kNotFresh);
  CHECK(refused.error().run == RunState::kNotRun);
  CHECK_FALSE(controller.Ready(At(0)));
}

TEST(AdmissionController, TakesTheLongestPrefixAndTheTeamOfTheKey) {
  controller.Apply(Config(1, "secret"));
  controller.Confirm(At(0));
  CHECK(controller.Admit("h", "/a/1", "", At(0)).value().queue == QueueId("open"));
  const auto closed = controller.Admit("h", "/a/b/1", "secret", At(0));
  CHECK(closed.value().queue == QueueId("closed"));
  CHECK(closed.value().team == TeamId("t"));
  CHECK(closed.value().path_suffix == "1");
  CHECK(controller.Admit("h", "/a/b/1", "wrong", At(0)).error().kind ==
        ErrorKind::kUnauthenticated);
  CHECK(controller.Admit("h", "/x/1", "", At(0)).error().kind == ErrorKind::kNotFound);
}

TEST(AdmissionController, NeverReturnsToAnOlderVersion) {
  CHECK(controller.Apply(Config(5, "new")));
  CHECK_FALSE(controller.Apply(Config(4, "old")));
  controller.Confirm(At(0));
  CHECK(controller.Admit("h", "/a/b/1", "old", At(0)).has_error());
}

// A withdrawn key must be refused within its time bound, also by a node that gets no updates.
TEST(AdmissionController, RefusesKeysWhenTheConfigurationIsOld) {
  controller.Apply(Config(1, "secret"));
  controller.Confirm(At(0));
  CHECK(controller.Admit("h", "/a/b/1", "secret", At(3500)).has_value());
  CHECK(controller.Admit("h", "/a/b/1", "secret", At(3501)).error().kind == ErrorKind::kNotFresh);
  CHECK_FALSE(controller.Ready(At(3501)));
}

TEST(AdmissionController, DoesNotDenyAQueueOrKeyThatMayBeNew) {
  controller.Apply(Config(1, "secret"));
  controller.Confirm(At(0));
  CHECK(controller.Admit("h", "/x/1", "", At(1501)).error().kind == ErrorKind::kNotFresh);
  CHECK(controller.Admit("h", "/a/b/1", "other", At(1501)).error().kind == ErrorKind::kNotFresh);
}
