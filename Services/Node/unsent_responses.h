/// The complete responses on one connection that the kernel has not accepted
/// whole. If they are lost, the log names their requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace amaranthhoist {

struct unsent_responses {
  struct response {
    std::string RequestId;
    /// Bytes written to the connection up to the response's last one.
    std::uint64_t End = 0;
  };
  /// In the order of their bytes.
  std::deque<response> Responses;
  /// Bytes written to the connection so far.
  std::uint64_t WrittenBytes = 0;
};

/// Called when a response has been written as a whole and \p PendingBytes of
/// the connection are in its write buffer.
inline void recordWritten(unsent_responses &Unsent, std::string_view RequestId,
                          std::size_t PendingBytes) {
  if (PendingBytes > 0)
    Unsent.Responses.push_back({std::string(RequestId), Unsent.WrittenBytes});
}

/// Forgets the responses that the kernel has accepted.
inline void removeSent(unsent_responses &Unsent, std::size_t PendingBytes) {
  while (!Unsent.Responses.empty() &&
         Unsent.Responses.front().End + PendingBytes <= Unsent.WrittenBytes)
    Unsent.Responses.pop_front();
}

} // namespace amaranthhoist
