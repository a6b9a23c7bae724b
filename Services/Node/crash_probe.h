/// Distinguishes a backend server that crashed during a request from one whose
/// response was lost. When a connection breaks both look alike, but a crashed
/// server refuses a new connection and a running one accepts it.
#pragma once

#include "node.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>

namespace amaranthhoist {

class crash_probe {
public:
  explicit crash_probe(node &Node);
  ~crash_probe();

  /// Called when a connection to \p Target broke while a request with that
  /// content was in flight.
  void onConnectionBroken(const target &Target, std::uint64_t Content);

private:
  class connection_attempt;
  void finishAttempt(std::uint64_t Serial, bool IsAlive);
  void recordServerCrash(const connection_attempt &Attempt);

  node &Node;
  /// Keyed by the server's serial.
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<connection_attempt>>
      Attempts;
};

} // namespace amaranthhoist
