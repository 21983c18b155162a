#include "peer_fixture.h"

// The header of the leak check needs the types of TestHarness.h.
// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace {

// gRPC keeps caches and threads until the process ends, which the leak check would report for every
// test. The check must be off before the first allocation: memory that was allocated with the check
// on must not be freed with it off, or vice versa.
[[maybe_unused]] const bool kLeakCheckOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

}  // namespace
