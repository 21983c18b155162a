#include <memory>

#include "peer.pb.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/protocol/peer_codec.h"
#include "sapphirewheel/state/schema.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

constexpr int kSeconds = 200;

// The configuration logs of one daemon that appends entries and one that receives the pushed
// entries; both also pull from the table.
class ConfigLogPair {
 public:
  explicit ConfigLogPair(std::uint64_t seed) : table_(seed) {
    heap_ = HeapBytes();
    for (auto& log : logs_) {
      log = std::make_unique<ConfigLog>(
          ConfigLog::Settings{},
          ConfigLog::Hooks{table_.Hooks(), table_.random(), table_.clock(), nullptr});
    }
  }

  // Appends the pools and teams of a fleet of the target size.
  void AppendTargetConfig() {
    const FleetConfig config = MakeConfig(kPools, kTeams, kWorkers);
    for (const auto& [id, pool] : config.pools) AppendAndRun(pool);
    for (const auto& [id, team] : config.teams) AppendAndRun(team);
    RunTicks(table_, Millis(3000), kCoreTick, [this](MonotonicTime now) { Tick(now); });
  }
  std::vector<double> Measure(double rate) {
    const double memory = (HeapBytes() - heap_) / 2;
    const std::int64_t reads = table_.row_reads();
    const std::int64_t writes = table_.row_writes();
    pushed_bytes_ = 0;
    double changes_due = 0;
    const double start = CpuSeconds();
    RunTicks(table_, Millis(kSeconds * 1000), kCoreTick, [&](MonotonicTime now) {
      Tick(now);
      changes_due += rate * static_cast<double>(kCoreTick.count()) / 1000;
      for (; changes_due >= 1; changes_due -= 1) Append(KeyChange());
    });
    const double cpu_seconds = CpuSeconds() - start;
    const double pushed_per_second = static_cast<double>(pushed_bytes_) / kSeconds;
    return {cpu_seconds / kSeconds / 2 * 100,
            static_cast<double>(table_.row_reads() - reads) / kSeconds / 2,
            static_cast<double>(table_.row_writes() - writes) / kSeconds,
            pushed_per_second,
            pushed_per_second * (kDaemons - 1) / 1000,
            memory / 1e6};
  }

 private:
  ConfigLog& writer() { return *logs_[0]; }

  void Tick(MonotonicTime now) {
    for (auto& log : logs_) log->Tick(now);
  }
  ConfigChange KeyChange() {
    KeyGrantChange grant;
    // Reuses 100 key ids, so that the size of the configuration stays constant.
    grant.key = KeyId("key-" + std::to_string(++changes_ % 100));
    grant.team = TeamName(0);
    grant.secret_sha256 = std::string(64, 'a');
    return grant;
  }
  void Append(ConfigChange change) {
    const std::string plan = "plan-" + std::to_string(++plans_);
    writer().Append(
        PlanId(plan), std::move(change),
        [](const FleetConfig&) { return Result<void>(boost::outcome_v2::success()); }, {}, {},
        [this](const Result<ConfigVersion>& version) {
          if (version) Push();
        });
  }
  void AppendAndRun(ConfigChange change) {
    Append(std::move(change));
    table_.RunFor(Millis(10));
  }
  void Push() {
    const ConfigDelta delta = writer().DeltaAfter(pushed_version_);
    pushed_version_ = writer().version();
    peer::ConfigDelta message;
    Encode(delta, message);
    const std::string bytes = message.SerializeAsString();
    pushed_bytes_ += static_cast<std::int64_t>(bytes.size());
    peer::ConfigDelta received;
    static_cast<void>(received.ParseFromString(bytes));
    if (auto decoded = Decode(received)) logs_[1]->OnDelta(decoded.value());
  }

  FakeTable table_;
  double heap_ = 0;
  std::unique_ptr<ConfigLog> logs_[2];
  ConfigVersion pushed_version_;
  std::int64_t pushed_bytes_ = 0;
  int changes_ = 0;
  int plans_ = 0;
};

}  // namespace

std::vector<Series> MeasureConfiguration(std::uint64_t seed) {
  return {MeasureSeries(
      "ConfigLog: 263 pools, 260 teams, one daemon that appends and one that gets pushes",
      "changes/s", kConfigChangesPerSecond,
      {"CPU % of a core (mean of both)", "row reads/s a node", "row writes/s of the fleet",
       "bytes/s pushed to a node", "KB/s pushed by the appending node to 80 others",
       "heap MB a node (with table rows)"},
      {0.1, 1, 5}, [seed](double rate) {
        ConfigLogPair logs(seed);
        logs.AppendTargetConfig();
        return logs.Measure(rate);
      })};
}

}  // namespace sapphirewheel::capacity
