/// What all parts of the node program share: the loop, the decisions' state,
/// and where they report to.
#pragma once

#include "EventLog/event_log.h"
#include "EventLoop/event_loop.h"
#include "Fleet/fleet.h"
#include "HttpConnection/client_connection.h"
#include "Metrics/metrics.h"
#include "NodeSettings/node_settings.h"
#include "Steering/steering.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Names of the header fields that carry meaning between callers, nodes and
/// backend servers, and the decoder of the load field. The adapter of the
/// place where the node runs supplies them.
struct wire_names {
  std::string_view RequestId;
  std::string_view TimeLeft;
  std::string_view ObjectKey;
  /// Proves that a backend server made an answer.
  std::string_view Signature;
  /// Asks every other backend server to refuse.
  std::string_view ExpectedTarget;
  std::string_view Load;
  /// The backend server did not run the request.
  std::string_view NotRun;
  /// The backend server leaves; in all of its answers then.
  std::string_view Leaving;
  std::optional<target_load> (*DecodeLoad)(std::string_view);
};

/// Something that is destroyed after the present round of events, because its
/// own code may still be on the stack.
class retirable {
public:
  virtual ~retirable() = default;
};

struct node;

/// The version of the configuration in force; 0: none yet.
std::int64_t configurationVersion(const node &Node);

/// Tells that a content was put under quarantine or released, if it was.
void logQuarantine(node &Node, const std::optional<quarantine_change> &Change);

/// Closes a connection, if there is one, and destroys it after the present
/// round of events.
void retireConnection(node &Node,
                      std::unique_ptr<client_connection> &Connection);

struct node {
  node(node_settings Settings, const wire_names &Wire);

  event_loop Loop;
  node_settings Settings;
  wire_names Wire;
  event_log Log;
  metrics_registry Metrics;
  steering Steering;
  fleet Fleet;
  /// Every kind of object was known whole once.
  bool HasLearned = false;
  /// Until then a node that hasn't learned keeps requests rather than refusing
  /// them.
  instant LearnsUntil{};
  /// SIGTERM came: finish what is there and leave.
  bool IsLeaving = false;
  /// From then on a leaving node takes no new requests.
  instant RefusesFrom{};
  /// Bytes of requests' bodies held, all callers together.
  std::size_t HeldBodyBytes = 0;
  std::vector<std::unique_ptr<retirable>> Retired;

  /// Whether it knows enough to serve callers, and isn't leaving.
  [[nodiscard]] bool isReady() const;
  /// Whether it has just started and is about to know what is in force.
  [[nodiscard]] bool isLearning() const {
    return !HasLearned && Loop.now() < LearnsUntil;
  }
  /// Whether it leaves and can't surely end another request in time.
  [[nodiscard]] bool refusesRequests() const {
    return IsLeaving && Loop.now() >= RefusesFrom;
  }
};

} // namespace amaranthhoist
