/// Structured, non-blocking log of a node: JSON lines on a file descriptor.
/// Lines of each kind are limited per second, so that a flood of one kind can
/// neither hide another nor take processor time from requests; suppressed lines
/// are counted and their number is logged. Failures and changes of cluster
/// state have far higher limits than successes. Existing logging libraries
/// block on a full pipe or need a thread, hence this implementation.
#pragma once

#include "Core/core.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace amaranthhoist {

/// The kind of a line. Each kind has its own rate limit.
enum class log_kind : std::uint8_t {
  /// Process start, stop and reload.
  Process,
  /// A dependency was lost or restored, or the state of a server, a peer or the
  /// configuration version changed.
  ClusterState,
  /// A request was refused, retried, abandoned, cancelled, or failed.
  RequestFailure,
  /// A request was answered.
  Success,
  /// One attempt at a server, with the inputs of the decision.
  Attempt,
};
inline constexpr std::size_t LogKinds = 5;

using log_value = std::variant<std::string_view, std::int64_t, double, bool>;
struct log_entry {
  std::string_view Name;
  log_value Value;
};

class event_log {
public:
  /// \p Identity is written into every line as the instance.
  event_log(int Descriptor, std::string_view Identity);

  /// Whether the rate limit allows a line of this kind now. If not, counts the
  /// line as suppressed. For lines whose fields are expensive to compute.
  [[nodiscard]] bool admitsLine(log_kind Kind, instant Now);

  /// Appends a line to the buffer. \p Event is the event name in snake case.
  void write(log_kind Kind, std::string_view Event,
             std::span<const log_entry> Fields, instant Now);
  void write(log_kind Kind, std::string_view Event,
             std::initializer_list<log_entry> Fields, instant Now) {
    write(Kind, Event, std::span(Fields.begin(), Fields.size()), Now);
  }

  /// Writes the buffered lines to the descriptor. Drops and counts those that
  /// the kernel does not accept.
  void flush();

  [[nodiscard]] std::uint64_t dropped() const { return DroppedLines; }

private:
  bool isWithinLimit(log_kind Kind, instant Now);
  void logSuppressedLines(instant Now);
  void append(std::string_view Event, std::span<const log_entry> Fields,
              instant Now);

  int Descriptor;
  std::string Identity;
  std::string Buffer;
  std::array<std::uint32_t, LogKinds> WrittenThisSecond{};
  std::array<std::uint32_t, LogKinds> Suppressed{};
  std::int64_t CurrentSecond = 0;
  std::uint64_t DroppedLines = 0;
};

} // namespace amaranthhoist
