/// Structured log of a node: JSON lines on a file descriptor, never blocking.
/// Lines of each kind are bounded per second, so that a flood of one kind can't
/// hide another or cost the work its processor time; what was left out is
/// counted and told. Failures and changes of belief have far higher bounds than
/// successes. A library logger blocks on a full pipe, or costs a thread; hence
/// this small one.
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

/// What a line is about. Each kind has its own bound.
enum class log_kind : std::uint8_t {
  /// Start, stop, reload.
  Process,
  /// A dependency lost or regained, a version, a server's state, a peer.
  Belief,
  /// A request was refused, repeated, given up on, cancelled, or failed.
  Trouble,
  /// A request was answered.
  Success,
  /// One attempt at a server, with what decided for it.
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
  /// \p Identity goes into every line.
  event_log(int Descriptor, std::string_view Identity);

  /// Whether a line of that kind would be taken in now. False counts it as left
  /// out: for lines whose fields cost something to make.
  [[nodiscard]] bool wouldWrite(log_kind Kind, instant Now);

  /// Adds a line. \p Event names what happened, in snake case.
  void write(log_kind Kind, std::string_view Event,
             std::span<const log_entry> Fields, instant Now);
  void write(log_kind Kind, std::string_view Event,
             std::initializer_list<log_entry> Fields, instant Now) {
    write(Kind, Event, std::span(Fields.begin(), Fields.size()), Now);
  }

  /// Hands the lines to the kernel; drops and counts those it doesn't take.
  void flush();

  [[nodiscard]] std::uint64_t dropped() const { return Dropped; }

private:
  bool hasRoom(log_kind Kind, instant Now);
  void tellLeftOut(instant Now);
  void append(std::string_view Event, std::span<const log_entry> Fields,
              instant Now);

  int Descriptor;
  std::string Identity;
  std::string Buffer;
  std::array<std::uint32_t, LogKinds> Written{};
  std::array<std::uint32_t, LogKinds> LeftOut{};
  std::int64_t Second = 0;
  std::uint64_t Dropped = 0;
};

} // namespace amaranthhoist
