#include "sapphirewheel/coordination/queue_routes.h"

#include <boost/json.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {

bool QueueRoutes::Contains(const QueueId& queue, const PoolId& pool) const {
  return PoolsOf(queue).count(pool) > 0;
}

const std::set<PoolId>& QueueRoutes::PoolsOf(const QueueId& queue) const {
  static const std::set<PoolId> none;
  const auto it = pools_.find(queue);
  return it == pools_.end() ? none : it->second;
}

void QueueRoutes::Intersect(const QueueRoutes& other) {
  RemoveIf([&](const QueueId& queue, const PoolId& pool) { return !other.Contains(queue, pool); });
}

std::string RouteRecord::Encode() const {
  boost::json::object queues;
  for (const auto& [queue, pools] : routes.pools()) {
    boost::json::array names;
    for (const PoolId& it : pools) names.emplace_back(it.str());
    queues[queue.str()] = std::move(names);
  }
  boost::json::object row;
  row["token"] = static_cast<std::int64_t>(token.count());
  row["queues"] = std::move(queues);
  return boost::json::serialize(row);
}

std::optional<RouteRecord> RouteRecord::Decode(std::string_view text) {
  const auto row = ParseObject(text);
  if (!row) return std::nullopt;
  constexpr std::int64_t kMax = std::int64_t{1} << 53;
  const auto token = RequireInt(row.value(), "token", 1, kMax);
  const auto* queues = row.value().if_contains("queues");
  if (!token || queues == nullptr || !queues->is_object()) return std::nullopt;
  RouteRecord record;
  record.token = Epoch(static_cast<std::uint64_t>(token.value()));
  for (const auto& [queue, pools] : queues->get_object()) {
    if (!pools.is_array()) return std::nullopt;
    for (const auto& it : pools.get_array()) {
      if (!it.is_string()) return std::nullopt;
      record.routes.Add(QueueId(std::string(queue)), PoolId(std::string(it.get_string())));
    }
  }
  return record;
}

}  // namespace sapphirewheel
