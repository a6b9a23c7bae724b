/// Requests that end the backend servers which run them. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// What a request asks a server to do; the same for every attempt of a caller
/// and at every instance.
struct request_content {
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  std::string_view ObjectKey;
  /// What the caller proves its identity with; empty: nothing.
  std::string_view Credentials;
  std::string_view Body;
};

/// Names a content between instances and in logs, without showing it: bodies
/// and keys are the callers'.
std::uint64_t contentHash(const request_content &Content);

/// A content's hash as it stands in logs.
std::string contentName(std::uint64_t Content);

} // namespace amaranthhoist
