#pragma once

#include <string_view>
#include <vector>

#include "sapphirewheel/state/ids.h"

namespace sapphirewheel {

// Selects the owner of a key by rendezvous (highest random weight) hashing, so that adding or
// removing a node moves only that node's keys. Returns an empty id if there are no nodes. The
// result is the same on every platform (64-bit FNV-1a with a finalizer).
[[nodiscard]] NodeId RendezvousOwner(std::string_view key, const std::vector<NodeId>& nodes);

// 64-bit hash that is stable across processes and releases; not cryptographically secure.
[[nodiscard]] std::uint64_t StableHash(std::string_view text) noexcept;

}  // namespace sapphirewheel
