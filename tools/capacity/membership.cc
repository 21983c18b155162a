#include "sapphirewheel/coordination/membership.h"

#include <algorithm>
#include <map>
#include <memory>

#include "peer.pb.h"
#include "sapphirewheel/protocol/peer_codec.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

constexpr Millis kWarmUp{4000};

struct Daemon {
  std::unique_ptr<Membership> membership;
  PeerReport report;
  // Size of the serialized reports that this daemon sent and received.
  std::int64_t bytes = 0;
};

// Daemons that exchange heartbeats without delay. Each report is serialized and parsed again.
class Fleet {
 public:
  Fleet(int data_centres, int daemons, int services, int teams) {
    std::vector<MemberRecord> members;
    for (int i = 0; i < daemons; ++i) {
      MemberRecord record;
      const std::string vm = "entry-" + std::to_string(100 + i);
      record.node = NodeId(vm + "#4f1c2a9b");
      record.vm = VmId(vm);
      record.data_centre = DataCentreId("dc" + std::to_string(i % data_centres + 1));
      record.peer_address = "10.1.1." + std::to_string(i) + ":7001";
      record.http_address = "10.1.1." + std::to_string(i) + ":7000";
      members.push_back(record);
      Daemon& daemon = daemons_[record.node];
      daemon.report = MakeReport(services, teams);
      daemon.report.node = record.node;
      daemon.report.vm = record.vm;
      daemon.report.data_centre = record.data_centre;
      daemon.report.peer_address = record.peer_address;
      daemon.report.http_address = record.http_address;
      daemon.report.config_version = ConfigVersion(65000);
      daemon.membership = std::make_unique<Membership>(Membership::Settings{record});
      daemon.membership->SetOwnLoads(daemon.report.loads);
    }
    for (auto& [id, daemon] : daemons_) daemon.membership->OnMemberTable(members, now_);
  }

  // Sends the heartbeats that are due, in steps of 100 ms of virtual time.
  void Run(Millis length) {
    for (const MonotonicTime end = now_ + length; now_ < end; now_ += Millis(100)) {
      for (auto& [id, daemon] : daemons_) {
        for (const MemberRecord& peer : daemon.membership->HeartbeatsDue(now_)) {
          Exchange(daemon, daemons_.at(peer.node));
        }
      }
    }
  }
  // Returns the CPU seconds that all daemons together spend on the queries that the core loop makes
  // in one second.
  double QueryForOneSecond() {
    const double start = CpuSeconds();
    for (auto& [id, daemon] : daemons_) {
      static_cast<void>(daemon.membership->HeartbeatsDue(now_));
      for (int i = 0; i < 1000 / kCoreTick.count(); ++i) {
        static_cast<void>(daemon.membership->LiveNodesInDataCentre(now_));
        static_cast<void>(daemon.membership->LiveNodes(now_));
      }
    }
    return CpuSeconds() - start;
  }
  void ResetCounters() {
    exchanges_ = 0;
    for (auto& [id, daemon] : daemons_) daemon.bytes = 0;
  }
  [[nodiscard]] std::int64_t exchanges() const noexcept { return exchanges_; }
  // Mean bytes per daemon, over the relays or over the other daemons.
  [[nodiscard]] double MeanBytes(bool relays) const {
    double sum = 0;
    int n = 0;
    for (const auto& [id, daemon] : daemons_) {
      if (daemon.membership->IsRelay(now_) != relays) continue;
      sum += static_cast<double>(daemon.bytes);
      ++n;
    }
    return n == 0 ? 0 : sum / n;
  }

 private:
  PeerReport Send(Daemon& from, Daemon& to) {
    PeerReport report = from.report;
    report.digests = from.membership->Digests(report.config_version, now_, to.report.node);
    report.digests_hash = from.membership->DigestsHash();
    peer::Report message;
    Encode(report, message);
    const std::string bytes = message.SerializeAsString();
    from.bytes += static_cast<std::int64_t>(bytes.size());
    to.bytes += static_cast<std::int64_t>(bytes.size());
    peer::Report received;
    static_cast<void>(received.ParseFromString(bytes));
    return Decode(received);
  }
  void Exchange(Daemon& from, Daemon& to) {
    ++exchanges_;
    to.membership->OnHeartbeat(Send(from, to), now_);
    from.membership->OnHeartbeatReply(Send(to, from), now_);
  }

  MonotonicTime now_{Millis(1000)};
  std::int64_t exchanges_ = 0;
  std::map<NodeId, Daemon> daemons_;
};

std::vector<double> Measure(int data_centres, int daemons, int services, int teams) {
  constexpr int kSeconds = 4;
  const double heap = HeapBytes();
  Fleet fleet(data_centres, daemons, services, teams);
  fleet.Run(kWarmUp);
  const double memory = (HeapBytes() - heap) / daemons;
  fleet.ResetCounters();
  const double start = CpuSeconds();
  fleet.Run(Millis(kSeconds * 1000));
  const double cpu_seconds = CpuSeconds() - start;
  const double query_seconds = fleet.QueryForOneSecond() / daemons;
  const double n = std::max(1.0, static_cast<double>(fleet.exchanges()));
  return {fleet.MeanBytes(false) / kSeconds / 1000,
          fleet.MeanBytes(true) / kSeconds / 1000,
          cpu_seconds / n / 2 * 1e6,
          cpu_seconds / kSeconds / daemons * 100,
          query_seconds * 100,
          memory / 1000};
}

int DataCentresFor(double daemons) { return daemons < 27 ? 3 : kDataCentres; }

}  // namespace

std::vector<Series> MeasureMembership() {
  const std::vector<std::string> columns = {
      "KB/s of a node",      "KB/s of a relay",       "CPU µs/report (encode, decode, apply)",
      "CPU % of heartbeats", "CPU % of live queries", "heap KB/node"};
  return {
      MeasureSeries("Membership: daemons over 3 (27 and more: 9) data centres, 5 services, 6 teams",
                    "daemons", kDaemons, columns, {3, 9, 27, 81},
                    [](double x) { return Measure(DataCentresFor(x), static_cast<int>(x), 5, 6); }),
      MeasureSeries("Membership: 81 daemons in 9 data centres, services (and as many teams) in "
                    "each report",
                    "services", kPools, columns, {5, 50, 263},
                    [](double x) {
                      const int n = static_cast<int>(x);
                      return Measure(kDataCentres, kDaemons, n, std::min(n, kTeams));
                    }),
  };
}

}  // namespace sapphirewheel::capacity
