#pragma once

#include <opentracing/span.h>
#include <opentracing/value.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirewheel {

// The identity of a span as carried by the W3C traceparent header. Baggage is not supported.
class TraceContext : public opentracing::SpanContext {
 public:
  TraceContext(std::string trace_id, std::string span_id, bool sampled)
      : trace_id_(std::move(trace_id)), span_id_(std::move(span_id)), sampled_(sampled) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string&, const std::string&)> visit) const override;
  [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override;
  // 32 lower-case hexadecimal digits.
  [[nodiscard]] std::string ToTraceID() const noexcept override { return trace_id_; }
  // 16 lower-case hexadecimal digits.
  [[nodiscard]] std::string ToSpanID() const noexcept override { return span_id_; }
  [[nodiscard]] bool sampled() const noexcept { return sampled_; }

 private:
  std::string trace_id_;
  std::string span_id_;
  bool sampled_;
};

// Empty when the header is missing or malformed; the receiver then starts a new trace.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(std::string_view header);
[[nodiscard]] std::string FormatTraceparent(const TraceContext& context);

// A trace span: one hop of a request. Written as one JSON line when it ends, if its trace is
// sampled. Not thread-safe.
class TraceSpan {
 public:
  // `traceparent` is the caller's; an empty or malformed one starts a new, sampled trace.
  explicit TraceSpan(std::string name, std::string_view traceparent = "");
  // As Finish().
  ~TraceSpan();
  TraceSpan(TraceSpan&&) noexcept = default;
  TraceSpan& operator=(TraceSpan&&) = delete;
  TraceSpan(const TraceSpan&) = delete;
  TraceSpan& operator=(const TraceSpan&) = delete;

  // Values must not contain API keys or request bodies.
  void SetAttribute(std::string name, opentracing::Value value);
  // Ends the span; later calls have no effect.
  void Finish();

  [[nodiscard]] const TraceContext& context() const noexcept { return context_; }
  // The header value for the next hop.
  [[nodiscard]] std::string traceparent() const { return FormatTraceparent(context_); }
  // The span as a JSON line with the field names of OTLP, ending at `end`.
  [[nodiscard]] std::string ToJson(std::chrono::system_clock::time_point end) const;

 private:
  std::string name_;
  TraceContext context_;
  std::string parent_span_id_;
  std::chrono::system_clock::time_point start_;
  std::chrono::steady_clock::time_point steady_start_;
  std::vector<std::pair<std::string, opentracing::Value>> attributes_;
  // Null after Finish() and in a moved-from span.
  std::unique_ptr<bool> open_ = std::make_unique<bool>(true);
};

}  // namespace sapphirewheel
