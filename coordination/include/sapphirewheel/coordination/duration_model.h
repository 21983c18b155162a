#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Learns how long the tasks of an image last from the runs that end done. Callers' estimates are
// used until enough runs of an image were observed. A few runs that last many times as long as the
// others do not change what is expected of the next one. Kept in memory only.
class DurationModel {
 public:
  struct Settings {
    // The image that was not used for the longest time is forgotten beyond this number.
    std::size_t max_images = 256;
    // Longer names are not learned, because callers choose them and each is kept in memory.
    std::size_t max_name_bytes = 256;
    // Number of the latest runs of an image that count.
    std::size_t window = 64;
    // Fewest runs for an expected duration. If 3 % of the runs last many times as long, half of 8
    // of them do so with a probability below 1e-4.
    int min_runs = 8;
    // Fewest runs for a high quantile; the 9th tenth of 20 runs is below 3 long ones.
    int min_runs_for_quantile = 20;
    // Above the natural spread of the durations, and below the few long ones.
    double high_quantile = 0.9;
  };

  DurationModel() : DurationModel(Settings{}) {}
  explicit DurationModel(Settings settings) : settings_(settings) {}

  // A run of the image, of a step with this estimate, took `duration` at full speed.
  void Observe(const std::string& image, Millis estimate, Millis duration, MonotonicTime now);

  // The usual duration of a task, which the few long ones do not change; the estimate if not enough
  // runs were observed or the image is empty.
  [[nodiscard]] Millis Expected(const std::string& image, Millis estimate);
  // The mean duration of a task, with the few long ones, for sums of work; the estimate as above.
  [[nodiscard]] Millis Mean(const std::string& image, Millis estimate);
  // The duration that few tasks exceed; absent if not enough runs were observed.
  [[nodiscard]] std::optional<Millis> High(const std::string& image, Millis estimate);
  // How much longer a task may be expected to run that has run for `elapsed`; absent if not enough
  // runs were observed.
  [[nodiscard]] std::optional<Millis> RemainingAfter(const std::string& image, Millis estimate,
                                                     Millis elapsed);

  // Number of runs of the image that count.
  [[nodiscard]] int Runs(const std::string& image) const;
  // Time since the last run of the image that counts; absent if there is none.
  [[nodiscard]] std::optional<Millis> Age(const std::string& image, MonotonicTime now) const;
  [[nodiscard]] std::size_t images() const noexcept { return images_.size(); }
  // Changes when Expected changes for some image.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

 private:
  struct Run {
    double duration_ms = 0;
    // Of the duration to the estimate.
    double ratio = 0;
  };
  // What is told of an image: durations, or multiples of the callers' estimates if the durations
  // follow these.
  struct Learned {
    bool follows_estimate = false;
    // Updated only when it moves notably.
    double center = 0;
    double mean = 0;
    double high = 0;
    // Of the observed runs.
    double shortest_ms = 0;
    double longest_ms = 0;
  };
  struct Image {
    std::vector<Run> runs;
    // Where the next run replaces the oldest one.
    std::size_t next = 0;
    MonotonicTime last_run;
    std::uint64_t last_use = 0;
    std::optional<Learned> learned;
    // Runs since `learned` was updated.
    int new_runs = 0;
  };

  [[nodiscard]] static Millis Scale(const Image& image, double value, Millis estimate);
  [[nodiscard]] static std::vector<double> Sorted(const Image& image, bool ratios);
  // The image, if enough runs of it were observed; null if not.
  Image* Find(const std::string& image);
  void Learn(Image& image);
  void ForgetOldest();

  Settings settings_;
  std::map<std::string, Image> images_;
  std::uint64_t uses_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace sapphirewheel
