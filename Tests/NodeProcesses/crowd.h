/// Callers that send as much as the other side takes and read nothing.
#pragma once

#include "EventLoop/event_loop.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhoist {

/// What each caller of a crowd sends.
struct crowd_plan {
  /// `ip:port` of the listener.
  std::string Address;
  int Callers = 0;
  /// Sent once.
  std::string Start;
  /// Sent after it again and again; empty: nothing.
  std::string Repeated;
  /// Bytes of each caller in all.
  std::size_t BytesEach = 0;
};

class crowd_caller;

class crowd {
public:
  crowd(event_loop &Loop, const crowd_plan &Plan);
  ~crowd();
  crowd(const crowd &) = delete;
  crowd &operator=(const crowd &) = delete;

  /// Bytes that the kernel has taken from all callers.
  [[nodiscard]] std::size_t sentBytes() const;
  /// Callers whose connection is open.
  [[nodiscard]] std::size_t openCallers() const;

private:
  std::string Start;
  std::string Piece;
  std::vector<std::unique_ptr<crowd_caller>> Callers;
};

} // namespace amaranthhoist
