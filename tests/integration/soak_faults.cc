#include "tests/integration/soak_faults.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <random>
#include <utility>

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr int kDataCentres = 3;
constexpr int kEntries = 2;
constexpr int kWorkers = 4;
// Time limit of a planned stop under load. Covers the daemon's drain notice and longest deadline.
constexpr std::chrono::seconds kStopLimit{40};
constexpr const char* kPlatformAddress = "127.0.100.1";

constexpr std::array kKinds = {
    "daemon-kill",   "daemon-freeze",      "daemon-stop",    "daemon-replace", "worker-die",
    "worker-freeze", "worker-fail",        "worker-leave",   "platform-503",   "platform-drop",
    "platform-hang", "platform-slow",      "platform-lose",  "cut-platform",   "cut-peers",
    "cut-both",      "blackhole-platform", "blackhole-peers"};

std::string ComponentOf(const Fault& fault) {
  std::string part = fault.kind.substr(0, fault.kind.find('-'));
  if (part == "platform") return part;
  if (part == "cut" || part == "blackhole") return "cut";
  return part + std::to_string(fault.data_centre) + "-" + std::to_string(fault.index);
}

Fault DrawFault(std::mt19937_64& random, milliseconds at) {
  const auto draw = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  Fault fault;
  fault.at = at + milliseconds(draw(0, 1500));
  fault.length = milliseconds(draw(500, 9000));
  fault.kind = kKinds[static_cast<std::size_t>(draw(0, static_cast<int>(kKinds.size()) - 1))];
  fault.data_centre = draw(1, kDataCentres);
  const bool daemon = fault.kind.rfind("daemon", 0) == 0;
  fault.index = draw(1, daemon ? kEntries : kWorkers);
  return fault;
}

}  // namespace

std::vector<Fault> MakeSchedule(std::uint64_t seed, milliseconds length) {
  std::mt19937_64 random(seed);
  std::vector<Fault> schedule;
  for (milliseconds now{2000}; now < length;) {
    const Fault first = DrawFault(random, now);
    Fault second = DrawFault(random, now);
    const bool two = std::uniform_int_distribution<int>(0, 1)(random) == 1;
    milliseconds end = first.at + first.length;
    schedule.push_back(first);
    if (two && ComponentOf(first) != ComponentOf(second)) {
      end = std::max(end, second.at + second.length);
      schedule.push_back(second);
    }
    now = end + milliseconds(std::uniform_int_distribution<int>(200, 5000)(random));
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return schedule;
}

std::string Describe(const Fault& fault) {
  return std::to_string(fault.at.count()) + " ms, for " + std::to_string(fault.length.count()) +
         " ms: " + fault.kind + " dc" + std::to_string(fault.data_centre) + " " +
         std::to_string(fault.index);
}

FaultInjector::FaultInjector(Fleet& fleet, std::uint64_t seed, std::function<void()> changed)
    : fleet_(fleet), seed_(seed), changed_(std::move(changed)) {
  for (int dc = 1; dc <= kDataCentres; ++dc) {
    for (int i = 1; i <= kEntries; ++i) {
      entries_[{dc, i}] = "dc" + std::to_string(dc) + "-e" + std::to_string(i);
    }
  }
}

std::string& FaultInjector::EntryAt(const Fault& fault) {
  return entries_.at({fault.data_centre, fault.index});
}

void FaultInjector::Inject(const Fault& fault) {
  if (fault.kind.rfind("daemon", 0) == 0) return InjectDaemon(fault);
  if (fault.kind.rfind("worker", 0) == 0) return InjectWorker(fault, false);
  if (fault.kind.rfind("platform", 0) == 0) return InjectPlatform(fault, false);
  SetCutRules(fault, false);
}

void FaultInjector::Heal(const Fault& fault) {
  if (fault.kind.rfind("worker", 0) == 0) return InjectWorker(fault, true);
  if (fault.kind.rfind("platform", 0) == 0) return InjectPlatform(fault, true);
  if (fault.kind.rfind("daemon", 0) != 0) return SetCutRules(fault, true);
  std::string& vm = EntryAt(fault);
  if (fault.kind == "daemon-freeze") return fleet_.Thaw(vm);
  if (fault.kind == "daemon-replace") {
    const std::string next = "dc" + std::to_string(fault.data_centre) + "-n" +
                             std::to_string(++replaced_) + "-" + std::to_string(fault.index);
    fleet_.Replace(vm, next);
    vm = next;
  } else {
    if (fault.kind == "daemon-stop" && !fleet_.Stop(vm, kStopLimit)) {
      violations_.push_back(vm + " did not complete its planned stop in time");
      fleet_.Kill(vm);
    }
    fleet_.Start(vm);
  }
  changed_();
}

void FaultInjector::InjectDaemon(const Fault& fault) {
  const std::string& vm = EntryAt(fault);
  if (fault.kind == "daemon-freeze") {
    fleet_.Freeze(vm);
  } else if (fault.kind == "daemon-stop") {
    (void)fleet_.Stop(vm, milliseconds(0));
  } else {
    fleet_.Kill(vm);
  }
}

void FaultInjector::InjectWorker(const Fault& fault, bool heal) {
  const std::string vm =
      "dc" + std::to_string(fault.data_centre) + "-w" + std::to_string(fault.index);
  if (fault.kind == "worker-die") {
    fleet_.ControlWorker(vm, {{"op", heal ? "repair" : "die"}});
  } else if (fault.kind == "worker-freeze") {
    fleet_.ControlWorker(vm, {{"op", heal ? "thaw" : "freeze"}});
  } else if (fault.kind == "worker-fail") {
    fleet_.ControlWorker(vm, {{"op", "fail_all"}, {"value", !heal}});
  } else {
    fleet_.ControlWorker(vm, {{"op", "leaving"}, {"value", !heal}});
    fleet_.ControlPlatform({{"op", "phase"}, {"vm", vm}, {"phase", heal ? "live" : "leaving"}});
  }
}

void FaultInjector::InjectPlatform(const Fault& fault, bool heal) {
  const std::string mode = fault.kind.substr(fault.kind.find('-') + 1);
  if (mode == "slow") {
    const int ms = heal ? 0 : 150;
    fleet_.ControlPlatform({{"op", "slow"}, {"before_ms", ms}, {"after_ms", ms}});
  } else if (mode == "lose") {
    const double probability = heal ? 0 : 0.3;
    fleet_.ControlPlatform({{"op", "lose_answers"}, {"probability", probability}, {"seed", seed_}});
  } else {
    fleet_.ControlPlatform({{"op", "outage"}, {"mode", heal ? "" : mode}});
  }
}

void FaultInjector::SetCutRule(const std::string& id, const std::string& source,
                               const std::string& destination, bool heal) {
  const std::string action = id.rfind("blackhole", 0) == 0 ? "blackhole" : "cut";
  if (heal) {
    fleet_.ControlProxy({{"op", "remove"}, {"id", id}});
  } else {
    fleet_.ControlProxy({{"op", "add"},
                         {"id", id},
                         {"action", action},
                         {"source", source},
                         {"destination", destination}});
  }
}

void FaultInjector::SetCutRules(const Fault& fault, bool heal) {
  const std::string self = "dc" + std::to_string(fault.data_centre) + "-";
  const std::string own = "127.0." + std::to_string(fault.data_centre) + ".";
  const std::string id = fault.kind + self;
  if (!fault.kind.ends_with("peers")) SetCutRule(id + "platform", self, kPlatformAddress, heal);
  if (fault.kind.ends_with("platform")) return;
  for (int dc = 1; dc <= kDataCentres; ++dc) {
    if (dc == fault.data_centre) continue;
    const std::string other = std::to_string(dc);
    std::string rule = id;
    rule += "to";
    rule += other;
    SetCutRule(rule, self, "127.0." + other + ".", heal);
    rule += "-back";
    SetCutRule(rule, "dc" + other + "-", own, heal);
  }
}

}  // namespace sapphirewheel::testing
