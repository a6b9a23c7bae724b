/// One request of a caller on its way through the node: sends it to a backend
/// server, passes the answer back, and carries out what Steering decides when
/// an attempt fails.
#pragma once

#include "HttpConnection/client_connection.h"
#include "node.h"
#include "target_pool.h"

#include <absl/container/inlined_vector.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// A request as it was read from the caller.
struct caller_request {
  std::string Id;
  std::string Method;
  /// Path and query as they were sent.
  std::string Target;
  std::string Host;
  std::string ObjectKey;
  /// The fields that are passed on, each with its line end.
  std::string Fields;
  std::string Body;
  /// Names what it asks for: the same for each attempt of a caller.
  std::uint64_t Content = 0;
  /// Whether a body was sent, be it empty.
  bool HasBody = false;
  std::optional<duration> TimeLeft;
  instant Arrived{};

  /// Without its query.
  [[nodiscard]] std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

/// The caller's connection, as an exchange uses it.
class exchange_caller {
public:
  virtual ~exchange_caller() = default;
  /// Sends bytes of the answer.
  virtual void send(std::string_view Bytes) = 0;
  /// Bytes that the caller hasn't taken yet.
  virtual std::size_t unsent() const = 0;
  /// Decides whether the connection takes another request after this one; asked
  /// once, for the answer's head.
  virtual bool keepsAlive() = 0;
  /// Whether the caller understands chunks.
  virtual bool takesChunks() const = 0;
  /// The answer is whole.
  virtual void onAnswered() = 0;
  /// The answer can't be completed: cut the connection so that it shows.
  virtual void cutShort() = 0;
};

/// How an attempt ended, in logs.
std::string_view toString(attempt_result Result);

class exchange : public retirable, private call_owner {
public:
  exchange(node &Node, target_pool &Pool, exchange_caller &Caller,
           caller_request Request);
  ~exchange() override;

  /// Serves the request; calls back when it is over. May be over at once.
  void begin();
  /// The caller has gone. True when the exchange is over; otherwise its work
  /// goes on at a server, and goOnAlone() follows.
  bool callerLeft();
  /// \p OnOver is called when the work that goes on has ended.
  void goOnAlone(std::function<void()> OnOver);
  /// The caller has taken what waited for it.
  void callerDrained();
  /// The process ends before the request does; leaves a last line on it.
  void noteCutOff();

private:
  bool onHead(const message_head &Head) override;
  void onBody(std::string &Body) override;
  void onComplete() override;
  void onFailure(const call_failure &Failure) override;

  /// Finds its route and sends it.
  void place();
  void next();
  void attempt(target &Target);
  std::string encodeRequest(const target &Target) const;
  void endAttempt(attempt_result Result);
  void dropConnection();
  void onConnectTimeout();
  void onDeadline();
  /// After an attempt that failed or was refused: again, or the final answer.
  void repeatOrEnd();

  void takeAnswerHead(const message_head &Head);
  /// What the server says of itself, beside the answer.
  void takeServerState(const message_head &Head);
  void beginStreaming();
  void deliver();
  void refuse(refusal Reason);
  void answerOwn(int Status, std::optional<duration> RetryAfter,
                 std::string_view Why);
  void over();
  /// Fields of a request's last line; room for those of a refusal.
  using log_fields = absl::InlinedVector<log_entry, 20>;
  /// \p Made: describeAttempts(), which outlives the fields.
  log_fields finalFields(std::string_view Why, int WithStatus,
                         std::string_view Made) const;
  void log(log_kind Kind, std::string_view Event, std::string_view Why,
           int Status);
  void logRefusal(std::string_view Why, int Status, duration RetryAfter);
  /// All attempts as text: server, when it was sent, how it ended, after how
  /// long. Stands in the final line of a request, whose own lines for each
  /// attempt are sampled.
  std::string describeAttempts() const;

  node &Node;
  target_pool &Pool;
  exchange_caller *Caller;
  caller_request Request;
  /// As in the log.
  const std::string ContentName;
  request_plan Plan;
  bool HasPlan = false;
  timer_id DeadlineTimer = 0;
  timer_id ConnectTimer = 0;
  timer_id LearnTimer = 0;
  std::function<void()> OnOver;

  struct attempt_record {
    std::string Server;
    instant Began{};
    duration Took{};
    /// As in the log; empty while it is under way.
    std::string_view Ended;
  };
  absl::InlinedVector<attempt_record, 2> Attempts;

  // The attempt under way.
  target *Target = nullptr;
  std::unique_ptr<client_connection> Connection;
  instant AttemptBegan{};
  bool ServerDidNotRun = false;

  // The answer.
  int Status = 0;
  std::string AnswerFields;
  std::string Held;
  bool HasAnswerHead = false;
  bool IsStreaming = false;
  bool IsChunked = false;
  bool IsReadingPaused = false;
};

} // namespace amaranthhoist
