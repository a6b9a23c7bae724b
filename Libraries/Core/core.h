/// Types shared by all libraries: logical time, outcomes, typed errors and
/// stable hashing. Nothing in this header reads a clock or opens a socket.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhoist {

/// A clock whose time is always passed in by the caller. It has no now(), so
/// that decision logic cannot read the time by accident.
struct logical_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<logical_clock, duration>;
  // The standard's Clock requirements prescribe this name.
  static constexpr bool is_steady = true; // NOLINT
};

/// A time point on the monotonic clock of one process, in microseconds.
using instant = logical_clock::time_point;
/// A time span in microseconds.
using duration = logical_clock::duration;

/// The result of a request as reported to the caller.
enum class outcome : std::uint8_t {
  /// The backend server's complete response follows.
  Answered,
  /// Refused early. Says nothing about other requests with the same
  /// idempotency key.
  Refused,
  /// Proven: no request with this idempotency key ran or will ever run.
  NotRun,
  /// A non-idempotent request that may or may not have run.
  Unknown,
};

/// Whether a request may safely run more than once.
enum class work_class : std::uint8_t { Idempotent, NonIdempotent };

/// Returns the wire name of an outcome, as used in the outcome header.
std::string_view toString(outcome Value);

/// Kinds of error that callers of a library handle differently.
enum class error_code : std::uint8_t {
  Invalid,
  NotFound,
  Conflict,
  Unavailable,
  Uncertain,
  TooLarge,
};

/// An error with its kind and a human-readable message.
struct error {
  error_code Code;
  std::string Message;
};

/// A value or an error. Errors are returned as values, never thrown.
template <typename T> using result = tl::expected<T, error>;

/// Constructs the error alternative of a result.
inline tl::unexpected<error> fail(error_code Code, std::string Message) {
  return tl::unexpected<error>(error{Code, std::move(Message)});
}

/// Returns a hash that is identical in every process and every version of the
/// program, so that all instances compute the same rankings. \p Seed separates
/// independent uses.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// Returns the rendezvous hashing score of a member for an object. \p Member
/// and \p Hash are the hashes of the member and the object. Members are ordered
/// by descending score; all instances compute the same order without
/// communication.
std::uint64_t rendezvousScore(std::uint64_t Member, std::uint64_t Hash);

} // namespace amaranthhoist

/// Evaluates to the value of a result, or returns its error from the enclosing
/// function.
#define TRY(Expression)                                                        \
  __extension__({                                                              \
    auto TryResult = (Expression);                                             \
    if (!TryResult)                                                            \
      return tl::unexpected(std::move(TryResult.error()));                     \
    std::move(*TryResult);                                                     \
  })
