/// Holds requests until their account's limit permits them: drives the quota
/// library with the messages between nodes.
#pragma once

#include "PeerMessages/peer_messages.h"
#include "Quota/coordinator_map.h"
#include "Quota/quota.h"
#include "node.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace amaranthhoist {

/// A request that waits for a token.
class quota_waiter {
public:
  virtual ~quota_waiter() = default;
  /// Called once, unless the waiter is cancelled. A token was spent for it if
  /// the verdict is Granted.
  virtual void onQuotaVerdict(quota_verdict Verdict) = 0;
};

/// What an account has used here, for logs and `status`.
struct quota_view {
  std::string Account;
  quota_limit Limit;
  /// Requests per second at this instance.
  double Demand = 0;
  std::uint32_t Tokens = 0;
  std::size_t Pools = 0;
};

class quota_link {
public:
  /// Sends a datagram to the named instance.
  using send_function =
      std::function<void(const std::string &To, peer_datagram Datagram)>;

  quota_link(node &Node, send_function Send);
  ~quota_link();
  quota_link(const quota_link &) = delete;
  quota_link &operator=(const quota_link &) = delete;

  /// Applies the bounds of the settings, which may have been reloaded.
  void applyBounds();
  /// Whether the account has a limit at all.
  [[nodiscard]] bool isLimited(const std::string &Account) const;
  /// Spends a token of the account. If the verdict is Pending, \p Waiter is
  /// called later.
  quota_verdict acquire(const std::string &Account, quota_waiter &Waiter);
  /// Spends a token if this instance has one.
  bool acquireHeld(const std::string &Account);
  /// Returns the token of a request that no server has run.
  void giveBack(const std::string &Account);
  void cancel(quota_waiter &Waiter);
  /// Time until an account without tokens may get one.
  [[nodiscard]] duration retryAfter(const std::string &Account) const;
  [[nodiscard]] quota_view view(const std::string &Account) const;
  /// The accounts with the highest demand here, at most \p Most.
  [[nodiscard]] std::vector<quota_view> busiest(std::size_t Most) const;
  /// Number of pools that this instance coordinates and that are in use.
  [[nodiscard]] std::size_t poolsInUse() const {
    return Coordinator.Pools.size();
  }

  /// Called with the list of instances.
  void onInstances(std::span<const coordinator_candidate> Instances);
  void handleDatagram(const peer_datagram &Datagram);

private:
  struct waiting_request {
    quota_waiter *Waiter = nullptr;
    instant Since{};
  };
  using waiter_queue = std::deque<waiting_request>;

  [[nodiscard]] quota_limit limitOf(account_id Account) const;
  [[nodiscard]] account_pools poolsOf(account_id Account, instant Now) const;
  void countRequest(account_id Account, instant Now);
  [[nodiscard]] bool mayGrant() const;
  quota_response coordinate(std::uint64_t RequestHolder,
                            const quota_request &Request, instant Now);
  void plan(account_id Account, instant Now);
  void serveWaiters(account_id Account, instant Now);
  void flush();
  void tick();

  node &Node;
  send_function Send;
  quota_coordinator Coordinator;
  coordinator_map Map;
  /// Names of the coordinators that were asked.
  absl::flat_hash_map<coordinator_id, std::string> Names;
  quota_holder Holder;
  /// The configuration and the list of instances that each account's
  /// coordinators were determined for.
  struct view_version {
    std::int64_t Configuration = -1;
    std::uint64_t Instances = 0;
    bool operator==(const view_version &) const = default;
  };
  absl::flat_hash_map<account_id, view_version> AppliedVersions;
  std::uint64_t InstancesVersion = 0;
  std::uint64_t HolderNumber = 0;
  /// References to the queues are held while waiters are called, which may add
  /// others.
  std::map<account_id, waiter_queue> Waiters;
  /// Requests that are sent together at the end of the loop's iteration.
  std::map<std::string, std::vector<quota_request>> Outgoing;
  instant NextEviction{};
};

} // namespace amaranthhoist
