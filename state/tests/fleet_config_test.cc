#include "sapphirewheel/state/fleet_config.h"

#include <string>

#include "CppUTest/TestHarness.h"

using sapphirewheel::ApplyEntry;
using sapphirewheel::ConfigEntry;
using sapphirewheel::ConfigVersion;
using sapphirewheel::DecodeChange;
using sapphirewheel::DecodeConfig;
using sapphirewheel::EncodeConfig;
using sapphirewheel::FleetConfig;
using sapphirewheel::KeyGrantChange;
using sapphirewheel::KeyId;
using sapphirewheel::KeyWithdrawChange;
using sapphirewheel::Millis;
using sapphirewheel::PlanId;
using sapphirewheel::TeamId;

// clang-format off
TEST_GROUP(FleetConfig) {};
// clang-format on

// Guards against a withdrawn key that becomes valid again when a snapshot is loaded.
TEST(FleetConfig, SnapshotKeepsWithdrawnKeys) {
  FleetConfig config;
  const KeyGrantChange grant{KeyId("k1"), TeamId("a"), "00", Millis(0)};
  CHECK_TRUE(ApplyEntry(config, ConfigEntry{ConfigVersion(1), PlanId("p"), grant}).has_value());
  CHECK_TRUE(
      ApplyEntry(config, ConfigEntry{ConfigVersion(2), PlanId("q"), KeyWithdrawChange{KeyId("k1")}})
          .has_value());
  auto decoded = DecodeConfig(EncodeConfig(config));
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded.value().keys.at(KeyId("k1")).withdrawn);
  CHECK_TRUE(decoded.value().version == ConfigVersion(2));
  CHECK_TRUE(decoded.value().entity_versions == config.entity_versions);
}

// Guards against nodes whose configurations diverge because they skip or repeat an entry.
TEST(FleetConfig, EntriesApplyOnlyInOrder) {
  FleetConfig config;
  const KeyWithdrawChange change{KeyId("k1")};
  CHECK_FALSE(ApplyEntry(config, ConfigEntry{ConfigVersion(2), PlanId(), change}).has_value());
  CHECK_TRUE(ApplyEntry(config, ConfigEntry{ConfigVersion(1), PlanId(), change}).has_value());
  CHECK_FALSE(ApplyEntry(config, ConfigEntry{ConfigVersion(1), PlanId(), change}).has_value());
}

// Guards against an invalid change that is accepted, or refused without naming the invalid field.
TEST(FleetConfig, InvalidChangeNamesTheField) {
  auto change = DecodeChange(R"({"kind":"team","team":"a","share":0,"upper_limit":3})");
  CHECK_FALSE(change.has_value());
  CHECK_TRUE(change.error().message.find("share") != std::string::npos);
}
