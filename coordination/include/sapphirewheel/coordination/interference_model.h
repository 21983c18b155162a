#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Learns how much best-effort tasks slow serving tasks on the same backend server, for each pair of
// images. All figures are tail latencies of serving tasks as a fraction of their target, so that 1
// is exactly at the target. Old observations lose weight, because the amounts change over time.
class InterferenceModel {
 public:
  // Number of best-effort tasks of each image that work beside a serving task.
  using Neighbours = std::map<std::string, int>;

  enum class Verdict {
    // Too few recent observations.
    kUnknown,
    // With high confidence the serving task stays below kPauseAbove.
    kHarmless,
    // The serving task is expected to exceed kPauseAbove.
    kHarmful,
  };

  // Tail latency, as a fraction of the target, above which best-effort tasks are paused. The rest
  // is the reserve for the delay of reports and of the pause.
  static constexpr double kPauseAbove = 0.75;

  // Records a report of a serving task beside `neighbours`, which worked at full pace for the whole
  // span that the report covers. Ignored if an image is empty, or if more than one of the images
  // has unknown effects.
  void Observe(const std::string& serving, const Neighbours& neighbours, double tail,
               MonotonicTime now);

  // The expected tail latency of a serving task beside `neighbours`; absent if it is not known.
  [[nodiscard]] std::optional<double> Expected(const std::string& serving,
                                               const Neighbours& neighbours,
                                               MonotonicTime now) const;
  [[nodiscard]] Verdict Judge(const std::string& serving, const Neighbours& neighbours,
                              MonotonicTime now) const;

 private:
  // Mean and variance of observations whose weight halves with each `half_life`.
  class Estimate {
   public:
    explicit Estimate(Millis half_life) : half_life_(half_life) {}
    void Add(double value, MonotonicTime now);
    [[nodiscard]] double WeightAt(MonotonicTime now) const;
    [[nodiscard]] bool IsKnown(MonotonicTime now) const;
    [[nodiscard]] double mean() const { return mean_; }
    [[nodiscard]] double variance() const { return variance_; }
    [[nodiscard]] MonotonicTime at() const { return at_; }

   private:
    Millis half_life_;
    double weight_ = 0;
    double mean_ = 0;
    double variance_ = 0;
    MonotonicTime at_;
  };
  struct Prediction {
    double tail = 0;
    double deviation = 0;
  };

  [[nodiscard]] std::optional<Prediction> Predict(const std::string& serving,
                                                  const Neighbours& neighbours,
                                                  MonotonicTime now) const;
  [[nodiscard]] const Estimate* Known(const std::string& serving, const std::string& neighbour,
                                      MonotonicTime now) const;
  void MakeRoom();

  // By the images of the serving and the best-effort task: what one such task adds to the tail
  // latency. With an empty second image: the tail latency without best-effort tasks.
  std::map<std::pair<std::string, std::string>, Estimate> estimates_;
};

}  // namespace sapphirewheel
