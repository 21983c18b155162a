#include "claim_batch.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel::internal {
namespace {

Error Invalid() {
  return Error{ErrorKind::kInvalidArgument, "a row of table claims cannot be parsed",
               "inspect the rows of table claims", RunState::kNotRun, std::nullopt};
}

// Appends the entries of member `name`, an array of arrays of `size` strings. Returns false if the
// member is missing or malformed.
bool ReadEntries(const boost::json::object& object, const char* name, std::size_t size,
                 std::vector<std::vector<std::string>>& entries) {
  const auto* list = object.if_contains(name);
  if (list == nullptr || !list->is_array()) return false;
  for (const auto& item : list->get_array()) {
    if (!item.is_array() || item.get_array().size() != size) return false;
    std::vector<std::string> entry;
    for (const auto& text : item.get_array()) {
      if (!text.is_string()) return false;
      entry.emplace_back(text.get_string());
    }
    entries.push_back(std::move(entry));
  }
  return true;
}

}  // namespace

std::size_t EntryBytes(const ClaimKey& key, const NodeId& claimant) {
  // Header values contain no control characters, so JSON escaping at most doubles each byte.
  constexpr std::size_t kPunctuation = 16;
  const std::size_t text = key.team.str().size() + key.request.str().size() + claimant.str().size();
  return 2 * text + kPunctuation;
}

std::string EncodeBatch(const ClaimBatch& batch) {
  boost::json::array claims;
  for (const auto& [key, claimant] : batch.claims) {
    claims.push_back(boost::json::array{key.team.str(), key.request.str(), claimant.str()});
  }
  boost::json::array released;
  for (const ClaimKey& key : batch.released) {
    released.push_back(boost::json::array{key.team.str(), key.request.str()});
  }
  return boost::json::serialize(boost::json::object{
      {"at", batch.at.count()}, {"claims", std::move(claims)}, {"released", std::move(released)}});
}

Result<ClaimBatch> DecodeBatch(const std::string& text) {
  auto object = ParseObject(text);
  if (!object) return object.error();
  std::vector<std::vector<std::string>> claims;
  std::vector<std::vector<std::string>> released;
  if (!ReadEntries(object.value(), "claims", 3, claims)) return Invalid();
  if (!ReadEntries(object.value(), "released", 2, released)) return Invalid();
  ClaimBatch batch;
  batch.at = Millis(IntField(object.value(), "at"));
  for (const auto& it : claims) {
    batch.claims.emplace_back(ClaimKey{TeamId(it[0]), RequestId(it[1])}, NodeId(it[2]));
  }
  for (const auto& it : released) batch.released.push_back({TeamId(it[0]), RequestId(it[1])});
  return batch;
}

}  // namespace sapphirewheel::internal
