#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "deployed_metrics.h"
#include "refusal_log.h"
#include "sapphirewheel/transport/http_server.h"

namespace sapphirewheel {

// Serves the metrics of a daemon on the users' platform.
class MetricsListener {
 public:
  // Without a listener if the port is 0.
  MetricsListener(const std::string& address, std::uint16_t port, DeployedMetrics& metrics,
                  RefusalLog& refusals);

  // Serving callers does not depend on the metrics, so a port that cannot be bound is only logged.
  void Start();
  void Stop();

 private:
  std::unique_ptr<HttpServer> server_;
};

}  // namespace sapphirewheel
