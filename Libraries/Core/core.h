/// Vocabulary shared by all libraries: logical time, outcomes, typed errors,
/// stable hashing. Nothing here reads a clock or touches a socket.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhoist {

/// Clock whose time is always handed in by the caller. It has no now(), so
/// decision logic can't read the time by accident.
struct logical_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<logical_clock, duration>;
  // Named by the standard's requirements on clocks.
  static constexpr bool is_steady = true; // NOLINT
};

/// A moment on the monotonic clock of one process, in microseconds.
using instant = logical_clock::time_point;
/// A length of time in microseconds.
using duration = logical_clock::duration;

/// What a caller is told of a request.
enum class outcome : std::uint8_t {
  /// The backend server's whole answer follows.
  Answered,
  /// Turned away early; promises nothing about other copies of the key.
  Refused,
  /// Proved: this key was not run and never will be.
  NotRun,
  /// Non-idempotent work that may or may not have run.
  Unknown,
};

/// Whether work may be run twice without harm.
enum class work_class : std::uint8_t { Idempotent, NonIdempotent };

/// The wire name of an outcome, as in the outcome header.
std::string_view toString(outcome Value);

/// Kinds of error a caller of a library may want to tell apart.
enum class error_code : std::uint8_t {
  Invalid,
  NotFound,
  Conflict,
  Unavailable,
  Uncertain,
  TooLarge,
};

/// An error with its kind and a sentence for a person.
struct error {
  error_code Code;
  std::string Message;
};

/// A value or an error. Outcomes are values; nothing is thrown for them.
template <typename T> using result = tl::expected<T, error>;

/// Makes the error side of a result.
inline tl::unexpected<error> fail(error_code Code, std::string Message) {
  return tl::unexpected<error>(error{Code, std::move(Message)});
}

/// Hash that is the same in every process and version of the program, so that
/// all instances rank alike. \p Seed separates independent uses.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// Orders members, named by their hashes, for something that has the hash
/// \p Hash: all instances get the same order without talking (rendezvous
/// hashing). The highest comes first.
std::uint64_t rendezvousRank(std::uint64_t Member, std::uint64_t Hash);

} // namespace amaranthhoist

/// Evaluates to the value of a result, or returns its error from the caller.
#define TRY(Expression)                                                        \
  __extension__({                                                              \
    auto TryResult = (Expression);                                             \
    if (!TryResult)                                                            \
      return tl::unexpected(std::move(TryResult.error()));                     \
    std::move(*TryResult);                                                     \
  })
