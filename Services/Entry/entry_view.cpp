// Applies changes of the platform's objects to the entry, and answers look-ups.

#include "entry_daemon.h"

#include "Logging/logging.h"

#include <algorithm>
#include <tuple>

namespace amaranthhoist {

/// How long a home may be used for new keys, in milliseconds.
static constexpr std::int64_t HomeLifeMs = 300'000;
/// Maximum number of entries in one look-up response.
static constexpr std::size_t MaxListedEntries = 4;

void entry_daemon::applyContract(const item &Item) {
  std::int64_t &Applied = ContractVersions[Item.Key];
  if (Item.Version <= Applied)
    return;
  Applied = Item.Version;
  const std::string Customer = splitKey(Item.Key).Name;
  entry_shard &Shard = shardOf(Customer);
  if (Item.Deleted) {
    step(Shard, contract_deleted{Customer});
    return;
  }
  const result<contract> Contract = parseContract(Item.Value);
  if (!Contract) {
    // The last valid contract stays in force.
    logLine(log_level::Error, "contract can't be read",
            {{"customer", Customer}, {"reason", Contract.error().Message}});
    return;
  }
  step(Shard, contract_changed{*Contract});
}

void entry_daemon::applyGateways(const view_change &Change) {
  Gateways.clear();
  gateways_changed Known;
  for (const item *Item : itemsOf(Change.View, kinds::Gateway)) {
    const auto Record = parseDaemon(Item->Value);
    if (!Record || Change.Down.contains(Item->Key))
      continue;
    Gateways[Record->Instance] = {Record->Address, Item->Version,
                                  Record->Region == Settings.Region};
    for (const std::string &Site : Record->Sites)
      Known.Gateways.push_back(
          gatewayNodeId(Record->Instance, Site, Item->Version));
  }
  stepAll(Known);
}

void entry_daemon::applyEntries(const view_change &Change) {
  const active_drains Drains = activeDrains(Change.View);
  const std::set<std::string> Drained(Drains.Instances.begin(),
                                      Drains.Instances.end());
  std::vector<named_entry> Named;
  std::int64_t Sharing = 0;
  for (const item *Item : itemsOf(Change.View, kinds::Entry)) {
    const auto Record = parseDaemon(Item->Value);
    if (!Record)
      continue;
    ++Sharing;
    if (!Change.Down.contains(Item->Key) && !Drained.contains(Record->Instance))
      Named.push_back({Record->Instance, Record->Region, Record->Address});
  }
  stepAll(entries_changed{std::max<std::int64_t>(Sharing, 1)});
  stepAll(draining_sites_changed{{Drains.Sites.begin(), Drains.Sites.end()}});
  const std::lock_guard Guard(EntriesLock);
  Entries = std::move(Named);
}

void entry_daemon::applyView(const view_change &Change) {
  if (Change.touches(kinds::Gateway) || Change.DownChanged)
    applyGateways(Change);
  if (Change.touches(kinds::Entry) || Change.touches(kinds::Drain) ||
      Change.DownChanged)
    applyEntries(Change);
  for (const item &Item : Change.Items)
    if (splitKey(Item.Key).Kind == kinds::Contract)
      applyContract(Item);
  // The entry serves customers only after it has state, from the platform or
  // from peers.
  if (!Change.View.Items.empty())
    Ready = true;
}

/// Returns entries of this region first. Within a region the order is specific
/// to the client, which distributes clients over the entries and keeps each
/// client at the same entry.
std::vector<named_entry>
entry_daemon::nearestEntries(const std::string &Client) {
  using ranked_entry = std::tuple<bool, std::uint64_t, const named_entry *>;
  std::vector<ranked_entry> Ranked;
  const std::lock_guard Guard(EntriesLock);
  Ranked.reserve(Entries.size());
  for (const named_entry &Entry : Entries)
    Ranked.emplace_back(Entry.Region != Settings.Region,
                        stableHash(Client, stableHash(Entry.Instance)), &Entry);
  const std::size_t Count = std::min(Ranked.size(), MaxListedEntries);
  std::partial_sort(Ranked.begin(), Ranked.begin() + static_cast<long>(Count),
                    Ranked.end());
  std::vector<named_entry> Nearest;
  for (std::size_t Place = 0; Place < Count; ++Place)
    Nearest.push_back(*std::get<const named_entry *>(Ranked[Place]));
  return Nearest;
}

lookup_response entry_daemon::lookUp(const std::string &Customer,
                                     const std::string &Service,
                                     const std::string &Client) {
  lookup_response Answer;
  Answer.Entries = nearestEntries(Client + "/" + Customer);
  // Jitter prevents callers' cached responses from expiring at the same time.
  const std::int64_t Ttl = Settings.Entry.LookupTtlMs;
  const auto Spread = static_cast<std::int64_t>(
      stableHash(Client, static_cast<std::uint64_t>(currentWallMs())) %
      static_cast<std::uint64_t>(Ttl / 5 + 1));
  Answer.TtlMs = Ttl - Spread;
  entry_shard &Shard = shardOf(Customer);
  const std::lock_guard Guard(Shard.Lock);
  const result<home_token> Home =
      chooseHome(Shard.Node, Customer, Service, currentWallMs() + HomeLifeMs,
                 currentInstant());
  if (Home)
    Answer.Home = formatHome(*Home);
  return Answer;
}

} // namespace amaranthhoist
