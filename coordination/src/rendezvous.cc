#include "sapphirewheel/coordination/rendezvous.h"

#include <cstdint>

namespace sapphirewheel {
namespace {

// Finalizer of MurmurHash3 (Appleby); spreads the low entropy of FNV-1a over all bits.
std::uint64_t Mix(std::uint64_t h) noexcept {
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  h ^= h >> 33;
  return h;
}

}  // namespace

std::uint64_t StableHash(std::string_view text) noexcept {
  // FNV-1a, 64 bits (Fowler, Noll, Vo).
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    h ^= static_cast<unsigned char>(c);
    h *= 0x100000001b3ULL;
  }
  return Mix(h);
}

NodeId RendezvousOwner(std::string_view key, const std::vector<NodeId>& nodes) {
  const std::uint64_t key_hash = StableHash(key);
  const NodeId* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const NodeId& node : nodes) {
    const std::uint64_t weight = Mix(key_hash ^ StableHash(node.str()));
    if (best == nullptr || weight > best_weight || (weight == best_weight && node < *best)) {
      best = &node;
      best_weight = weight;
    }
  }
  return best == nullptr ? NodeId() : *best;
}

}  // namespace sapphirewheel
