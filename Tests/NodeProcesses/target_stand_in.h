/// A backend server as a small stand-in: works for a while, echoes the request
/// id, signs its answers, counts what it ran, and misbehaves on demand.
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
    Sound,
    /// Says that it did not run the request.
    Sheds,
    /// Runs it and resets the connection instead of answering.
    LosesAnswers,
    /// Breaks off in the middle of the body.
    BreaksOff,
    /// Sends bytes that are no answer.
    Garbles,
    /// Sends another answer after each.
    AnswersTwice,
    /// Answers without its signature.
    Unsigned,
    /// Never answers.
    Silent,
  };
  behavior Behavior = behavior::Sound;
  /// Time of the work.
  duration Work = std::chrono::milliseconds(20);
  /// What its answers say of its load: running, waiting, slots.
  std::string Load = "1,0,4";
  const std::string Id;
  /// Asks for this many seconds of rest with each request that it sheds; empty:
  /// it doesn't.
  std::string RestSeconds;
  /// Says in all its answers that it leaves.
  bool SaysItLeaves = false;
  /// Requests that came, run or not.
  int Arrivals = 0;
  /// Those that were answered with a time of rest.
  int RestsAskedFor = 0;
  /// Requests for this path end the server's process while it runs them; empty:
  /// none.
  std::string DeadlyPath;
  /// Whether its process has ended so.
  bool HasCrashed = false;
  /// Called when it has.
  std::function<void()> OnCrash;
  /// How often each request was run, by its id.
  std::map<std::string, int> Runs;
  /// Requests whose connection ended while they were worked on.
  std::vector<std::string> Abandoned;
  /// Longest time left that a request came with, in milliseconds; -1: none.
  std::int64_t LastTimeLeft = -1;

  /// The body of the answer to \p RequestId.
  static std::string bodyFor(std::string_view RequestId);

private:
  void onRequest(stand_in_connection &Connection) override;
  void onConnectionEnd(stand_in_connection &Connection) override;
  void finish(std::uint64_t Number, const std::string &RequestId);
  void crash();

  /// Requests under way, by connection.
  std::map<std::uint64_t, std::string> UnderWay;
};

} // namespace amaranthhoist
