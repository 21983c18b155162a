#include "sapphirewheel/transport/tracing.h"

#include <boost/json/array.hpp>
#include <chrono>
#include <string>

#include "sapphirewheel/state/json.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::FormatTraceparent;
using sapphirewheel::ParseObject;
using sapphirewheel::ParseTraceparent;
using sapphirewheel::TextField;
using sapphirewheel::TraceSpan;

namespace {

const std::string kTrace = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string kSpan = "00f067aa0ba902b7";

}  // namespace

// clang-format off
TEST_GROUP(Tracing) {};
// clang-format on

// Guards against a trace that is not continued at this hop.
TEST(Tracing, ReadsAndWritesTraceparent) {
  const std::string header = "00-" + kTrace + "-" + kSpan + "-01";
  const auto context = ParseTraceparent(header);
  CHECK_TRUE(context.has_value());
  STRCMP_EQUAL(kTrace.c_str(), context->ToTraceID().c_str());
  STRCMP_EQUAL(header.c_str(), FormatTraceparent(*context).c_str());
  CHECK_FALSE(ParseTraceparent("00-" + kTrace + "-" + kSpan + "-00")->sampled());
  CHECK_TRUE(ParseTraceparent("01-" + kTrace + "-" + kSpan + "-01-later").has_value());
}

// Guards against callers that inject arbitrary text into spans through the header.
TEST(Tracing, RejectsMalformedTraceparent) {
  const std::string zeros(32, '0');
  for (const std::string& header :
       {std::string(), std::string("00"), "00-" + kTrace + "-" + kSpan + "-0",
        "00-" + kTrace + "-" + kSpan + "-0x", "00_" + kTrace + "-" + kSpan + "-01",
        "ff-" + kTrace + "-" + kSpan + "-01", "00-" + zeros + "-" + kSpan + "-01",
        "00-" + kTrace + "-0000000000000000-01", "00-" + kTrace + "-" + kSpan + "-01-x",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-" + kSpan + "-01"}) {
    CHECK_FALSE_TEXT(ParseTraceparent(header).has_value(), header.c_str());
  }
}

// Guards against spans that OTLP tools cannot read.
TEST(Tracing, WritesSpansWithOtlpFields) {
  TraceSpan span("dispatch", "00-" + kTrace + "-" + kSpan + "-01");
  span.SetAttribute("worker", "w1");
  span.SetAttribute("slots", 2);
  span.SetAttribute("urgent", true);
  const auto end = std::chrono::system_clock::time_point(std::chrono::seconds(2));
  const auto object = ParseObject(span.ToJson(end)).value();
  STRCMP_EQUAL(kTrace.c_str(), TextField(object, "traceId").c_str());
  STRCMP_EQUAL(kSpan.c_str(), TextField(object, "parentSpanId").c_str());
  CHECK_EQUAL(16U, TextField(object, "spanId").size());
  STRCMP_EQUAL("dispatch", TextField(object, "name").c_str());
  STRCMP_EQUAL("2000000000", TextField(object, "endTimeUnixNano").c_str());
  const auto& attributes = object.at("attributes").as_array();
  STRCMP_EQUAL("w1", TextField(attributes.at(0).at("value").as_object(), "stringValue").c_str());
  STRCMP_EQUAL("2", TextField(attributes.at(1).at("value").as_object(), "intValue").c_str());
  CHECK_TRUE(attributes.at(2).at("value").at("boolValue").as_bool());
}

// Guards against requests of different callers sharing a trace.
TEST(Tracing, StartsANewTraceWithoutAParent) {
  const TraceSpan first("a");
  const TraceSpan second("b", "malformed");
  CHECK_FALSE(first.context().ToTraceID() == second.context().ToTraceID());
  const TraceSpan child("c", first.traceparent());
  CHECK_TRUE(first.context().ToTraceID() == child.context().ToTraceID());
  CHECK_FALSE(first.context().ToSpanID() == child.context().ToSpanID());
}
