#include "sapphirewheel/coordination/policy_profile.h"

#include <charconv>
#include <utility>

namespace sapphirewheel {
namespace {

constexpr std::pair<std::string_view, std::string_view> kNamed[] = {
    {"brunner", "share=2,moves=2,buffer=1,rollout=1"},
    {"graxaria", "share=1,moves=1,buffer=2,rollout=2"},
};

Error Invalid(std::string_view part) {
  return {
      ErrorKind::kInvalidArgument, "profile: '" + std::string(part) + "' is not valid",
      "use brunner, graxaria, or weights from 0.1 to 10 as in share=2,moves=2,buffer=1,rollout=1",
      RunState::kNotRun, std::nullopt};
}

bool SetWeight(PolicyProfile& profile, std::string_view part) {
  constexpr double kMin = 0.1;
  constexpr double kMax = 10;
  const std::size_t equals = part.find('=');
  if (equals == std::string_view::npos) return false;
  const std::string_view name = part.substr(0, equals);
  const std::string_view number = part.substr(equals + 1);
  double weight = 0;
  const auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), weight);
  if (ec != std::errc() || end != number.data() + number.size()) return false;
  if (!(weight >= kMin && weight <= kMax)) return false;
  if (name == "share") return profile.share = weight, true;
  if (name == "moves") return profile.moves = weight, true;
  if (name == "buffer") return profile.buffer = weight, true;
  if (name == "rollout") return profile.rollout = weight, true;
  return false;
}

}  // namespace

Result<PolicyProfile> ParseProfile(std::string_view text) {
  for (const auto& [name, weights] : kNamed) {
    if (text == name) text = weights;
  }
  PolicyProfile profile;
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(','));
    if (!SetWeight(profile, part)) return Invalid(part);
    text.remove_prefix(part.size() == text.size() ? part.size() : part.size() + 1);
  }
  return profile;
}

}  // namespace sapphirewheel
