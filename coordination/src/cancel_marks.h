#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"

namespace sapphirewheel {

// The stored marks of ids that were cancelled while no job was stored under them, which the owner
// removes after a time.
class CancelMarks {
 public:
  using Row = std::pair<JobId, Revision>;

  // Seen again with another revision, a mark is kept for the whole time from then on.
  void Add(const JobId& id, Revision revision, MonotonicTime now);
  // The row is no mark any more.
  void Remove(const JobId& id) { marks_.erase(id); }
  // Marks that were first seen more than `keep` ago; at most `most`, all in one part of the table.
  [[nodiscard]] std::vector<Row> Expired(Millis keep, std::size_t most, MonotonicTime now) const;

 private:
  struct Mark {
    Revision revision;
    MonotonicTime seen_at;
  };

  std::map<JobId, Mark> marks_;
};

}  // namespace sapphirewheel
