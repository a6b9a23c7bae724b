/// Client of the platform's object API.
#pragma once

#include "Core/core.h"
#include "Http/http.h"
#include "Replica/replica.h"

#include <string>
#include <vector>

namespace amaranthhoist {

/// What a watch returned.
struct watch_result {
  /// Highest version covered; the next watch starts here.
  std::int64_t Revision = 0;
  std::vector<item> Items;
};

/// Calls to the platform; blocks. Each thread uses its own.
class platform_client {
public:
  explicit platform_client(std::string Base) : Base(std::move(Base)) {}

  /// NotFound, Unavailable.
  result<item> get(const std::string &Key);

  /// All objects of a kind.
  result<std::vector<item>> list(const std::string &Kind);

  /// Writes \p Value if the object is at \p BaseVersion (0: doesn't exist);
  /// returns the new version. Conflict: it is at another version. Uncertain:
  /// the answer was lost, and the write may take effect. Unavailable: the
  /// platform turned it away.
  result<std::int64_t> put(const std::string &Key, const std::string &Value,
                           std::int64_t BaseVersion);

  /// As put(); leaves a tombstone.
  result<std::int64_t> remove(const std::string &Key, std::int64_t BaseVersion);

  /// Objects changed after \p Revision; waits up to \p WaitMs for the first.
  result<watch_result> watch(std::int64_t Revision, std::int64_t WaitMs);

private:
  result<std::int64_t> write(const std::string &Method, const std::string &Key,
                             const std::string &Value,
                             std::int64_t BaseVersion);

  std::string Base;
  http_client Client;
};

} // namespace amaranthhoist
