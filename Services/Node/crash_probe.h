/// Tells a backend server that crashed under a request from one that lost an
/// answer. At the moment at which a connection breaks off both look alike; a
/// new connection is refused by the one and accepted by the other.
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

  /// A connection to \p Target broke off while a request with that content was
  /// there.
  void noteBroken(const target &Target, std::uint64_t Content);

private:
  class connection_attempt;
  void end(std::uint64_t Serial, bool IsAlive);
  void takeCrash(const connection_attempt &Attempt);

  node &Node;
  /// By the server's serial.
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<connection_attempt>>
      Attempts;
};

} // namespace amaranthhoist
