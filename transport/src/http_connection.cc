#include "http_connection.h"

namespace sapphirewheel {
namespace {

// How long a connection keeps its place while others need one. Longer than an ordinary request
// takes to arrive, and than the usual pause of a caller between two requests.
constexpr Millis kUnfinishedAge{500};
constexpr Millis kIdleAge{5000};

// Lower ranks are ended first; unset when the connection is kept.
std::optional<int> RankOf(const HttpConnection& connection, Millis age) {
  if (connection.refusal) return std::nullopt;
  if (connection.reading && age >= kUnfinishedAge) return 0;
  if (connection.idle && !connection.served && age >= kUnfinishedAge) return 1;
  if (connection.idle && age >= kIdleAge) return 2;
  return std::nullopt;
}

}  // namespace

HttpConnection* ConnectionList::FindExpendable(RequestBudget::Time now) const {
  HttpConnection* found = nullptr;
  int found_rank = 0;
  for (HttpConnection* it : all) {
    const auto rank = RankOf(*it, std::chrono::duration_cast<Millis>(now - it->since));
    if (!rank) continue;
    const bool better =
        found == nullptr || *rank < found_rank || (*rank == found_rank && it->since < found->since);
    // A request may have arrived that is not read yet.
    if (!better || (it->idle && it->HasInput())) continue;
    found = it;
    found_rank = *rank;
  }
  return found;
}

HttpConnection* ConnectionList::Find(RequestId request) const {
  for (HttpConnection* it : all) {
    if (it->request == request) return it;
  }
  return nullptr;
}

}  // namespace sapphirewheel
