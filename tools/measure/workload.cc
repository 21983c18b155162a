#include "tools/measure/workload.h"

#include <algorithm>

namespace sapphirewheel::measure {
namespace {

// Requests run for 0.1 to 0.7 s, jobs for 5 to 15 s. One in ten of them takes 2 to 4 slots, the
// others take one.
constexpr double kMeanRequestSeconds = 0.4;
constexpr double kMeanJobSeconds = 10;
constexpr double kMeanSlots = 0.9 * 1 + 0.1 * 3;

}  // namespace

const std::vector<TeamSpec>& Teams() {
  static const std::vector<TeamSpec> teams = {
      {"team1", 0.36, 4, 220}, {"team2", 0.25, 3, 160}, {"team3", 0.15, 2, 100},
      {"team4", 0.10, 2, 80},  {"team5", 0.08, 1, 60},  {"team6", 0.06, 1, 60},
  };
  return teams;
}

Workload::Workload(std::uint64_t seed, double mean_slots, double job_fraction)
    : random_(seed), mean_slots_(mean_slots), job_fraction_(job_fraction), services_(kServices) {}

double Workload::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

std::vector<Arrival> Workload::Step(MonotonicTime now, Millis step) {
  std::vector<Arrival> arrivals;
  for (int i = 0; i < kServices; ++i) {
    Service& service = services_[static_cast<std::size_t>(i)];
    if (service.phase_end == MonotonicTime{}) {
      // Each service starts at a random point of a pause.
      service.phase_end = now + Millis(static_cast<std::int64_t>(Uniform(0, 34000)));
    } else if (now >= service.phase_end) {
      service.peak = !service.peak;
      // Peaks last 4 to 12 s (8 s on average) and pauses 33.7 s on average, so that the mean load
      // factor is (8 * 5 + 33.7 / 20) / (8 + 33.7) = 1.
      const double seconds = service.peak ? Uniform(4, 12) : Uniform(17, 50.4);
      service.phase_end = now + Millis(static_cast<std::int64_t>(seconds * 1000));
    }
    const double slots = mean_slots_ * (service.peak ? 5 : 0.05);
    const double mean_run_seconds =
        (1 - job_fraction_) * kMeanRequestSeconds + job_fraction_ * kMeanJobSeconds;
    const double rate = slots / (mean_run_seconds * kMeanSlots);
    const double seconds = static_cast<double>(step.count()) / 1000.0;
    std::poisson_distribution<int> count(rate * seconds);
    for (int n = count(random_); n > 0; --n) arrivals.push_back(MakeArrival(i, now));
  }
  return arrivals;
}

Arrival Workload::MakeArrival(int service, MonotonicTime now) {
  Arrival arrival;
  arrival.item.task = TaskId("t" + std::to_string(++next_task_));
  arrival.item.service = ServiceId("service" + std::to_string(service + 1));
  double pick = Uniform(0, 1);
  int team = 0;
  while (team + 1 < static_cast<int>(Teams().size()) &&
         pick >= Teams()[static_cast<std::size_t>(team)].work_fraction) {
    pick -= Teams()[static_cast<std::size_t>(team)].work_fraction;
    ++team;
  }
  arrival.item.team = TeamId(Teams()[static_cast<std::size_t>(team)].name);
  arrival.item.is_job = Uniform(0, 1) < job_fraction_;
  arrival.item.urgent = !arrival.item.is_job && Uniform(0, 1) < 0.1;
  if (Uniform(0, 1) < 0.1) {
    arrival.item.slots = Slots(2 + static_cast<std::int64_t>(random_() % 3));
  }
  arrival.item.arrived = now;
  const double seconds = arrival.item.is_job ? Uniform(5, 15) : Uniform(0.1, 0.7);
  arrival.run_time = Millis(static_cast<std::int64_t>(seconds * 1000));
  // Clients reuse their connections, so half of a team's work arrives at one node.
  arrival.entry_node = Uniform(0, 1) < 0.5 ? team : static_cast<int>(random_() % kNodes);
  return arrival;
}

}  // namespace sapphirewheel::measure
