/// Client of the platform's object API.
#pragma once

#include "Core/core.h"
#include "Http/http.h"
#include "Replica/replica.h"

#include <string>
#include <vector>

namespace amaranthhoist {

/// The result of a watch.
struct watch_result {
  /// Highest version covered. The next watch starts here.
  std::int64_t Revision = 0;
  std::vector<item> Items;
};

/// Client of the platform. Its functions block. Each thread uses its own
/// client.
class platform_client {
public:
  explicit platform_client(std::string Base) : Base(std::move(Base)) {}

  /// Fails with NotFound or Unavailable.
  result<item> get(const std::string &Key);

  /// Lists all objects of a kind.
  result<std::vector<item>> list(const std::string &Kind);

  /// Writes \p Value if the object is at \p BaseVersion (0: does not exist) and
  /// returns the new version. Conflict: the object is at another version.
  /// Uncertain: the response was lost, and the write may take effect.
  /// Unavailable: the platform refused the write.
  result<std::int64_t> put(const std::string &Key, const std::string &Value,
                           std::int64_t BaseVersion);

  /// Deletes the object under the same conditions as put(). A tombstone
  /// remains.
  result<std::int64_t> remove(const std::string &Key, std::int64_t BaseVersion);

  /// Returns the objects that changed after \p Revision. Waits up to \p WaitMs
  /// for the first change.
  result<watch_result> watch(std::int64_t Revision, std::int64_t WaitMs);

private:
  result<std::int64_t> write(const std::string &Method, const std::string &Key,
                             const std::string &Value,
                             std::int64_t BaseVersion);

  std::string Base;
  http_client Client;
};

} // namespace amaranthhoist
