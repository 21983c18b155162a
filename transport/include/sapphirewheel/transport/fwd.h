#pragma once

#include <cstdint>

// Forward declarations of this package's types.

namespace sapphirewheel {

enum class ConnectionReuse;
class Counter;
enum class Delivery;
struct Endpoint;
enum class Event : std::uint16_t;
struct EventInfo;
enum class EventLevel;
class Gauge;
struct HeaderNameLess;
class Histogram;
struct HttpCall;
class HttpClient;
enum class HttpOutcome;
struct HttpReply;
struct HttpRequest;
struct HttpResult;
class HttpServer;
class MetricsRegistry;
class PeerClient;
struct PeerFailure;
struct PeerHandlers;
class PeerServer;
class PlatformClient;
class Telemetry;
class TraceContext;
class TraceSpan;
class WorkerClient;

template <typename T>
class BoundedRing;

}  // namespace sapphirewheel
