#pragma once

#include <functional>
#include <string>
#include <vector>

#include "node.h"
#include "sapphirewheel/transport/http_server.h"

namespace sapphirewheel {

// Renders the response to GET /metrics.
using MetricsText = std::function<std::string()>;

// Called with each request of a caller before the node handles it. May change the request's trace
// context, and returns the callback to use for the response.
using RequestObserver =
    std::function<AnswerCallback(const Node&, ServiceRequest&, AnswerCallback answer)>;

// Serves callers and operators over HTTP. Runs on the core thread.
class HttpApi {
 public:
  struct Settings {
    Millis default_deadline{30000};
    Millis max_deadline{300000};
    std::string operator_token;
  };

  HttpApi(Settings settings, MetricsText metrics, RequestObserver observe);

  void Handle(Node& node, const HttpRequest& request, const HttpServer::Respond& respond) const;

 private:
  using Segments = std::vector<std::string>;

  void HandleService(Node& node, const Segments& path, const HttpRequest& request,
                     const HttpServer::Respond& respond) const;
  void HandleJob(Node& node, const Segments& path, const HttpRequest& request,
                 const HttpServer::Respond& respond) const;
  void HandleOperator(Node& node, const Segments& path, const HttpRequest& request,
                      const HttpServer::Respond& respond) const;
  void HandlePlan(Node& node, const Segments& path, const HttpRequest& request,
                  const HttpServer::Respond& respond) const;
  void HandleHealth(Node& node, const HttpRequest& request,
                    const HttpServer::Respond& respond) const;
  [[nodiscard]] Result<ServiceRequest> ReadServiceRequest(const std::string& service,
                                                          const HttpRequest& request) const;
  [[nodiscard]] Result<void> CheckOperator(const HttpRequest& request) const;

  Settings settings_;
  MetricsText metrics_;
  RequestObserver observe_;
};

}  // namespace sapphirewheel
