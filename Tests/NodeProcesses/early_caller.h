/// A client that works without the test's event loop, so that its request
/// arrives before anything that the stand-ins send.
#pragma once

#include <string>

namespace amaranthhoist {

class early_caller {
public:
  /// Connects, retrying until the node listens, and sends \p Request.
  early_caller(const std::string &Address, const std::string &Request);
  ~early_caller();
  early_caller(const early_caller &) = delete;
  early_caller &operator=(const early_caller &) = delete;

  /// Returns the status line once received, otherwise an empty string.
  std::string poll();
  bool IsConnected = false;

private:
  int Descriptor = -1;
  std::string Answer;
};

} // namespace amaranthhoist
