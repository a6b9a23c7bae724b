/// Processes one request of a caller: sends it to a backend server, forwards
/// the response, and applies Steering's decision when an attempt fails.
#pragma once

#include "ForwardedRequest/forwarded_request.h"
#include "HttpConnection/client_connection.h"
#include "node.h"
#include "quota_link.h"
#include "target_pool.h"

#include <absl/container/inlined_vector.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// A request as read from the caller.
struct caller_request {
  std::string Id;
  std::string Method;
  /// Path and query as received.
  std::string Target;
  std::string Host;
  std::string ObjectKey;
  /// The caller's secret; empty unless exactly one was sent. Never forwarded
  /// and never logged.
  std::string ApiKey;
  /// The forwarded header fields, each with its line end.
  std::string Fields;
  std::string Body;
  /// Fingerprint of the request content; the same for each attempt of a caller.
  std::uint64_t Content = 0;
  /// Whether a body was sent, even an empty one.
  bool HasBody = false;
  /// Set if another instance forwards the request.
  std::optional<forwarded_request> Forwarded;
  std::optional<duration> TimeLeft;
  instant ArrivedAt{};

  /// The request target without its query.
  [[nodiscard]] std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

/// Memory of \p Request without its body, which is counted by itself, and of
/// what serves it, in bytes.
std::size_t memoryOf(const caller_request &Request);

/// Interface to the caller's connection.
class exchange_caller {
public:
  virtual ~exchange_caller() = default;
  /// Sends bytes of the response.
  virtual void send(std::string_view Bytes) = 0;
  /// Bytes of the connection written but not yet accepted by the caller, and
  /// those of this response that wait for the responses before it.
  virtual std::size_t unsentBytes() const = 0;
  /// Decides whether the connection accepts another request after this one;
  /// called once, when the response head is built.
  virtual bool decideKeepAlive() = 0;
  /// Returns whether the caller supports chunked transfer encoding.
  virtual bool supportsChunked() const = 0;
  /// Called when the response is complete.
  virtual void onResponseComplete() = 0;
  /// Aborts a response that can't be completed: resets the connection so that
  /// the caller detects the truncation.
  virtual void abortResponse() = 0;
};

/// Name of an attempt's result in logs.
std::string_view toString(attempt_result Result);

class exchange : public retirable, private call_owner, private quota_waiter {
public:
  exchange(node &Node, target_pool &Pool, exchange_caller &Caller,
           caller_request Request);
  ~exchange() override;

  /// Serves the request and notifies the caller interface when it finishes,
  /// possibly before this call returns.
  void start();
  /// Called when the caller disconnects. Returns true when the exchange is
  /// finished; otherwise its work continues at a server, and the owner must
  /// call detach().
  bool onCallerDisconnected();
  /// Lets the exchange continue without a caller. \p OnDone is called when
  /// its work has finished.
  void detach(std::function<void()> OnDone);
  /// Called when the caller has accepted all bytes written so far.
  void onCallerDrained();
  /// Logs a final line for a request that is aborted because the process exits.
  void logAborted();
  /// Memory of the request without its body, in bytes.
  [[nodiscard]] std::size_t heldBytes() const { return Memory.bytes(); }

private:
  bool onHead(const message_head &Head) override;
  void onBody(std::string &Body) override;
  void onComplete() override;
  void onFailure(const call_failure &Failure) override;
  void onQuotaVerdict(quota_verdict Verdict) override;

  /// Finds the request's route and sends it.
  void planAndSend();
  void attemptNext();
  /// Refuses the request if its account is no longer valid. Returns whether the
  /// request may be sent.
  bool confirmCaller();
  /// Whether keys must be refused because the configuration may be outdated.
  [[nodiscard]] bool keysAreUnconfirmed() const;
  /// Returns whether the account's limit permits the request now. Otherwise it
  /// waits for the verdict, or is refused.
  bool acquireQuota();
  /// Like acquireQuota() for a retry, which doesn't wait and isn't refused.
  bool acquireRetryQuota();
  /// The attempt in flight has not run, so another may use its token.
  void keepToken() { HoldsToken = UsesToken; }
  void releaseToken();
  void startAttempt(target &Target);
  /// Finds the instance that may serve the request instead of this one; nullptr
  /// if there is none.
  const fleet_member *findPeer() const;
  /// The instance that the request goes to rather than to a server, because
  /// this one doesn't reach the best server for it; nullptr if it does, or
  /// there is none.
  const fleet_member *preferredPeer();
  /// Whether a refusal here may be due to servers that other instances reach.
  bool isForWantOfPaths(refusal Reason) const;
  /// Forwards the request if other instances may reach servers for it, else
  /// refuses it.
  void forwardOrRefuse(refusal Reason);
  /// Forwards the request after a failed attempt. Returns false if it may not
  /// be sent again, or there is no instance for it.
  bool retryAtPeer();
  void startForwarding(const fleet_member &Peer);
  [[nodiscard]] int attemptsForPeer() const;
  std::string encodeForwarded() const;
  bool onPeerHead(const message_head &Head);
  void onPeerComplete();
  void onPeerFailure(const call_failure &Failure);
  void finishForwarding(forwarding_result Result);
  std::string encodeRequest(const target &Target) const;
  void finishAttempt(attempt_result Result);
  void updateReachability(attempt_result Result);
  void dropConnection();
  void onConnectTimeout();
  void onDeadline();
  /// Retries after an attempt that failed or was refused, or sends the final
  /// response.
  void retryOrFinish();

  void storeResponseHead(const message_head &Head);
  /// Records the server's load report; none if it states none or a malformed
  /// one.
  std::optional<target_load> readLoad(const message_head &Head);
  /// Applies what the response head reports about the server itself.
  void applyServerState(const message_head &Head);
  bool isHeldBodyTooLong() const;
  /// Stops reading from the server until the caller has taken what was sent.
  /// \p Body is the connection's empty buffer.
  void pauseReading(std::string &Body);
  void beginStreaming();
  void finishResponse();
  void refuse(refusal Reason);
  /// Responds to a request that may have run and whose result is not known.
  void giveUp(int Status, std::string_view Why);
  void sendOwnResponse(int Status, std::optional<duration> RetryAfter,
                       std::string_view Why);
  void finish();
  /// Counts the request if a caller of this node made it.
  void count(std::int64_t &Counter) const;
  /// The account in metrics; for requests without one the host, if a route has
  /// it.
  std::string customerName() const;
  /// Fields of a request's final log line, with room for those of a refusal.
  using log_fields = absl::InlinedVector<log_entry, 20>;
  /// \p AttemptsText is the result of describeAttempts() and must outlive the
  /// fields.
  log_fields summaryFields(std::string_view Why, int WithStatus,
                           std::string_view AttemptsText) const;
  void log(log_kind Kind, std::string_view Event, std::string_view Why,
           int Status);
  void logRefusal(std::string_view Why, int Status, duration RetryAfter);
  /// Logs a refusal that concerns the caller's account: which one, or what
  /// identifies its unknown key, its limit and what of it is held here.
  void logAccountRefusal(refusal Reason, int Status, duration RetryAfter);
  /// Describes all attempts: server, send time, result, duration. Part of the
  /// final log line of a request, because the lines for single attempts are
  /// sampled.
  std::string describeAttempts() const;

  node &Node;
  target_pool &Pool;
  exchange_caller *Caller;
  caller_request Request;
  /// Name of the content in the log.
  const std::string ContentName;
  memory_share Memory;
  request_plan Plan;
  bool HasPlan = false;
  /// Whether the account has a limit.
  bool UsesToken = false;
  /// A token was acquired, and no attempt that may have run has used it.
  bool HoldsToken = false;
  bool WaitsForToken = false;
  timer_id DeadlineTimer = 0;
  timer_id ConnectTimer = 0;
  timer_id BootstrapTimer = 0;
  std::function<void()> OnDone;

  struct attempt_record {
    std::string Server;
    instant StartedAt{};
    duration Elapsed{};
    /// Result name as in the log; empty while the attempt is in flight.
    std::string_view Outcome;
  };
  absl::InlinedVector<attempt_record, 2> Attempts;

  // The attempt in flight.
  target *Target = nullptr;
  connection_handle Connection;
  instant AttemptStartedAt{};
  bool ServerDidNotRun = false;

  // The forwarding in flight, and those before it.
  std::string Peer;
  std::vector<std::string> TriedPeers;
  /// Attempts that the peer states with a response of its own; empty for a
  /// server's response.
  std::optional<int> PeerAttempts;
  /// The peer's refusal concerns it alone.
  bool PeerRefusedAlone = false;
  /// The peer serves as many requests of other instances as it may.
  bool PeerIsBusy = false;

  // The response.
  /// This node refused a request that another one may serve, and whether for
  /// the number of such requests.
  bool RefusedHereAlone = false;
  bool IsBusyHere = false;
  int Status = 0;
  std::string ResponseFields;
  std::string BufferedBody;
  /// Body bytes received in the attempt.
  std::size_t ResponseBytes = 0;
  bool HasResponseHead = false;
  bool IsStreaming = false;
  bool IsChunked = false;
  bool IsReadingPaused = false;
};

} // namespace amaranthhoist
