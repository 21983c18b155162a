#include <boost/histogram.hpp>
#include <mutex>

#include "sapphirewheel/transport/metrics.h"

namespace sapphirewheel {

struct Histogram::Impl {
  using Axis = boost::histogram::axis::variable<double>;
  explicit Impl(const std::vector<double>& bounds)
      : counts(boost::histogram::make_histogram(Axis(bounds))) {}
  mutable std::mutex mutex;
  decltype(boost::histogram::make_histogram(std::declval<Axis>())) counts;
  double sum = 0;
};

Histogram::Histogram(const std::vector<double>& bounds)
    : bounds_(bounds), impl_(std::make_unique<Impl>(bounds_)) {}

Histogram::~Histogram() = default;

void Histogram::Observe(double value) {
  const std::lock_guard lock(impl_->mutex);
  impl_->counts(value);
  impl_->sum += value;
}

std::vector<std::uint64_t> Histogram::Cumulative() const {
  const std::lock_guard lock(impl_->mutex);
  std::vector<std::uint64_t> out;
  std::uint64_t total = 0;
  // Boost.Histogram counts underflow at index -1 and overflow at the index after the last bucket.
  for (int i = -1; i < static_cast<int>(bounds_.size()); ++i) {
    total += static_cast<std::uint64_t>(impl_->counts.at(i));
    out.push_back(total);
  }
  return out;
}

double Histogram::Sum() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->sum;
}

}  // namespace sapphirewheel
