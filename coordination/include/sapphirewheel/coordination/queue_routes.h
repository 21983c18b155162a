#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "sapphirewheel/coordination/dispatch_model.h"

namespace sapphirewheel {

// The pools in which runs of each queue's jobs may be. A queue has several while its jobs have runs
// in a pool of an earlier configuration.
class QueueRoutes {
 public:
  void Add(const QueueId& queue, const PoolId& pool) { pools_[queue].insert(pool); }
  [[nodiscard]] bool Contains(const QueueId& queue, const PoolId& pool) const;
  [[nodiscard]] const std::set<PoolId>& PoolsOf(const QueueId& queue) const;
  [[nodiscard]] const std::map<QueueId, std::set<PoolId>>& pools() const noexcept { return pools_; }
  // Keeps only what `other` contains too.
  void Intersect(const QueueRoutes& other);
  // Removes the pools for which `unused` returns true, and queues without pools.
  template <typename Predicate>
  void RemoveIf(Predicate unused) {
    for (auto& [queue, pools] : pools_) {
      std::erase_if(pools, [&, &id = queue](const PoolId& it) { return unused(id, it); });
    }
    std::erase_if(pools_, [](const auto& it) { return it.second.empty(); });
  }
  bool operator==(const QueueRoutes&) const = default;

 private:
  std::map<QueueId, std::set<PoolId>> pools_;
};

// The row in which an owner stores its routes, before it starts a run that needs one of them.
struct RouteRecord {
  Epoch token;
  QueueRoutes routes;

  // Whether no later owner may have started runs. `horizon_token` is of the last owner that stored
  // a start horizon, which each does before it starts anything. One of an older version stores no
  // routes.
  [[nodiscard]] bool IsComplete(const std::optional<Epoch>& horizon_token) const {
    return !horizon_token || *horizon_token <= token;
  }
  [[nodiscard]] std::string Encode() const;
  // Absent if the text is malformed.
  [[nodiscard]] static std::optional<RouteRecord> Decode(std::string_view text);
};

}  // namespace sapphirewheel
