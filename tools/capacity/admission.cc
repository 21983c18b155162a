#include "sapphirewheel/coordination/authentication.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

// Measures authentication, which each request needs once, with ten keys per team.
std::vector<double> MeasureAuthentication(double teams) {
  constexpr int kKeysPerTeam = 10;
  constexpr int kChecks = 5000;
  const int n = static_cast<int>(teams) * kKeysPerTeam;
  const double heap = HeapBytes();
  FleetConfig config;
  std::vector<std::string> tokens;
  std::uint64_t number = 1;
  for (int i = 0; i < n; ++i) {
    KeyGrantChange grant;
    grant.key = KeyId("key-" + std::to_string(i));
    grant.team = TeamName(i / kKeysPerTeam);
    GeneratedKey key = GenerateKey(grant.key, [&number] { return number += 0x9e3779b97f4a7c15U; });
    grant.secret_sha256 = key.secret_sha256;
    tokens.push_back(std::move(key.token));
    config.keys[grant.key] = {grant, false};
  }
  const double memory = (HeapBytes() - heap) / n;
  const MonotonicTime now{Millis(1000)};
  int accepted = 0;
  const double start = CpuSeconds();
  for (int i = 0; i < kChecks; ++i) {
    const auto& token = tokens[static_cast<std::size_t>(i * 7 % n)];
    if (Authenticate(token, ServiceName(0), config, {now, Millis(3000)}, now)) ++accepted;
  }
  return {(CpuSeconds() - start) / kChecks * 1e6, memory, static_cast<double>(accepted) / kChecks};
}

}  // namespace

std::vector<Series> MeasureAdmission() {
  return {MeasureSeries("Keys: ten a team (heap with the tokens of the callers)", "teams", kTeams,
                        {"CPU µs/check", "heap bytes/key", "accepted part"}, {6, 60, 260},
                        MeasureAuthentication)};
}

}  // namespace sapphirewheel::capacity
