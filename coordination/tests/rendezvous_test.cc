#include "sapphirewheel/coordination/rendezvous.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

using sapphirewheel::NodeId;
using sapphirewheel::RendezvousOwner;

// clang-format off
TEST_GROUP(Rendezvous) {};
// clang-format on

// Guards against keys of other nodes that move when one node leaves, and against an uneven split.
TEST(Rendezvous, LeavingNodeMovesOnlyItsOwnKeys) {
  const std::vector<NodeId> all = {NodeId("a"), NodeId("b"), NodeId("c"), NodeId("d")};
  const std::vector<NodeId> rest = {NodeId("a"), NodeId("b"), NodeId("d")};
  std::map<NodeId, int> owned;
  for (int i = 0; i < 4000; ++i) {
    const std::string key = "range-" + std::to_string(i);
    const NodeId before = RendezvousOwner(key, all);
    ++owned[before];
    if (before != NodeId("c")) CHECK_TRUE(RendezvousOwner(key, rest) == before);
  }
  for (const auto& [node, n] : owned) CHECK_TRUE(n > 800 && n < 1200);
}
