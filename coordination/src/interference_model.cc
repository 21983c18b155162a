#include "sapphirewheel/coordination/interference_model.h"

#include <algorithm>
#include <cmath>

namespace sapphirewheel {
namespace {

// Time in which an observation of an effect loses half of its weight, as effects change within
// seconds.
constexpr Millis kEffectHalfLife{5000};
// The same for the tail latency without best-effort tasks. It cannot be observed while they share
// all servers of the image, so it is kept for longer.
constexpr Millis kAloneHalfLife{30'000};
// Sum of the weights of observations from which an estimate is used.
constexpr double kMinWeight = 5;
// Standard deviations that a tail latency must stay below the limit to count as harmless.
constexpr double kConfidence = 2;
// Maximum number of estimates, so that callers who invent images use no memory.
constexpr std::size_t kMaxEstimates = 1000;

}  // namespace

double InterferenceModel::Estimate::WeightAt(MonotonicTime now) const {
  const double halvings =
      static_cast<double>((now - at_).count()) / static_cast<double>(half_life_.count());
  return weight_ * std::exp2(-halvings);
}

bool InterferenceModel::Estimate::IsKnown(MonotonicTime now) const {
  return WeightAt(now) >= kMinWeight;
}

// Incremental mean and variance with decaying weights.
void InterferenceModel::Estimate::Add(double value, MonotonicTime now) {
  const double before = weight_ > 0 ? WeightAt(now) : 0;
  weight_ = before + 1;
  at_ = now;
  const double delta = value - mean_;
  mean_ += delta / weight_;
  variance_ = (before * variance_ + delta * (value - mean_)) / weight_;
}

const InterferenceModel::Estimate* InterferenceModel::Known(const std::string& serving,
                                                            const std::string& neighbour,
                                                            MonotonicTime now) const {
  const auto it = estimates_.find({serving, neighbour});
  return it == estimates_.end() || !it->second.IsKnown(now) ? nullptr : &it->second;
}

void InterferenceModel::MakeRoom() {
  if (estimates_.size() < kMaxEstimates) return;
  const auto oldest =
      std::min_element(estimates_.begin(), estimates_.end(),
                       [](const auto& a, const auto& b) { return a.second.at() < b.second.at(); });
  estimates_.erase(oldest);
}

void InterferenceModel::Observe(const std::string& serving, const Neighbours& neighbours,
                                double tail, MonotonicTime now) {
  if (serving.empty() || neighbours.count("") > 0) return;
  std::string learned;
  int count = 1;
  double rest = tail;
  if (!neighbours.empty()) {
    const Estimate* alone = Known(serving, "", now);
    if (alone == nullptr) return;
    rest -= alone->mean();
    // What is left after the known effects belongs to the one image without a known effect. If all
    // are known, only a single image can be updated without ambiguity.
    for (const auto& [image, n] : neighbours) {
      const Estimate* it = neighbours.size() == 1 ? nullptr : Known(serving, image, now);
      if (it != nullptr) {
        rest -= n * it->mean();
      } else if (!learned.empty()) {
        return;
      } else {
        learned = image;
        count = n;
      }
    }
    if (learned.empty()) return;
  }
  const std::pair<std::string, std::string> key{serving, learned};
  if (estimates_.count(key) == 0) MakeRoom();
  const Millis half_life = learned.empty() ? kAloneHalfLife : kEffectHalfLife;
  estimates_.try_emplace(key, half_life).first->second.Add(rest / count, now);
}

std::optional<InterferenceModel::Prediction> InterferenceModel::Predict(
    const std::string& serving, const Neighbours& neighbours, MonotonicTime now) const {
  const Estimate* alone = Known(serving, "", now);
  if (alone == nullptr) return std::nullopt;
  double tail = alone->mean();
  double variance = alone->variance();
  for (const auto& [image, n] : neighbours) {
    const Estimate* it = image.empty() ? nullptr : Known(serving, image, now);
    if (it == nullptr) return std::nullopt;
    tail += n * it->mean();
    // Tasks of one image rise and fall together.
    variance += n * n * it->variance();
  }
  return Prediction{tail, std::sqrt(variance)};
}

std::optional<double> InterferenceModel::Expected(const std::string& serving,
                                                  const Neighbours& neighbours,
                                                  MonotonicTime now) const {
  const auto prediction = Predict(serving, neighbours, now);
  if (!prediction) return std::nullopt;
  return prediction->tail;
}

InterferenceModel::Verdict InterferenceModel::Judge(const std::string& serving,
                                                    const Neighbours& neighbours,
                                                    MonotonicTime now) const {
  const auto prediction = Predict(serving, neighbours, now);
  if (!prediction) return Verdict::kUnknown;
  if (prediction->tail > kPauseAbove) return Verdict::kHarmful;
  const bool safe = prediction->tail + kConfidence * prediction->deviation < kPauseAbove;
  return safe ? Verdict::kHarmless : Verdict::kUnknown;
}

}  // namespace sapphirewheel
