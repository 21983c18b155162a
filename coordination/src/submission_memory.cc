#include "submission_memory.h"

namespace sapphirewheel {

std::size_t EstimateHeldBytes(const WorkSpec& spec) {
  // The text is in the specification, in the row and in the request with the row.
  constexpr std::size_t kCopies = 3;
  // A step without optional fields takes about 70 bytes in a row.
  constexpr std::size_t kEncodedStep = 70;
  constexpr std::size_t kEncodedNumber = 6;
  std::size_t bytes = sizeof(WorkSpec) + kCopies * spec.payload.size();
  for (const StepSpec& it : spec.steps) {
    bytes += sizeof(StepSpec) + (kCopies - 1) * kEncodedStep;
    bytes += it.after.size() * (sizeof(int) + (kCopies - 1) * kEncodedNumber);
    bytes += kCopies * (it.required_label.size() + it.near_rack.size());
  }
  return bytes;
}

SubmissionMemory::Share SubmissionMemory::Take(std::size_t bytes) {
  if (limit_ > 0 && *held_ > 0 && *held_ + bytes > limit_) return nullptr;
  *held_ += bytes;
  // The value is not used; the deleter gives the memory back.
  return Share(held_.get(), [held = held_, bytes](const void*) { *held -= bytes; });
}

}  // namespace sapphirewheel
