#include "beliefs.h"

#include "codec.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr duration HousekeepingPeriod = std::chrono::milliseconds(150);

beliefs::beliefs(node &Node) : Node(Node) {
  Node.Loop.every(HousekeepingPeriod, [this] { keepHouse(); });
}

void beliefs::keepHouse() {
  if (listIsSure())
    removeMissing(Node.Steering.Targets);
  freeDeparted(Node.Steering.Targets);
  tellSpreads();
}

void beliefs::tellSpreads() {
  for (const auto &[Service, Weights] : Node.Steering.Weights) {
    double &Told = ToldSpreads[Service];
    if (Told == Weights.Spread.Share)
      continue;
    Told = Weights.Spread.Share;
    Node.Log.write(log_kind::Belief, "region_spread",
                   {{"service", Service},
                    {"share", Weights.Spread.Share},
                    {"occupation", Weights.Spread.Occupation}},
                   Node.Loop.now());
  }
}

void beliefs::noteTrouble() { noteStoreTrouble(Trust, Node.Loop.now()); }

void beliefs::notePeer(bool ListIsSure) {
  notePeerTrust(Trust, ListIsSure, Node.Loop.now());
}

duration beliefs::configurationAge() const {
  return Node.Steering.Routes ? Node.Loop.now() - ConfigurationSince
                              : duration::zero();
}

bool beliefs::listIsSure() const { return isListSure(Trust, Node.Loop.now()); }

bool beliefs::knowsAll() const {
  return std::all_of(Cache.Kinds.begin(), Cache.Kinds.end(),
                     [](const auto &Kind) { return Kind.HasState; });
}

void beliefs::take(kind_changes Changes) {
  const bool IsFull = Changes.IsFull;
  if (!takeChanges(Cache, Changes))
    return;
  for (const object_change &Change : Changes.Changes)
    apply(Changes.Kind, Change);
  if (Changes.Kind == object_kind::Instance && !Changes.Changes.empty())
    applyInstances();
  Node.HasLearned = Node.HasLearned || knowsAll();
  if (IsFull)
    Node.Log.write(
        log_kind::Belief, "listed",
        {{"kind", platform::encodeKind(Changes.Kind)},
         {"objects", static_cast<std::int64_t>(Changes.Changes.size())},
         {"revision", static_cast<std::int64_t>(Changes.AtRevision)},
         {"sure", listIsSure()}},
        Node.Loop.now());
}

void beliefs::apply(object_kind Kind, const object_change &Change) {
  switch (Kind) {
  case object_kind::Configuration:
    if (!Change.IsDeleted)
      applyConfigurationText(Change.Text);
    return;
  case object_kind::Target:
    applyTarget(Change);
    return;
  case object_kind::Evacuation:
    applyEvacuation(Change);
    return;
  case object_kind::Instance:
    return;
  }
}

void beliefs::tellUnreadable(object_kind Kind, std::string_view Name,
                             std::string_view Why) {
  Node.Log.write(
      log_kind::Belief, "object_unreadable",
      {{"kind", platform::encodeKind(Kind)}, {"name", Name}, {"why", Why}},
      Node.Loop.now());
}

void beliefs::applyConfigurationText(const std::string &Text) {
  auto Configuration = platform::decodeConfiguration(Text);
  if (!Configuration) {
    tellUnreadable(object_kind::Configuration, {},
                   Configuration.error().Message);
    return;
  }
  const std::uint64_t Version = Configuration->Version;
  const std::size_t Routes = Configuration->Routes.size();
  const bool IsNew =
      applyConfiguration(Node.Steering, std::move(*Configuration));
  if (IsNew)
    ConfigurationSince = Node.Loop.now();
  Node.Log.write(log_kind::Belief,
                 IsNew ? "configuration_applied" : "configuration_kept",
                 {{"version", static_cast<std::int64_t>(Version)},
                  {"routes", static_cast<std::int64_t>(Routes)}},
                 Node.Loop.now());
}

/// An entry that a connection can be made to.
static result<target_entry> decodeServer(const std::string &Text) {
  target_entry Entry = TRY(platform::decodeTarget(Text));
  TRY(parseEndpoint(Entry.Address));
  return Entry;
}

void beliefs::applyTarget(const object_change &Change) {
  const instant Now = Node.Loop.now();
  if (Change.IsDeleted) {
    removeTarget(Node.Steering.Targets, Change.Name, listIsSure());
    Node.Log.write(log_kind::Belief, "server_removed",
                   {{"server", Change.Name}, {"sure", listIsSure()}}, Now);
    return;
  }
  auto Entry = decodeServer(Change.Text);
  if (!Entry) {
    // Whoever wrote it, the entry names no server that may be used.
    removeTarget(Node.Steering.Targets, Change.Name, /*ListIsSure=*/true);
    tellUnreadable(object_kind::Target, Change.Name, Entry.error().Message);
    return;
  }
  putTarget(Node.Steering.Targets, *Entry, Now);
  Node.Log.write(
      log_kind::Belief, "server_listed",
      {{"server", Entry->Id},
       {"service", Entry->Service},
       {"leaving", Entry->IsLeaving},
       {"cold_ms", static_cast<std::int64_t>(Entry->ColdFor.count() / 1'000)}},
      Now);
}

void beliefs::applyEvacuation(const object_change &Change) {
  duration ColdTime{};
  if (Node.Steering.Routes)
    for (const service &Service : Node.Steering.Routes->Configuration.Services)
      ColdTime = std::max(ColdTime, Service.ColdTime);
  setEvacuated(Node.Steering.Targets, Change.Name, !Change.IsDeleted, ColdTime,
               Node.Loop.now());
  Node.Log.write(log_kind::Belief,
                 Change.IsDeleted ? "domain_back" : "domain_evacuated",
                 {{"failure_domain", Change.Name}}, Node.Loop.now());
}

void beliefs::applyInstances() {
  const auto &Entries =
      Cache.Kinds[static_cast<std::size_t>(object_kind::Instance)].Entries;
  std::vector<fleet_member> Members;
  for (const auto &[Name, Entry] : Entries) {
    if (Entry.IsDeleted)
      continue;
    auto Member = platform::decodeMember(Entry.Text);
    if (Member)
      Members.push_back(std::move(*Member));
    else
      tellUnreadable(object_kind::Instance, Name, Member.error().Message);
  }
  setFleet(Node.Fleet, std::move(Members));
  Node.Steering.Instances = instanceHashes(Node.Fleet);
  Node.Log.write(
      log_kind::Belief, "instances_known",
      {{"others", static_cast<std::int64_t>(Node.Fleet.Members.size())}},
      Node.Loop.now());
}

} // namespace amaranthhoist
