#include <algorithm>

#include "dispatcher_state.h"

namespace sapphirewheel {

void Dispatcher::SetRoutes(const QueueRoutes& routes) {
  impl_->routes_changed = true;
  impl_->inherited_routes = routes;
  impl_->routes = impl_->routes_written = routes;
}

std::optional<QueueRoutes> Dispatcher::RoutesToWrite() {
  impl_->DropUnusedRoutes();
  if (impl_->routes_ever_written && impl_->routes == impl_->routes_written) return std::nullopt;
  return impl_->routes;
}

void Dispatcher::RoutesSent(const QueueRoutes& routes) {
  impl_->routes_written.Intersect(routes);
  impl_->routes_ever_written = false;
}

void Dispatcher::RoutesWritten(const QueueRoutes& routes) {
  impl_->routes_written = routes;
  impl_->routes_ever_written = true;
  impl_->place_due = true;
}

void Dispatcher::Impl::AddRoute(const JobEntry& job) {
  if (job.queue == nullptr || !job.IsOpen()) return;
  routes.Add(job.stored.queue, job.queue->pool);
}

bool Dispatcher::Impl::MayRunIn(const QueueId& queue, const PoolId& pool) {
  const bool silent = std::any_of(roster_pending.begin(), roster_pending.end(),
                                  [&](const auto& it) { return it.second.pool == pool; });
  if (silent) return true;
  return std::any_of(backends.begin(), backends.end(), [&](const auto& row) {
    const BackendEntry& backend = *row.second;
    if (backend.report.pool != pool) return false;
    const auto is_of_queue = [&](const TaskKey& key) {
      const auto job = jobs.find(key.job);
      return job != jobs.end() && job->second->stored.queue == queue;
    };
    return std::any_of(backend.tasks.begin(), backend.tasks.end(), is_of_queue) ||
           std::any_of(backend.orphans.begin(), backend.orphans.end(),
                       [&](const auto& it) { return is_of_queue(it.first.first); });
  });
}

// A queue keeps its present pool, so that its next job need not wait for a write.
void Dispatcher::Impl::DropUnusedRoutes() {
  if (!config || !routes_changed) return;
  routes_changed = false;
  routes.RemoveIf([this](const QueueId& queue, const PoolId& pool) {
    const QueuePolicy* policy = config->FindQueue(queue);
    if (policy != nullptr && policy->pool == pool) return false;
    const bool used = MayRunIn(queue, pool);
    routes_changed = routes_changed || used;
    return !used;
  });
}

// Whether no run of an earlier owner in the pool can be unknown to this one.
bool Dispatcher::Impl::AllRunsKnown(const PoolId& pool) const {
  return unknown_pools.count(pool) == 0;
}

bool Dispatcher::Impl::AllRunsKnown(const JobEntry& job) const {
  if (!job.inherited || unknown_pools.empty()) return true;
  if (!inherited_routes) return false;
  const auto& pools = inherited_routes->PoolsOf(job.stored.queue);
  return std::all_of(pools.begin(), pools.end(),
                     [this](const PoolId& it) { return AllRunsKnown(it); });
}

}  // namespace sapphirewheel
