#include "sapphirewheel/coordination/evacuations.h"

#include <algorithm>

namespace sapphirewheel {

void Evacuations::Apply(const EvacuationRow& row) {
  if (row.removed) {
    data_centres_.erase(row.data_centre);
  } else {
    data_centres_.insert(row.data_centre);
  }
}

void Evacuations::Confirm(MonotonicTime at) {
  confirmed_ = confirmed_ ? std::max(*confirmed_, at) : at;
}

bool Evacuations::MayPlace(MonotonicTime now) const {
  if (!max_age_) return true;
  return confirmed_ && now - *confirmed_ <= *max_age_;
}

}  // namespace sapphirewheel
