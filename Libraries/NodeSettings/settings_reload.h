/// What a reload of a node's settings file changes. Each key either takes
/// effect in the running process or needs a restart; none is passed over.
/// Sans-I/O.
#pragma once

#include "NodeSettings/node_settings.h"

#include <string>
#include <vector>

namespace amaranthhoist {

/// A key whose value in the file differs from the one in force.
struct setting_difference {
  /// As in the file, with the sections' names: `listen.callers`.
  std::string Key;
  std::string InForce;
  std::string InFile;
};

struct settings_reload {
  /// The settings in force from now on.
  node_settings Settings;
  std::vector<setting_difference> Applied;
  std::vector<setting_difference> NeedRestart;
};

/// Plans the change from \p InForce to the valid settings \p InFile.
settings_reload planReload(const node_settings &InForce,
                           const node_settings &InFile);

/// Returns the keys of all settings.
std::vector<std::string> settingKeys();

} // namespace amaranthhoist
