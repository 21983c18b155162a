// Two nodes share the upper limit of a team. A node runs a task only with a token that it holds,
// and tokens are transferred only through the table, so together the nodes never exceed the limit.

#include "sapphirewheel/coordination/token_escrow.h"

#include <iostream>
#include <random>

#include "memory_table.h"
#include "sapphirewheel/state/schema.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t kLimit = 6;

}  // namespace

int main() {
  MemoryTable table;
  MonotonicTime now(Millis(1000));
  std::mt19937_64 random(1);  // NOLINT(cert-msc51-cpp): every run of the example is the same.
  const auto make_node = [&](const char* id) {
    // A node acquires tokens only while its member row exists.
    table.Transact({AttemptId("join"), {}, {{schema::MemberRow(NodeId(id)), "{}"}}});
    TokenEscrow::Settings settings;
    settings.self = NodeId(id);
    return TokenEscrow(settings, {table.hooks(), [&random] { return random(); },
                                  [&now] { return now; }, [](const TeamId&) {}});
  };
  TokenEscrow first = make_node("first#1");
  TokenEscrow second = make_node("second#1");

  const TeamId team("brewers");
  FleetConfig config;
  const auto applied = ApplyEntry(
      config, {ConfigVersion(1), PlanId("p1"), TeamChange{team, Share(1), Slots(kLimit)}});
  if (!applied) return 1;
  first.OnConfig(config);
  second.OnConfig(config);

  // Both nodes try to start as many tasks as they can for ten seconds.
  std::int64_t running = 0;
  for (int step = 0; step < 200; ++step) {
    now += Millis(50);
    first.Tick(now);
    second.Tick(now);
    table.RunAll();
    running += first.TryTake(team, Slots(1)) ? 1 : 0;
    running += second.TryTake(team, Slots(1)) ? 1 : 0;
  }
  std::cout << "limit " << kLimit << ", running " << running << ": first node holds "
            << first.Held(team) << ", second node holds " << second.Held(team) << "\n";
  return running == kLimit ? 0 : 1;
}
