#include "client_settings.h"

#include <utility>

namespace sapphirewheel {
namespace {

// Idle connections to backend servers and the store are kept this long for reuse, because opening a
// new one is expensive.
constexpr Millis kIdleTimeout{120'000};
constexpr Millis kConnectTimeout{600};
// Idle connections use at most this part of the descriptors. The rest is for calls in progress,
// callers and new backend servers; moved VMs leave connections to their earlier address.
constexpr std::size_t kIdleDescriptorPart = 2;
// Connections to backend servers, idle or not, leave this part of the descriptors to the store, to
// callers and to what the process has open by itself.
constexpr std::size_t kOtherDescriptorPart = 4;
// Backend servers that a VM of full capability contacts in the first round of a takeover. On a
// quarter of a core the handling of a poll and its reply took about 1.2 ms, so the first round of
// such a VM takes about 120 ms, less than the 250 ms after which a poll is repeated.
constexpr std::size_t kFirstRound = 200;

HttpClient::Settings CommonSettings(std::function<MonotonicTime()> now) {
  HttpClient::Settings settings;
  settings.idle_timeout = kIdleTimeout;
  settings.connect_timeout = kConnectTimeout;
  settings.reset_on_close = true;
  settings.now = std::move(now);
  return settings;
}

std::size_t MaxBackendConnections(const platform::DeploymentSettings& deployment) {
  return deployment.max_descriptors - deployment.max_descriptors / kOtherDescriptorPart;
}

}  // namespace

HttpClient::Settings BackendClientSettings(const platform::DeploymentSettings& deployment,
                                           std::function<MonotonicTime()> now) {
  HttpClient::Settings settings = CommonSettings(std::move(now));
  settings.max_idle = deployment.max_descriptors / kIdleDescriptorPart;
  settings.max_open = MaxBackendConnections(deployment);
  return settings;
}

HttpClient::Settings StoreClientSettings(std::function<MonotonicTime()> now) {
  return CommonSettings(std::move(now));
}

FirstContact::Settings FirstContactSettings(const platform::DeploymentSettings& deployment,
                                            int capability) {
  constexpr std::size_t kPercent = 100;
  return {kFirstRound * static_cast<std::size_t>(capability) / kPercent,
          MaxBackendConnections(deployment)};
}

}  // namespace sapphirewheel
