#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirewheel {

// A monotonically increasing value.
class Counter {
 public:
  void Add(std::uint64_t n = 1) noexcept { value_.fetch_add(n, std::memory_order_relaxed); }
  [[nodiscard]] std::uint64_t value() const noexcept { return value_; }

 private:
  std::atomic<std::uint64_t> value_ = 0;
};

// A value that can go up and down.
class Gauge {
 public:
  void Set(double value) noexcept { value_ = value; }
  [[nodiscard]] double value() const noexcept { return value_; }

 private:
  std::atomic<double> value_ = 0;
};

// Counts observations in buckets and sums them up.
class Histogram {
 public:
  // Finite bucket bounds in increasing order, at least two.
  explicit Histogram(const std::vector<double>& bounds);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Observe(double value);
  // The number of observations below each bound, followed by the number of all observations.
  [[nodiscard]] std::vector<std::uint64_t> Cumulative() const;
  [[nodiscard]] double Sum() const;
  [[nodiscard]] const std::vector<double>& bounds() const noexcept { return bounds_; }

 private:
  struct Impl;
  std::vector<double> bounds_;
  std::unique_ptr<Impl> impl_;
};

using MetricLabels = std::map<std::string, std::string>;

// Bucket bounds for durations of requests, in seconds, from 1 ms to 60 s.
[[nodiscard]] std::vector<double> DurationBounds();

// A set of named metrics. Thread-safe. References stay valid for the lifetime of the registry. The
// type and the help text of a name are those of its first use; a use with another type gets a
// metric that is not rendered.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  Counter& GetCounter(const std::string& name, const std::string& help,
                      const MetricLabels& labels = {});
  Gauge& GetGauge(const std::string& name, const std::string& help,
                  const MetricLabels& labels = {});
  Histogram& GetHistogram(const std::string& name, const std::string& help,
                          const std::vector<double>& bounds = DurationBounds(),
                          const MetricLabels& labels = {});

  // Prometheus text format, version 0.0.4.
  [[nodiscard]] std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
