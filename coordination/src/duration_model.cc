#include "sapphirewheel/coordination/duration_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sapphirewheel {
namespace {

// The largest estimate of a submitted job, so that sums of expected durations fit as well.
constexpr double kLongest = 1000.0 * 3600 * 24 * 7;
// Relative move of the center from which on it is told, because each change is followed by new
// critical paths of all open jobs.
constexpr double kNotableMove = 0.05;
// A multiple of an estimate far from all durations that were observed shows an error of the
// estimate; this much beyond them is still accepted.
constexpr double kBeyondObserved = 2;
// Runs of an image after which what is told of it is updated, once it is known. Sorting the runs
// after each one would take a notable part of the processor of a small VM.
constexpr int kRunsPerUpdate = 8;
// Fewest runs longer than the elapsed time from which the remaining time is derived.
constexpr std::size_t kFewestLonger = 3;

double Quantile(const std::vector<double>& sorted, double share) {
  const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

// Spread of the middle half, relative to the lower end of it.
double Spread(const std::vector<double>& sorted) {
  constexpr double kLower = 0.25;
  constexpr double kUpper = 0.75;
  return Quantile(sorted, kUpper) / Quantile(sorted, kLower);
}

constexpr double kMiddle = 0.5;

double AtLeastOne(Millis time) { return static_cast<double>(std::max(time, Millis(1)).count()); }

}  // namespace

void DurationModel::Observe(const std::string& image, Millis estimate, Millis duration,
                            MonotonicTime now) {
  if (image.empty() || image.size() > settings_.max_name_bytes) return;
  const auto known = images_.find(image);
  if (known == images_.end() && images_.size() >= settings_.max_images) ForgetOldest();
  Image& it = known == images_.end() ? images_[image] : known->second;
  const double taken = AtLeastOne(duration);
  const Run run{taken, taken / AtLeastOne(estimate)};
  if (it.runs.size() < settings_.window) {
    it.runs.push_back(run);
  } else {
    it.runs[it.next] = run;
    it.next = (it.next + 1) % it.runs.size();
  }
  it.last_run = now;
  it.last_use = ++uses_;
  Learn(it);
}

void DurationModel::Learn(Image& image) {
  if (image.runs.size() < static_cast<std::size_t>(settings_.min_runs)) return;
  if (image.learned && ++image.new_runs < kRunsPerUpdate) return;
  image.new_runs = 0;
  const std::vector<double> durations = Sorted(image, false);
  const std::vector<double> ratios = Sorted(image, true);
  Learned now;
  now.follows_estimate = Spread(ratios) < Spread(durations);
  const std::vector<double>& values = now.follows_estimate ? ratios : durations;
  now.center = Quantile(values, kMiddle);
  now.mean =
      std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
  now.high = Quantile(values, settings_.high_quantile);
  now.shortest_ms = durations.front();
  now.longest_ms = durations.back();
  const bool moved = !image.learned || image.learned->follows_estimate != now.follows_estimate ||
                     std::abs(now.center / image.learned->center - 1) > kNotableMove;
  if (!moved) now.center = image.learned->center;
  image.learned = now;
  if (moved) ++revision_;
}

void DurationModel::ForgetOldest() {
  const auto oldest = std::min_element(
      images_.begin(), images_.end(),
      [](const auto& a, const auto& b) { return a.second.last_use < b.second.last_use; });
  if (oldest == images_.end()) return;
  if (oldest->second.learned) ++revision_;
  images_.erase(oldest);
}

DurationModel::Image* DurationModel::Find(const std::string& image) {
  if (image.empty()) return nullptr;
  const auto it = images_.find(image);
  if (it == images_.end()) return nullptr;
  it->second.last_use = ++uses_;
  return it->second.learned ? &it->second : nullptr;
}

// Turns a duration, or a multiple of an estimate, into a duration.
Millis DurationModel::Scale(const Image& image, double value, Millis estimate) {
  const Learned& learned = *image.learned;
  if (learned.follows_estimate) {
    value = std::clamp(value * AtLeastOne(estimate), learned.shortest_ms / kBeyondObserved,
                       learned.longest_ms * kBeyondObserved);
  }
  return Millis(static_cast<std::int64_t>(std::clamp(value, 1.0, kLongest)));
}

std::vector<double> DurationModel::Sorted(const Image& image, bool ratios) {
  std::vector<double> values;
  values.reserve(image.runs.size());
  for (const Run& it : image.runs) values.push_back(ratios ? it.ratio : it.duration_ms);
  std::sort(values.begin(), values.end());
  return values;
}

Millis DurationModel::Expected(const std::string& image, Millis estimate) {
  const Image* it = Find(image);
  return it == nullptr ? estimate : Scale(*it, it->learned->center, estimate);
}

Millis DurationModel::Mean(const std::string& image, Millis estimate) {
  const Image* it = Find(image);
  return it == nullptr ? estimate : Scale(*it, it->learned->mean, estimate);
}

std::optional<Millis> DurationModel::High(const std::string& image, Millis estimate) {
  const Image* it = Find(image);
  if (it == nullptr) return std::nullopt;
  const auto least = static_cast<std::size_t>(settings_.min_runs_for_quantile);
  if (it->runs.size() < least) return std::nullopt;
  return Scale(*it, it->learned->high, estimate);
}

std::optional<Millis> DurationModel::RemainingAfter(const std::string& image, Millis estimate,
                                                    Millis elapsed) {
  const Image* it = Find(image);
  if (it == nullptr) return std::nullopt;
  const double unit = it->learned->follows_estimate ? AtLeastOne(estimate) : 1;
  const auto passed = static_cast<double>(elapsed.count());
  double sum = 0;
  std::size_t longer = 0;
  for (const double value : Sorted(*it, it->learned->follows_estimate)) {
    if (value * unit <= passed) continue;
    sum += value * unit - passed;
    ++longer;
  }
  // Runs that are stopped because a copy was faster are not observed, so long ones are rare. What
  // has lasted longer than almost all others is then expected to last as long again.
  if (longer < kFewestLonger) return std::max(elapsed, Millis(1));
  const double mean = sum / static_cast<double>(longer);
  return Millis(static_cast<std::int64_t>(std::clamp(mean, 1.0, kLongest)));
}

int DurationModel::Runs(const std::string& image) const {
  const auto it = images_.find(image);
  return it == images_.end() ? 0 : static_cast<int>(it->second.runs.size());
}

std::optional<Millis> DurationModel::Age(const std::string& image, MonotonicTime now) const {
  const auto it = images_.find(image);
  if (it == images_.end()) return std::nullopt;
  return now - it->second.last_run;
}

}  // namespace sapphirewheel
