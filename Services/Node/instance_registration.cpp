#include "instance_registration.h"

#include "codec.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr duration WriteTimeout = std::chrono::milliseconds(1'500);
/// Backoff after a failed write, doubled up to the maximum: hundreds of new
/// instances may find the store unavailable at the same time.
static constexpr duration InitialBackoff = std::chrono::milliseconds(500);
static constexpr duration MaxBackoff = std::chrono::seconds(4);
/// Time until a write appears in the list: a watcher's delay and two polls.
static constexpr duration WriteVisibilityDelay = std::chrono::seconds(5);

instance_registration::instance_registration(node &Node,
                                             const replicated_state &State)
    : Node(Node), State(State), Writer(Node, Node.Settings.Store),
      Backoff(InitialBackoff) {}

const std::string *instance_registration::listedText() const {
  const auto &Known =
      State.cache().Kinds[static_cast<std::size_t>(object_kind::Instance)];
  const auto Entry = Known.Entries.find(Node.Settings.Instance);
  const bool IsListed =
      Entry != Known.Entries.end() && !Entry->second.IsDeleted;
  return IsListed ? &Entry->second.Text : nullptr;
}

void instance_registration::checkEra() {
  const std::uint64_t CacheEra =
      State.cache().Kinds[static_cast<std::size_t>(object_kind::Instance)].Era;
  if (CacheEra == Era)
    return;
  Era = CacheEra;
  ExistsInStore = false;
  NextWriteAt = {};
  Backoff = InitialBackoff;
}

void instance_registration::maintain() {
  checkEra();
  if (Node.IsShuttingDown || Writer.isBusy() || Node.Loop.now() < NextWriteAt)
    return;
  const std::string *Listed = listedText();
  if (Listed) {
    const auto Member = platform::decodeMember(*Listed);
    if (Member && *Member == Node.Fleet.Own)
      return;
  }
  write(!Listed && !ExistsInStore);
}

void instance_registration::write(bool IsAbsent) {
  const std::string Path =
      IsAbsent
          ? platform::encodeKindPath(object_kind::Instance)
          : platform::encodeObjectPath(object_kind::Instance,
                                       Node.Settings.Instance, std::nullopt);
  Writer.call(IsAbsent ? "POST" : "PUT", Path,
              platform::encodeMember(Node.Fleet.Own), WriteTimeout,
              [this, IsAbsent](const store_response &Response) {
                handleResponse(Response, IsAbsent);
              });
}

void instance_registration::handleResponse(const store_response &Response,
                                           bool WasCreation) {
  // A creation that finds an existing object may be a retry of one whose
  // response was lost, or the list may be outdated.
  ExistsInStore = WasCreation ? Response.Status == 409
                              : Response.Status != 404 && ExistsInStore;
  if (Response.Status / 100 == 2) {
    Backoff = InitialBackoff;
    NextWriteAt = Node.Loop.now() + WriteVisibilityDelay;
    return;
  }
  Node.Log.write(log_kind::ClusterState, "registration_failed",
                 {{"status", static_cast<std::int64_t>(Response.Status)}},
                 Node.Loop.now());
  NextWriteAt = Node.Loop.now() + Backoff;
  Backoff = std::min(Backoff * 2, MaxBackoff);
}

} // namespace amaranthhoist
