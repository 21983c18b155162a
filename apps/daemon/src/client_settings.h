#pragma once

#include <functional>

#include "sapphirewheel/coordination/first_contact.h"
#include "sapphirewheel/platform/deployment_settings.h"
#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/http_client.h"

namespace sapphirewheel {

// Settings of the client of backend servers and of the other services of the platform.
[[nodiscard]] HttpClient::Settings BackendClientSettings(
    const platform::DeploymentSettings& deployment, std::function<MonotonicTime()> now);

// Settings of the client of the table service, which has a client of its own: so the renewal of the
// ownership waits neither for connections nor on a thread behind calls to thousands of backend
// servers.
[[nodiscard]] HttpClient::Settings StoreClientSettings(std::function<MonotonicTime()> now);

// How an owner on a VM of this capability, in percent, contacts its backend servers.
[[nodiscard]] FirstContact::Settings FirstContactSettings(
    const platform::DeploymentSettings& deployment, int capability);

}  // namespace sapphirewheel
