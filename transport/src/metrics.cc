#include "sapphirewheel/transport/metrics.h"

#include <cstdio>
#include <mutex>
#include <variant>

namespace sapphirewheel {
namespace {

using Metric =
    std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Histogram>>;

// All metrics of one name.
struct Family {
  const char* type = "";
  std::string help;
  std::map<std::string, Metric> by_labels;
};

std::string Escape(const std::string& text, bool quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || (quotes && c == '"')) out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

std::string LabelText(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += name + "=\"" + Escape(value, true) + "\"";
  }
  return text;
}

std::string Braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", value);
  return text;
}

void RenderHistogram(const std::string& name, const std::string& labels, const Histogram& histogram,
                     std::string& out) {
  const auto cumulative = histogram.Cumulative();
  const std::string prefix = labels.empty() ? "" : labels + ",";
  for (std::size_t i = 0; i < cumulative.size(); ++i) {
    const bool last = i == histogram.bounds().size();
    const std::string bound = last ? "+Inf" : Number(histogram.bounds()[i]);
    out.append(name).append("_bucket{").append(prefix).append("le=\"").append(bound);
    out.append("\"} ").append(std::to_string(cumulative[i])).append("\n");
  }
  out += name + "_sum" + Braced(labels) + " " + Number(histogram.Sum()) + "\n";
  out += name + "_count" + Braced(labels) + " " + std::to_string(cumulative.back()) + "\n";
}

void RenderMetric(const std::string& name, const std::string& labels, const Metric& metric,
                  std::string& out) {
  if (const auto* counter = std::get_if<std::unique_ptr<Counter>>(&metric)) {
    out += name + Braced(labels) + " " + std::to_string((*counter)->value()) + "\n";
  } else if (const auto* gauge = std::get_if<std::unique_ptr<Gauge>>(&metric)) {
    out += name + Braced(labels) + " " + Number((*gauge)->value()) + "\n";
  } else {
    RenderHistogram(name, labels, *std::get<std::unique_ptr<Histogram>>(metric), out);
  }
}

}  // namespace

struct MetricsRegistry::Impl {
  template <typename T, typename Make>
  T& Get(const char* type, const std::string& name, const std::string& help,
         const MetricLabels& labels, Make make) {
    const std::lock_guard lock(mutex);
    auto [it, added] = families.try_emplace(name);
    if (added) {
      it->second.type = type;
      it->second.help = help;
    }
    const bool same_kind = std::string(it->second.type) == type;
    Family& family = same_kind ? it->second : hidden[std::string(type) + name];
    auto [metric, is_new] = family.by_labels.try_emplace(LabelText(labels));
    if (is_new) metric->second = make();
    return *std::get<std::unique_ptr<T>>(metric->second);
  }

  mutable std::mutex mutex;
  std::map<std::string, Family> families;
  // Metrics whose name is taken by another kind.
  std::map<std::string, Family> hidden;
};

std::vector<double> DurationBounds() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};
}

MetricsRegistry::MetricsRegistry() : impl_(std::make_unique<Impl>()) {}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::GetCounter(const std::string& name, const std::string& help,
                                     const MetricLabels& labels) {
  return impl_->Get<Counter>("counter", name, help, labels,
                             [] { return std::make_unique<Counter>(); });
}

Gauge& MetricsRegistry::GetGauge(const std::string& name, const std::string& help,
                                 const MetricLabels& labels) {
  return impl_->Get<Gauge>("gauge", name, help, labels, [] { return std::make_unique<Gauge>(); });
}

Histogram& MetricsRegistry::GetHistogram(const std::string& name, const std::string& help,
                                         const std::vector<double>& bounds,
                                         const MetricLabels& labels) {
  return impl_->Get<Histogram>("histogram", name, help, labels,
                               [&] { return std::make_unique<Histogram>(bounds); });
}

std::string MetricsRegistry::Render() const {
  const std::lock_guard lock(impl_->mutex);
  std::string out;
  for (const auto& [name, family] : impl_->families) {
    out.append("# HELP ").append(name).append(" ").append(Escape(family.help, false));
    out.append("\n# TYPE ").append(name).append(" ").append(family.type).append("\n");
    for (const auto& [labels, metric] : family.by_labels) RenderMetric(name, labels, metric, out);
  }
  return out;
}

}  // namespace sapphirewheel
