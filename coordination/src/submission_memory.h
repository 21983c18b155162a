#pragma once

#include <cstddef>
#include <memory>

#include "sapphirewheel/coordination/dispatch_model.h"

namespace sapphirewheel {

// Estimate of what a decoded submission holds until it is stored: its steps, its row, and the row
// in the request to the table service. Many small steps hold far more than the body they came in.
[[nodiscard]] std::size_t EstimateHeldBytes(const WorkSpec& spec);

// The memory that submissions may hold together while they wait for the table service. Not
// thread-safe.
class SubmissionMemory {
 public:
  // Held until its last copy is destroyed.
  using Share = std::shared_ptr<const void>;

  // With 0, there is no limit.
  explicit SubmissionMemory(std::size_t limit) : limit_(limit) {}

  // Null when there is no room. The only submission always has room.
  [[nodiscard]] Share Take(std::size_t bytes);
  [[nodiscard]] std::size_t held() const noexcept { return *held_; }

 private:
  const std::size_t limit_;
  // Shared, as calls may outlive this object.
  const std::shared_ptr<std::size_t> held_ = std::make_shared<std::size_t>(0);
};

}  // namespace sapphirewheel
