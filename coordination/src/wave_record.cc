#include "sapphirewheel/coordination/wave_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iterator>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

constexpr const char* kPhaseNames[] = {"running", "paused", "cancelling", "cancelled", "done"};

template <typename Ids>
boost::json::array EncodeIds(const Ids& ids) {
  boost::json::array list;
  for (const auto& id : ids) list.emplace_back(id.str());
  return list;
}

std::vector<std::string> DecodeTexts(const boost::json::object& object, const char* name) {
  std::vector<std::string> texts;
  const auto* list = object.if_contains(name);
  if (list == nullptr || !list->is_array()) return texts;
  for (const auto& item : list->as_array()) {
    if (item.is_string()) texts.emplace_back(item.as_string().c_str());
  }
  return texts;
}

const boost::json::object& ObjectMember(const boost::json::object& object, const char* name) {
  static const boost::json::object empty;
  const auto* member = object.if_contains(name);
  return member == nullptr || !member->is_object() ? empty : member->as_object();
}

}  // namespace

const char* WavePhaseName(WavePhase phase) noexcept { return kPhaseNames[static_cast<int>(phase)]; }

RowKey WavePartRow(const WaveId& wave, const PoolId& pool) {
  return schema::WaveRow(WaveId(wave.str() + "/" + pool.str()));
}

std::string EncodeWave(const WaveRecord& wave) {
  boost::json::object failures;
  for (const auto& [vm, rack] : wave.failures) failures[vm.str()] = rack.str();
  return boost::json::serialize(boost::json::object{
      {"pools", EncodeIds(wave.pools)},
      {"phase", WavePhaseName(wave.phase)},
      {"applied", static_cast<std::int64_t>(wave.applied.count())},
      {"failures", failures},
      {"resumes", wave.resumes},
      {"reason", wave.reason},
  });
}

Result<WaveRecord> DecodeWave(const std::string& text) {
  BOOST_OUTCOME_TRY(const auto object, ParseObject(text));
  WaveRecord wave;
  for (std::string& pool : DecodeTexts(object, "pools")) wave.pools.emplace_back(std::move(pool));
  const std::string phase = TextField(object, "phase");
  const auto* name = std::find(std::begin(kPhaseNames), std::end(kPhaseNames), phase);
  if (name == std::end(kPhaseNames)) {
    return Error{ErrorKind::kInternal, "wave row has the unknown phase '" + phase + "'",
                 "upgrade this daemon, or remove the row", RunState::kNotRun, std::nullopt};
  }
  wave.phase = static_cast<WavePhase>(name - std::begin(kPhaseNames));
  wave.applied = ConfigVersion(static_cast<std::uint64_t>(IntField(object, "applied")));
  wave.resumes = IntField(object, "resumes");
  wave.reason = TextField(object, "reason");
  const auto& failures = ObjectMember(object, "failures");
  for (const auto& entry : failures) {
    wave.failures[VmId(std::string(entry.key()))] = RackId(TextField(failures, entry.key()));
  }
  return wave;
}

std::string EncodeWavePart(const WavePart& part) {
  boost::json::object busy;
  for (const auto& [vm, state] : part.busy) {
    busy[vm.str()] = boost::json::object{{"phase", static_cast<std::int64_t>(state.phase)},
                                         {"boot", state.boot},
                                         {"resumes", state.resumes}};
  }
  return boost::json::serialize(boost::json::object{
      {"todo", EncodeIds(part.todo)}, {"busy", busy}, {"done", EncodeIds(part.done)}});
}

Result<WavePart> DecodeWavePart(const std::string& text) {
  BOOST_OUTCOME_TRY(const auto object, ParseObject(text));
  WavePart part;
  for (std::string& vm : DecodeTexts(object, "todo")) part.todo.emplace(std::move(vm));
  for (std::string& vm : DecodeTexts(object, "done")) part.done.emplace(std::move(vm));
  for (const auto& entry : ObjectMember(object, "busy")) {
    if (!entry.value().is_object()) continue;
    const auto& state = entry.value().as_object();
    WaveVm vm;
    vm.phase =
        static_cast<AssignmentPhase>(std::clamp<std::int64_t>(IntField(state, "phase"), 1, 4));
    vm.boot = TextField(state, "boot");
    vm.resumes = IntField(state, "resumes");
    part.busy[VmId(std::string(entry.key()))] = std::move(vm);
  }
  return part;
}

}  // namespace sapphirewheel
