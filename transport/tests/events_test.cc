#include "sapphirewheel/transport/events.h"

#include <set>
#include <string>

#include "CppUTest/TestHarness.h"

using sapphirewheel::Describe;
using sapphirewheel::Event;
using sapphirewheel::EventCatalogue;
using sapphirewheel::FormatEvent;
using sapphirewheel::RenderEventCatalogue;

namespace {

// Builds the catalogue, which lives until the process ends, before the first test, so that the leak
// check ignores it.
[[maybe_unused]] const std::size_t kEvents = EventCatalogue().size();

}  // namespace

// clang-format off
TEST_GROUP(Events) {};
// clang-format on

// Guards against two events that share a number or a name.
TEST(Events, NumbersAndNamesAreUnique) {
  std::set<int> numbers;
  std::set<std::string> names;
  for (const auto& info : EventCatalogue()) {
    CHECK_TRUE(numbers.insert(static_cast<int>(info.event)).second);
    CHECK_TRUE(names.insert(info.name).second);
    CHECK_FALSE(std::string(info.meaning).empty());
    CHECK_FALSE(std::string(info.action).empty());
    STRCMP_EQUAL(info.name, Describe(info.event).name);
  }
}

// Guards against an event that is missing from the operators' documentation.
TEST(Events, RendersEachEvent) {
  const std::string text = RenderEventCatalogue();
  for (const auto& info : EventCatalogue()) {
    const std::string start = "| " + std::to_string(static_cast<int>(info.event)) + " | ";
    CHECK_TRUE(text.find(start) != std::string::npos);
  }
}

// Guards against credentials and request bodies in the log.
TEST(Events, RedactsConfidentialValues) {
  const std::string line = FormatEvent(Event::kKeyGranted, {{"key", "s3cret"},
                                                            {"client_secret", "s3cret"},
                                                            {"body", "s3cret"},
                                                            {"authorization", "s3cret"},
                                                            {"header", "Bearer s3cret"},
                                                            {"key_id", "k1"}});
  CHECK_TRUE(line.find("s3cret") == std::string::npos);
  CHECK_TRUE(line.find("key_id=k1") != std::string::npos);
}

// Guards against a value that forges another event or field in the log.
TEST(Events, KeepsAnEventOnOneLine) {
  STRCMP_EQUAL(
      "event=900 name=internal-fault level=error a=\"x?event=100 b=\\\"1\\\"\" empty=\"\" n=3",
      FormatEvent(Event::kInternalFault, {{"a", "x\nevent=100 b=\"1\""}, {"empty", ""}, {"n", "3"}})
          .c_str());
  CHECK_TRUE(FormatEvent(Event::kStarted, {{"a", std::string(100000, 'x')}}).size() < 1000);
}
