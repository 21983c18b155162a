#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/fair_scheduler.h"

namespace sapphirewheel::measure {

// A client account (team) of the simulated workload.
struct TeamSpec {
  std::string name;
  // Fraction of all work that belongs to this team.
  double work_fraction;
  std::int64_t share;
  std::int64_t upper_limit;
};

// Six client accounts, a few of which are large (section 1.4 of docs/design.md).
[[nodiscard]] const std::vector<TeamSpec>& Teams();

inline constexpr int kServices = 5;
inline constexpr int kNodes = 8;

// A request or job that arrives at an entry node.
struct Arrival {
  WorkItem item;
  int entry_node = 0;
  // Time for which it occupies its slots.
  Millis run_time{0};
};

// Generates requests and jobs for five services from a seed. The load of each service peaks at
// 5 times its mean for some seconds and falls to 1/20 of the mean in between. Arrivals do not
// depend on how earlier work was served, so all variants get the same workload.
class Workload {
 public:
  // `mean_slots`: slots that one service keeps busy on average; `job_fraction`: fraction of the
  // arrivals that are jobs, from 0 to 1.
  Workload(std::uint64_t seed, double mean_slots, double job_fraction);

  // Returns what arrives during the step that ends at `now`.
  [[nodiscard]] std::vector<Arrival> Step(MonotonicTime now, Millis step);

 private:
  struct Service {
    bool peak = false;
    // End of the current peak or pause; zero before the first step.
    MonotonicTime phase_end{};
  };

  [[nodiscard]] Arrival MakeArrival(int service, MonotonicTime now);
  [[nodiscard]] double Uniform(double low, double high);

  std::mt19937_64 random_;
  double mean_slots_;
  double job_fraction_;
  std::uint64_t next_task_ = 0;
  std::vector<Service> services_;
};

}  // namespace sapphirewheel::measure
