#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tests/integration/fleet.h"

namespace sapphirewheel::testing {

// A fault in the schedule. The target is a data centre, or the entry VM or worker with number
// `index` in it.
struct Fault {
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds length{0};
  std::string kind;
  int data_centre = 1;
  int index = 1;
};

// Returns the schedule of a seed, ordered by time: one or two faults at a time, then a pause.
// Simultaneous faults never affect the same component.
[[nodiscard]] std::vector<Fault> MakeSchedule(std::uint64_t seed, std::chrono::milliseconds length);

[[nodiscard]] std::string Describe(const Fault& fault);

// Injects and heals faults in a fleet. Use it on the main thread.
class FaultInjector {
 public:
  // `changed` is called when the address of an entry VM has changed.
  FaultInjector(Fleet& fleet, std::uint64_t seed, std::function<void()> changed);

  void Inject(const Fault& fault);
  // Ends a fault. A stopped or killed daemon is started again or replaced by a new VM.
  void Heal(const Fault& fault);
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

 private:
  [[nodiscard]] std::string& EntryAt(const Fault& fault);
  void InjectDaemon(const Fault& fault);
  void InjectWorker(const Fault& fault, bool heal);
  void InjectPlatform(const Fault& fault, bool heal);
  void SetCutRules(const Fault& fault, bool heal);
  void SetCutRule(const std::string& id, const std::string& source, const std::string& destination,
                  bool heal);

  Fleet& fleet_;
  std::uint64_t seed_;
  std::function<void()> changed_;
  // Current entry VM by data centre and index; a replacement has a new name.
  std::map<std::pair<int, int>, std::string> entries_;
  int replaced_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace sapphirewheel::testing
