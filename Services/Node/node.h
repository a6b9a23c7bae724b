/// State shared by all parts of the node program: the event loop, the state
/// that decisions are based on, and the log and metrics.
#pragma once

#include "ConnectionMemory/connection_memory.h"
#include "EventLog/event_log.h"
#include "EventLoop/event_loop.h"
#include "EventLoop/turn_queue.h"
#include "Fleet/fleet.h"
#include "Forwarding/forwarding.h"
#include "HttpConnection/client_connection.h"
#include "Metrics/metrics.h"
#include "NodeSettings/node_settings.h"
#include "Shutdown/shutdown.h"
#include "StateSpread/configuration_lag.h"
#include "StateSpread/watch_duty.h"
#include "Steering/steering.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Names of the header fields exchanged between callers, nodes and backend
/// servers, and the decoder of the load field. Supplied by the adapter of the
/// platform that the node runs on.
struct wire_names {
  std::string_view RequestId;
  std::string_view TimeLeft;
  std::string_view ObjectKey;
  /// Proves that a backend server made a response.
  std::string_view Signature;
  /// Makes every other backend server refuse the request.
  std::string_view ExpectedTarget;
  std::string_view Load;
  /// The backend server did not run the request.
  std::string_view NotRun;
  /// The backend server is draining; present in all of its responses from then
  /// on.
  std::string_view Leaving;
  /// The caller's secret, which identifies its account.
  std::string_view ApiKey;
  /// Name of the caller's account; set by the node, for backend servers.
  std::string_view Account;
  /// In all responses of the store: its era, a number that rises each time it
  /// comes back from an earlier copy.
  std::string_view StoreEra;
  std::optional<target_load> (*DecodeLoad)(std::string_view);
};

struct node;
class quota_link;

/// The version of the configuration in force, or 0 if there is none yet.
std::int64_t configurationVersion(const node &Node);

/// Applies the settings in force to the state that decisions are based on.
void applySettings(node &Node);

/// Logs that a content was quarantined or released, if \p Change is set.
void logQuarantine(node &Node, const std::optional<quarantine_change> &Change);

/// Aborts the connection, if any, and drops it.
void abortConnection(connection_handle &Connection);

/// How the requests of this node's callers ended since the start.
struct request_counts {
  /// A server responded, with a status under 500.
  std::int64_t Served = 0;
  /// Refused by this node, and not run.
  std::int64_t Refused = 0;
  /// Ended without a response of a server, or with a server's error.
  std::int64_t Failed = 0;
  /// Sent to another instance, each time counted.
  std::int64_t Forwarded = 0;
  bool operator==(const request_counts &) const = default;
};

/// Connections whose buffered requests go on in one iteration of the loop.
inline constexpr std::size_t TurnsPerIteration = 16;

struct node {
  node(node_settings Settings, const wire_names &Wire);

  // The accounts are before the loop, since its retired objects count towards
  // them until they are destroyed.

  /// Responses that callers have not taken yet.
  memory_account ResponseMemory;
  /// Requests of callers and peers that are read or served, without their
  /// bodies.
  memory_account RequestMemory;
  /// What connections to the other servers hold.
  memory_account AuxiliaryMemory;

  event_loop Loop;
  /// For connections that send many requests ahead.
  turn_queue Turns{Loop, TurnsPerIteration};
  node_settings Settings;
  wire_names Wire;
  event_log Log;
  metrics_registry Metrics;
  steering Steering;
  fleet Fleet;
  forwarding Forwarding;
  request_counts Requests;
  /// Requests in flight for this node's callers, and for other instances.
  std::size_t OwnInFlight = 0;
  std::size_t ForwardedInFlight = 0;
  /// Set by the program before it serves anything.
  quota_link *Quotas = nullptr;
  /// Lower bound of the time since the held state was fresh at the store.
  std::function<duration()> StateAge;
  /// Later versions of the configuration that other instances have stated.
  configuration_lag ConfigurationLag;
  /// A full list of every kind of object has been received.
  bool HasFullState = false;
  /// Until this time a node without full and fresh state holds requests instead
  /// of refusing them, or of handling them by old state.
  instant BootstrapDeadline{};
  /// SIGTERM was received: the node finishes the requests in flight and shuts
  /// down.
  bool IsShuttingDown = false;
  /// Set when the shutdown begins.
  shutdown_schedule Shutdown;
  /// Bytes of request bodies buffered for all callers together.
  std::size_t BufferedBodyBytes = 0;

  /// Returns whether the node has enough state to serve callers and is not
  /// shutting down.
  [[nodiscard]] bool isReady() const;
  /// Returns whether the node has just started and expects full and fresh state
  /// shortly.
  [[nodiscard]] bool isBootstrapping() const {
    return Loop.now() < BootstrapDeadline &&
           (!HasFullState || StateAge() > StaleStateAge);
  }
  /// Returns whether the node is shutting down and may not finish another
  /// request in time, with the timeouts now in force.
  [[nodiscard]] bool refusesNewRequests() const {
    return IsShuttingDown &&
           Loop.now() >=
               refusesRequestsFrom(Shutdown, longestTimeout(Steering));
  }
};

} // namespace amaranthhoist
