#include "metrics_listener.h"

#include "sapphirewheel/platform/ingress.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {

MetricsListener::MetricsListener(const std::string& address, std::uint16_t port,
                                 DeployedMetrics& metrics, RefusalLog& refusals) {
  if (port == 0) return;
  refusals.AddListener("metrics");
  HttpServer::Settings settings = platform::SmallListener({address, port});
  settings.on_refusal = [&refusals](Refusal refusal) { refusals.Note("metrics", refusal); };
  server_ = std::make_unique<HttpServer>(
      settings, [&metrics](const HttpRequest&, const HttpServer::Respond& respond) {
        respond(HttpReply{200, "text/plain; version=0.0.4", metrics.Render(), {}});
      });
}

void MetricsListener::Start() {
  if (!server_) return;
  if (auto bound = server_->Start(); !bound) {
    Log(Event::kSettingsInvalid, {{"fault", bound.error().message}});
  }
}

void MetricsListener::Stop() {
  if (server_) server_->Stop();
}

}  // namespace sapphirewheel
