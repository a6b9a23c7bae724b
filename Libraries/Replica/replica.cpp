#include "Replica/replica.h"

#include <algorithm>
#include <set>

namespace amaranthhoist {

using messages = std::vector<outgoing_replica_message>;

static std::uint32_t bucketOf(const std::string &Key) {
  return static_cast<std::uint32_t>(stableHash(Key) % ReplicaBuckets);
}

static std::uint64_t itemHash(const std::string &Key, std::int64_t Version) {
  return stableHash(Key, static_cast<std::uint64_t>(Version));
}

std::uint64_t replicaRoot(const replica &Replica) {
  const char *Bytes = reinterpret_cast<const char *>(Replica.Hashes.data());
  return stableHash({Bytes, sizeof(Replica.Hashes)});
}

void setReplicaPeers(replica &Replica, std::span<const replica_peer> Peers) {
  Replica.SameRegion.clear();
  Replica.OtherRegions.clear();
  for (const replica_peer &Peer : Peers)
    (Peer.Region == Replica.Region ? Replica.SameRegion : Replica.OtherRegions)
        .push_back(Peer);
}

/// Returns whether \p Item was newer than the held one.
static bool applyOne(replica &Replica, const item &Item) {
  auto [Found, IsNew] = Replica.Items.try_emplace(Item.Key);
  item &Held = Found->second;
  if (!IsNew && Item.Version <= Held.Version)
    return false;
  std::uint64_t &Hash = Replica.Hashes[bucketOf(Item.Key)];
  if (!IsNew)
    Hash ^= itemHash(Held.Key, Held.Version);
  Hash ^= itemHash(Item.Key, Item.Version);
  Held = Item;
  return true;
}

static void sampleInto(std::vector<std::string> &Names,
                       const std::vector<replica_peer> &Peers,
                       std::size_t Count, std::mt19937_64 &Random) {
  std::vector<replica_peer> Sample;
  std::sample(Peers.begin(), Peers.end(), std::back_inserter(Sample), Count,
              Random);
  for (const replica_peer &Peer : Sample)
    Names.push_back(Peer.Name);
}

/// Splits \p Items into messages of bounded size.
static void sendItems(const replica &Replica, const std::string &To,
                      std::span<const item> Items, messages &Messages) {
  const std::size_t BatchSize = Replica.Policy.MaxItemsPerMessage;
  for (std::size_t Begin = 0; Begin < Items.size(); Begin += BatchSize) {
    const auto Batch =
        Items.subspan(Begin, std::min(BatchSize, Items.size() - Begin));
    Messages.push_back({To, replica_items{{Batch.begin(), Batch.end()}}});
  }
}

static void pushItems(replica &Replica, std::span<const item> Items,
                      const std::string &From, messages &Messages) {
  std::vector<std::string> Names;
  sampleInto(Names, Replica.SameRegion, Replica.Policy.SameRegionFanout,
             Replica.Random);
  sampleInto(Names, Replica.OtherRegions, Replica.Policy.OtherRegionsFanout,
             Replica.Random);
  for (const std::string &Name : Names)
    if (Name != From)
      sendItems(Replica, Name, Items, Messages);
}

static messages applyAndPush(replica &Replica, std::span<const item> Items,
                             const std::string &From,
                             std::vector<item> &Applied) {
  std::vector<item> NewItems;
  for (const item &Item : Items)
    if (applyOne(Replica, Item))
      NewItems.push_back(Item);
  messages Messages;
  if (!NewItems.empty() && NewItems.size() <= Replica.Policy.MaxPushedItems)
    pushItems(Replica, NewItems, From, Messages);
  Applied.insert(Applied.end(), NewItems.begin(), NewItems.end());
  return Messages;
}

messages applyItems(replica &Replica, std::span<const item> Items,
                    std::vector<item> &Applied) {
  return applyAndPush(Replica, Items, {}, Applied);
}

static messages compareBuckets(const replica &Replica, const std::string &From,
                               const replica_buckets &Message) {
  if (Message.Hashes.size() != ReplicaBuckets)
    return {};
  replica_keys Keys;
  std::array<bool, ReplicaBuckets> Differs{};
  for (std::uint32_t Bucket = 0; Bucket < ReplicaBuckets; ++Bucket) {
    Differs[Bucket] = Message.Hashes[Bucket] != Replica.Hashes[Bucket];
    if (Differs[Bucket])
      Keys.Buckets.push_back(Bucket);
  }
  if (Keys.Buckets.empty())
    return {};
  for (const auto &[Key, Item] : Replica.Items)
    if (Differs[bucketOf(Key)])
      Keys.Keys.push_back({Key, Item.Version});
  return {{From, Keys}};
}

static messages compareKeys(const replica &Replica, const std::string &From,
                            const replica_keys &Message) {
  std::map<std::string, std::int64_t> Theirs;
  for (const key_version &Entry : Message.Keys)
    Theirs[Entry.Key] = Entry.Version;
  const std::set<std::uint32_t> Buckets(Message.Buckets.begin(),
                                        Message.Buckets.end());
  std::vector<item> Newer;
  for (const auto &[Key, Item] : Replica.Items) {
    if (!Buckets.contains(bucketOf(Key)))
      continue;
    auto Their = Theirs.find(Key);
    if (Their == Theirs.end() || Their->second < Item.Version)
      Newer.push_back(Item);
  }
  replica_request Request;
  for (const auto &[Key, Version] : Theirs) {
    auto Held = Replica.Items.find(Key);
    if (Held == Replica.Items.end() || Held->second.Version < Version)
      Request.Keys.push_back(Key);
  }
  messages Messages;
  sendItems(Replica, From, Newer, Messages);
  if (!Request.Keys.empty())
    Messages.push_back({From, Request});
  return Messages;
}

static messages sendRequested(const replica &Replica, const std::string &From,
                              const replica_request &Message) {
  std::vector<item> Items;
  for (const std::string &Key : Message.Keys) {
    auto Held = Replica.Items.find(Key);
    if (Held != Replica.Items.end())
      Items.push_back(Held->second);
  }
  messages Messages;
  sendItems(Replica, From, Items, Messages);
  return Messages;
}

namespace {

/// One overload per kind of message.
struct message_handler {
  replica &Replica;
  const std::string &From;
  std::vector<item> &Applied;

  messages operator()(const replica_items &Message) const {
    return applyAndPush(Replica, Message.Items, From, Applied);
  }
  messages operator()(const replica_root &Message) const {
    if (Message.Root == replicaRoot(Replica))
      return {};
    return {{From,
             replica_buckets{{Replica.Hashes.begin(), Replica.Hashes.end()}}}};
  }
  messages operator()(const replica_buckets &Message) const {
    return compareBuckets(Replica, From, Message);
  }
  messages operator()(const replica_keys &Message) const {
    return compareKeys(Replica, From, Message);
  }
  messages operator()(const replica_request &Message) const {
    return sendRequested(Replica, From, Message);
  }
};

} // namespace

messages handleReplicaMessage(replica &Replica, const std::string &From,
                              const replica_message &Message,
                              std::vector<item> &Applied) {
  return std::visit(message_handler{Replica, From, Applied}, Message);
}

messages replicaTick(replica &Replica) {
  const bool UseOtherRegions =
      Replica.SameRegion.empty() ||
      (!Replica.OtherRegions.empty() &&
       std::uniform_int_distribution<int>(0, 3)(Replica.Random) == 0);
  const std::vector<replica_peer> &Peers =
      UseOtherRegions ? Replica.OtherRegions : Replica.SameRegion;
  if (Peers.empty())
    return {};
  std::uniform_int_distribution<std::size_t> Draw(0, Peers.size() - 1);
  return {
      {Peers[Draw(Replica.Random)].Name, replica_root{replicaRoot(Replica)}}};
}

} // namespace amaranthhoist
