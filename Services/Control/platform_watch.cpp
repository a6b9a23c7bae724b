// The control's platform watch, its registration and its reports.

#include "Logging/logging.h"
#include "control_daemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace amaranthhoist {

static constexpr std::int64_t WatchWaitMs = 10'000;
static constexpr auto WatchRetryDelay = std::chrono::milliseconds(250);

/// The first few live controls of each region, by name, watch the platform; the
/// others receive all objects from them. One watch per node would not scale.
bool control_daemon::shouldWatch() const {
  std::int64_t Before = 0;
  for (const auto &[Key, Record] : Records) {
    if (splitKey(Key).Kind != kinds::Control ||
        Record.Region != Settings.Region || Down.contains(Key))
      continue;
    if (Key < Name)
      ++Before;
  }
  return !Registered || Before < Settings.Control.WatchersPerRegion;
}

void control_daemon::watchPlatform() {
  platform_client Client(Settings.Control.Platform);
  while (!Stopping) {
    bool Watch = true;
    Loop.run([&] { Watch = shouldWatch(); });
    Watching = Watch;
    if (!Watch) {
      std::this_thread::sleep_for(WatchRetryDelay);
      continue;
    }
    const result<watch_result> Result = Client.watch(Revision, WatchWaitMs);
    const bool Up = Result.has_value();
    if (Up != PlatformUp.exchange(Up))
      logLine(Up ? log_level::Info : log_level::Warn,
              Up ? "platform reached" : "platform lost");
    if (!Up) {
      std::this_thread::sleep_for(WatchRetryDelay);
      continue;
    }
    Revision = std::max(Revision.load(), Result->Revision);
    Loop.run([&] {
      handleAnnounce(Result->Items);
      registerSelf();
    });
  }
}

void control_daemon::registerSelf() {
  if (Registered)
    return;
  auto Held = View.Items.find(Name);
  const std::int64_t Base = Held == View.Items.end() ? 0 : Held->second.Version;
  daemon_record Record{Settings.Instance,
                       Settings.Region,
                       Settings.FailureDomain,
                       Settings.Control.Listen,
                       {},
                       OperationId};
  Loop.keep(handleUpdate({Name, 0, false, formatDaemon(Record)}, Base)
                .ignoreResult());
}

std::vector<key_version>
control_daemon::held(const std::vector<std::string> &Keys) const {
  std::vector<key_version> Versions;
  for (const std::string &Key : Keys) {
    auto Found = View.Items.find(Key);
    if (Found != View.Items.end())
      Versions.push_back({Key, Found->second.Version});
  }
  return Versions;
}

std::string control_daemon::statusJson() const {
  using json = nlohmann::ordered_json;
  json Status = {{"instance", Settings.Instance},
                 {"region", Settings.Region},
                 {"failure_domain", Settings.FailureDomain},
                 {"items", View.Items.size()},
                 {"revision", Revision.load()},
                 {"watching", Watching.load()},
                 {"platform_up", PlatformUp.load()},
                 {"down", Down}};
  for (const auto &[Key, Record] : Records)
    Status["members"].push_back({{"key", Key},
                                 {"region", Record.Region},
                                 {"failure_domain", Record.FailureDomain},
                                 {"address", Record.Address},
                                 {"up", !Down.contains(Key)}});
  return Status.dump();
}

} // namespace amaranthhoist
