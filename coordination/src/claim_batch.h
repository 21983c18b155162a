#pragma once

#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/claim_log.h"

namespace sapphirewheel::internal {

// The value of one row in table `claims`. When a row is loaded, its releases apply before its
// claims.
struct ClaimBatch {
  Millis at{0};
  std::vector<std::pair<ClaimKey, NodeId>> claims;
  std::vector<ClaimKey> released;
};

// Upper bound of the encoded size of a claim or a release, in bytes.
[[nodiscard]] std::size_t EntryBytes(const ClaimKey& key, const NodeId& claimant);

[[nodiscard]] std::string EncodeBatch(const ClaimBatch& batch);
// Errors: kInvalidArgument.
[[nodiscard]] Result<ClaimBatch> DecodeBatch(const std::string& text);

}  // namespace sapphirewheel::internal
