/// A stand-in for a backend server. It works for a configured time, echoes the
/// request id, signs its responses, counts the requests that it executed, and
/// misbehaves on demand.
#pragma once

#include "stand_in_server.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthhoist {

class target_stand_in : public stand_in_server {
public:
  target_stand_in(event_loop &Loop, std::string Id)
      : stand_in_server(Loop), Id(std::move(Id)) {}

  enum class behavior : std::uint8_t {
    Normal,
    /// Responds 503 and states that the request was not executed.
    Sheds,
    /// Executes the request and resets the connection instead of responding.
    LosesResponses,
    /// Closes the connection after each response, without having announced it.
    ClosesAfterResponse,
    /// Closes the connection in the middle of the body.
    TruncatesBody,
    /// Sends bytes that are not an HTTP response.
    SendsGarbage,
    /// Sends bytes without end instead of a response: in a header field, in
    /// interim responses, in the body of an error, of a rejection, of a
    /// response to another request, in a chunk's extension, or in a trailer.
    EndlessHead,
    EndlessInterimResponses,
    EndlessError,
    EndlessRejection,
    EndlessOtherResponse,
    EndlessChunkExtension,
    EndlessTrailer,
    /// Sends a second, unsolicited response after each response.
    RespondsTwice,
    /// Responds without the signature.
    Unsigned,
    /// Never responds.
    Silent,
  };
  behavior Behavior = behavior::Normal;
  /// Execution time of a request.
  duration Work = std::chrono::milliseconds(20);
  /// Status of responses to executed requests.
  int Status = 200;
  /// Replaces the status line of such responses; empty: nothing is replaced.
  std::string StatusLine;
  /// Bytes that are added to the body of a response.
  std::size_t PaddingBytes = 0;
  /// Load reported in responses: running, waiting, slots.
  std::string Load = "1,0,4";
  const std::string Id;
  /// Value of Retry-After, in seconds, in responses that shed a request; empty:
  /// no such field.
  std::string RetryAfterSeconds;
  /// Further header fields of executed requests' responses, each with its line
  /// end.
  std::string Fields;
  /// Announces in all responses that the server is draining.
  bool AnnouncesDraining = false;
  /// Requests received, executed or not.
  int Arrivals = 0;
  /// Requests that were shed with a Retry-After field.
  int BackoffRequests = 0;
  /// Requests for this path crash the server while it executes them; empty:
  /// none.
  std::string CrashingPath;
  /// Whether such a request crashed the server.
  bool HasCrashed = false;
  /// Called after such a crash.
  std::function<void()> OnCrash;
  /// Number of executions by request id.
  std::map<std::string, int> Runs;
  /// Requests whose connection was closed during their execution.
  std::vector<std::string> Abandoned;
  /// Executions by the account that the node named; "" if it named none.
  std::map<std::string, int> RunsByAccount;
  /// Values of the fields `Forwarded-Account` in all requests: any such field
  /// is a caller's own.
  std::vector<std::string> CallersAccountFields;
  /// Requests that carried an API key: a secret that was passed on.
  int KeysReceived = 0;
  /// Remaining deadline of the latest request, in milliseconds; -1: none.
  std::int64_t LastDeadlineRemainingMs = -1;

  /// Returns the response body for \p RequestId.
  static std::string bodyFor(std::string_view RequestId);

private:
  void onRequest(stand_in_connection &Connection) override;
  void onConnectionEnd(stand_in_connection &Connection) override;
  void finish(std::uint64_t Number, const std::string &RequestId);
  void sendEndless(std::uint64_t Number, const std::string &RequestId);
  /// Repeats \p Piece until the connection is closed or \p Bytes are sent.
  void repeat(std::uint64_t Number, const std::string &Piece,
              std::size_t Bytes);
  void crash();

  /// Requests in flight, by connection number.
  std::map<std::uint64_t, std::string> InFlight;
};

} // namespace amaranthhoist
