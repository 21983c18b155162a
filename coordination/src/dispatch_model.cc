#include "sapphirewheel/coordination/dispatch_model.h"

#include <algorithm>
#include <charconv>

namespace sapphirewheel {
namespace {

template <typename T, typename Id>
const T* FindById(const std::vector<T>& rows, const Id& id) noexcept {
  const auto it =
      std::find_if(rows.begin(), rows.end(), [&](const T& row) { return row.id == id; });
  return it == rows.end() ? nullptr : &*it;
}

}  // namespace

const QueuePolicy* DispatchConfig::FindQueue(const QueueId& id) const noexcept {
  return FindById(queues, id);
}

const PoolPolicy* DispatchConfig::FindPool(const PoolId& id) const noexcept {
  return FindById(pools, id);
}

const TeamPolicy* DispatchConfig::FindTeam(const TeamId& id) const noexcept {
  return FindById(teams, id);
}

const QueuePolicy* DispatchConfig::Route(const std::string& host,
                                         const std::string& path) const noexcept {
  const QueuePolicy* best = nullptr;
  for (const QueuePolicy& it : queues) {
    if (it.host != host || path.rfind(it.path_prefix, 0) != 0) continue;
    if (best == nullptr || it.path_prefix.size() > best->path_prefix.size()) best = &it;
  }
  return best;
}

const TeamPolicy* DispatchConfig::TeamOfKey(const std::string& key) const noexcept {
  for (const TeamPolicy& it : teams) {
    if (std::find(it.keys.begin(), it.keys.end(), key) != it.keys.end()) return &it;
  }
  return nullptr;
}

std::string TaskKey::str() const {
  return job.str() + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." +
         std::to_string(index);
}

std::optional<TaskKey> ParseTaskKey(const std::string& text) {
  const auto dot = text.find('.');
  if (dot == std::string::npos) return std::nullopt;
  TaskKey key;
  key.job = JobId(text.substr(0, dot));
  const char* at = text.data() + dot;
  const char* end = text.data() + text.size();
  for (int* field : {&key.occurrence, &key.step, &key.index}) {
    if (at == end || *at != '.') return std::nullopt;
    const auto parsed = std::from_chars(at + 1, end, *field);
    if (parsed.ec != std::errc{} || *field < 0) return std::nullopt;
    at = parsed.ptr;
  }
  if (at != end) return std::nullopt;
  return key;
}

}  // namespace sapphirewheel
