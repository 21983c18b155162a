#include "sapphirewheel/transport/tracing.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <random>

#include "telemetry_queue.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kHeaderSize = 55;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsHex(std::string_view text) {
  return text.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool IsZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

// Identifiers must be unique but need not be unpredictable.
std::string RandomHex(std::size_t digits) {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  std::uniform_int_distribution<std::size_t> digit(0, kHexDigits.size() - 1);
  std::string text;
  while (text.size() < digits) text += kHexDigits[digit(generator)];
  return text;
}

TraceContext NewContext(const std::optional<TraceContext>& parent) {
  if (!parent) return TraceContext(RandomHex(kTraceDigits), RandomHex(kSpanDigits), true);
  return TraceContext(parent->ToTraceID(), RandomHex(kSpanDigits), parent->sampled());
}

// The OTLP/JSON encoding of an attribute value, in which 64-bit integers are strings.
json::object EncodeValue(const opentracing::Value& value) {
  if (value.is<bool>()) return {{"boolValue", value.get<bool>()}};
  if (value.is<double>()) return {{"doubleValue", value.get<double>()}};
  if (value.is<std::int64_t>()) return {{"intValue", std::to_string(value.get<std::int64_t>())}};
  if (value.is<std::uint64_t>()) return {{"intValue", std::to_string(value.get<std::uint64_t>())}};
  if (value.is<std::string>()) return {{"stringValue", value.get<std::string>()}};
  if (value.is<const char*>()) return {{"stringValue", value.get<const char*>()}};
  return {{"stringValue", ""}};
}

std::string Nanoseconds(std::chrono::system_clock::time_point time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

}  // namespace

void TraceContext::ForeachBaggageItem(
    std::function<bool(const std::string&, const std::string&)> /*visit*/) const {}

std::unique_ptr<opentracing::SpanContext> TraceContext::Clone() const noexcept {
  return std::make_unique<TraceContext>(*this);
}

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  // Format: version "-" trace id "-" span id "-" flags. Later versions may append fields.
  if (header.size() < kHeaderSize) return std::nullopt;
  const std::string_view version = header.substr(0, 2);
  const std::string_view trace = header.substr(3, kTraceDigits);
  const std::string_view span = header.substr(36, kSpanDigits);
  const std::string_view flags = header.substr(53, 2);
  if (header[2] != '-' || header[35] != '-' || header[52] != '-') return std::nullopt;
  if (!IsHex(version) || !IsHex(trace) || !IsHex(span) || !IsHex(flags)) return std::nullopt;
  if (version == "ff" || IsZero(trace) || IsZero(span)) return std::nullopt;
  if (header.size() > kHeaderSize && (version == "00" || header[kHeaderSize] != '-')) {
    return std::nullopt;
  }
  const bool sampled = kHexDigits.find(flags[1]) % 2 == 1;
  return TraceContext(std::string(trace), std::string(span), sampled);
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.ToTraceID() + "-" + context.ToSpanID() +
         (context.sampled() ? "-01" : "-00");
}

TraceSpan::TraceSpan(std::string name, std::string_view traceparent)
    : name_(std::move(name)),
      context_(NewContext(ParseTraceparent(traceparent))),
      start_(std::chrono::system_clock::now()),
      steady_start_(std::chrono::steady_clock::now()) {
  const auto parent = ParseTraceparent(traceparent);
  if (parent) parent_span_id_ = parent->ToSpanID();
}

TraceSpan::~TraceSpan() { Finish(); }

void TraceSpan::SetAttribute(std::string name, opentracing::Value value) {
  // Copies text, because the span may outlive the caller's buffer.
  if (value.is<opentracing::string_view>()) {
    const auto text = value.get<opentracing::string_view>();
    value = opentracing::Value(std::string(text.data(), text.size()));
  } else if (value.is<const char*>()) {
    value = opentracing::Value(std::string(value.get<const char*>()));
  }
  attributes_.emplace_back(std::move(name), std::move(value));
}

void TraceSpan::Finish() {
  if (!open_) return;
  open_.reset();
  if (!context_.sampled()) return;
  // The duration is measured by the monotonic clock, so that clock adjustments do not affect it.
  const auto duration = std::chrono::steady_clock::now() - steady_start_;
  EnqueueTelemetry(TelemetryRecord{
      TelemetryRecord::Kind::kSpan, EventLevel::kInfo,
      ToJson(start_ + std::chrono::duration_cast<std::chrono::system_clock::duration>(duration))});
}

std::string TraceSpan::ToJson(std::chrono::system_clock::time_point end) const {
  json::array attributes;
  for (const auto& [name, value] : attributes_) {
    attributes.push_back(json::object{{"key", name}, {"value", EncodeValue(value)}});
  }
  return json::serialize(json::object{{"traceId", context_.ToTraceID()},
                                      {"spanId", context_.ToSpanID()},
                                      {"parentSpanId", parent_span_id_},
                                      {"name", name_},
                                      {"startTimeUnixNano", Nanoseconds(start_)},
                                      {"endTimeUnixNano", Nanoseconds(end)},
                                      {"attributes", std::move(attributes)}});
}

}  // namespace sapphirewheel
