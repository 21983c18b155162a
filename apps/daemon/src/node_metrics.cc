#include "node_metrics.h"

#include <chrono>

namespace sapphirewheel {
namespace {

void SetGauge(MetricsRegistry& metrics, const char* name, const char* help, double value,
              const MetricLabels& labels = {}) {
  metrics.GetGauge(name, help, labels).Set(value);
}

void PublishTeams(const Node& node, MetricsRegistry& metrics) {
  for (const auto& [id, team] : node.config().teams) {
    const MetricLabels labels{{"team", id.str()}};
    SetGauge(metrics, "sapphirewheel_tokens_held", "Tokens of the team that this node holds.",
             static_cast<double>(node.escrow().Held(id).count()), labels);
    SetGauge(metrics, "sapphirewheel_tokens_free",
             "Tokens of the team that this node holds and that no task uses.",
             static_cast<double>(node.escrow().Free(id).count()), labels);
    SetGauge(metrics, "sapphirewheel_team_queue_length",
             "Requests and job attempts of the team in the queue of this node.",
             static_cast<double>(node.scheduler().QueuedForTeam(id)), labels);
  }
}

void PublishWaves(const Node& node, MetricsRegistry& metrics) {
  const auto waves = node.controllers().Waves();
  std::int64_t todo = 0;
  std::int64_t under_way = 0;
  std::int64_t done = 0;
  std::size_t failed = 0;
  for (const WaveProgress& wave : waves) {
    todo += wave.todo;
    under_way += wave.under_way;
    done += wave.done;
    failed += wave.failed.size();
  }
  SetGauge(metrics, "sapphirewheel_waves", "Maintenance waves that this node controls.",
           static_cast<double>(waves.size()));
  const auto set = [&metrics](const char* state, double n) {
    SetGauge(metrics, "sapphirewheel_wave_vms", "VMs of the waves that this node controls.", n,
             {{"state", state}});
  };
  set("todo", static_cast<double>(todo));
  set("under-way", static_cast<double>(under_way));
  set("done", static_cast<double>(done));
  set("failed", static_cast<double>(failed));
}

}  // namespace

void NodeMetrics::Publish(const Node& node, MetricsRegistry& metrics) {
  const MonotonicTime now = node.Now();
  SetGauge(metrics, "sapphirewheel_config_version", "Configuration version in effect here.",
           static_cast<double>(node.config().version.count()));
  if (const auto as_of = node.freshness().as_of) {
    SetGauge(metrics, "sapphirewheel_config_age_seconds",
             "Age of the last proof that this node has the latest configuration.",
             std::chrono::duration<double>(now - *as_of).count());
  }
  SetGauge(metrics, "sapphirewheel_active_requests", "Requests that have not been answered yet.",
           static_cast<double>(node.active_requests()));
  SetGauge(metrics, "sapphirewheel_running_tasks", "Tasks that this node runs on workers.",
           static_cast<double>(node.running_tasks()));
  SetGauge(metrics, "sapphirewheel_queue_length",
           "Requests and job attempts in the queue of this node.",
           static_cast<double>(node.scheduler().size()));
  const auto live = node.membership().LiveNodes(now);
  std::size_t peers = 0;
  for (const NodeId& it : live) peers += it == node.self().node ? 0 : 1;
  SetGauge(metrics, "sapphirewheel_live_peers", "Other daemons that are live.",
           static_cast<double>(peers));
  if (node_ != node.self().node) {
    node_ = node.self().node;
    moves_ = 0;
  }
  const std::uint64_t moves = node.controllers().moves();
  metrics.GetCounter("sapphirewheel_pool_moves_total", "VM moves that this node completed.")
      .Add(moves - moves_);
  moves_ = moves;
  PublishTeams(node, metrics);
  PublishWaves(node, metrics);
}

}  // namespace sapphirewheel
