/// Bootstrap of an instance that has just started without any state: which
/// instances it queries for the state of the platform's store, and when it
/// lists the store itself.
///
/// If all instances of a fleet start together and each lists the store, the
/// responses saturate the store's link. 295 instances with 1,080 servers of 350
/// bytes need 0.9 Gbit; the last ones get their servers after more than a
/// second and refuse callers until then. Therefore only the instances that the
/// settings name as seeds list the store at once. The others wait for an
/// announced source, and list the store after a delay that grows with the time
/// their own link needs for the snapshot, so that the instances with the
/// fastest links go first. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

struct bootstrap_options {
  /// Control address of this instance, `ip:port`.
  std::string OwnControl;
  /// Control addresses from the settings; may be stale or down.
  std::vector<std::string> Seeds;
  /// Bandwidth of this instance's link, Mbit/s.
  double LinkMbps = 1'000;
  /// Seeds the random delay and the order of the seeds, so that instances
  /// differ.
  std::uint64_t Seed = 0;
};

struct bootstrap {
  /// The seeds without this instance, in an order specific to this instance.
  std::vector<std::string> Seeds;
  std::size_t NextSeed = 0;
  instant NextSeedAt{};
  /// Control addresses of instances that announced that they have the state, or
  /// to which another instance referred; the latest is last.
  std::vector<std::string> AnnouncedSources;
  instant StartedAt{};
  /// Upper bound of the initial delay before the store is listed.
  std::chrono::duration<double> MaxDelay{};
  /// Time from which the store is listed directly.
  instant ListStoreAt{};
};

bootstrap startBootstrap(const bootstrap_options &Options, instant Now);

/// Adds \p Control, which announced itself as a source of the state or was
/// named by another instance.
void addSource(bootstrap &Bootstrap, const std::string &Control);

/// Removes and returns the latest announced source; none if all of them have
/// been queried.
std::optional<std::string> popSource(bootstrap &Bootstrap);

/// Returns the next seed to query, if the interval between seed queries has
/// passed.
std::optional<std::string> nextSeed(bootstrap &Bootstrap, instant Now);

/// Postpones the listing of the store after a peer responded that it is
/// bootstrapping itself or too busy: the state will arrive from peers. Must not
/// be called for an instance that lists the store already.
void postponeStoreList(bootstrap &Bootstrap, instant Now);

/// Returns whether the delay before listing the store has passed.
bool mayListStore(const bootstrap &Bootstrap, instant Now);

} // namespace amaranthhoist
