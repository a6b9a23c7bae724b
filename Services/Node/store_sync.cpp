#include "store_sync.h"

#include "names.h"
#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

/// After trouble with the store the list may miss servers that live: entries
/// that lapsed are back within two seconds of its return; a little is added for
/// the way here. What is missing then is gone.
static constexpr duration UnsureAfterTrouble = std::chrono::milliseconds(2'200);
/// Time of a write, and between two tries.
static constexpr duration WriteTime = std::chrono::milliseconds(1'500);
static constexpr duration WriteAgain = std::chrono::milliseconds(500);
/// The instances are listed this often; unknown ones that speak are looked up
/// at once, so this only mends what both missed.
static constexpr duration ListingPeriod = std::chrono::seconds(20);
/// Between two listings at least.
static constexpr duration ListingPause = std::chrono::milliseconds(700);
/// The store is asked for a sign of life this often. When it falls silent it
/// may forget the watches that wait there, without closing their connections:
/// a node would stay blind until they time out, while changes must be in force
/// 2.5 s after they were accepted.
static constexpr duration ProbePeriod = std::chrono::milliseconds(1'000);
static constexpr duration ProbePeriodInDoubt = std::chrono::milliseconds(300);
/// Longer than the store's answers take while it is slow.
static constexpr duration ProbeTime = std::chrono::milliseconds(700);
static constexpr duration HousekeepingPeriod = std::chrono::milliseconds(150);

store_sync::store_sync(node &Node)
    : Node(Node),
      Configurations(
          Node, platform::ConfigurationKind,
          {[this](auto &All) { takeConfigurations(All); },
           [this](auto &Change) {
             if (!Change.IsDeleted)
               takeConfiguration(Change.Object.Value);
           }}),
      Targets(Node, platform::TargetKind,
              {[this](auto &All) { takeTargets(All); },
               [this](auto &Change) { takeTarget(Change); }}),
      Evacuations(Node, platform::EvacuationKind,
                  {[this](auto &All) { takeEvacuations(All); },
                   [this](auto &Change) {
                     setDomainEvacuated(Change.Object.Name, !Change.IsDeleted);
                   }}),
      Writer(Node), Prober(Node), Lister(Node) {}

void store_sync::start() {
  Configurations.start();
  Targets.start();
  Evacuations.start();
  registerNode();
  listInstances();
  Node.Loop.after(ProbePeriod, [this] { probe(); });
  Node.Loop.every(HousekeepingPeriod, [this] {
    const instant Now = Node.Loop.now();
    if (listIsSure())
      removeMissing(Node.Steering.Targets);
    freeDeparted(Node.Steering.Targets);
    if (Now >= NextListing)
      listInstances();
  });
}

void store_sync::takeConfigurations(std::vector<stored<configuration>> &All) {
  for (const stored<configuration> &Object : All)
    takeConfiguration(Object.Value);
}

void store_sync::takeConfiguration(const configuration &Configuration) {
  const bool IsNew = applyConfiguration(Node.Steering, Configuration);
  Node.Log.write(
      log_kind::Belief, IsNew ? "configuration_applied" : "configuration_kept",
      {{"version", static_cast<std::int64_t>(Configuration.Version)},
       {"routes", static_cast<std::int64_t>(Configuration.Routes.size())}},
      Node.Loop.now());
}

bool store_sync::listIsSure() const {
  return !IsInDoubt &&
         Node.Loop.now() - Targets.LastTrouble > UnsureAfterTrouble;
}

void store_sync::takeTargets(std::vector<stored<target_entry>> &All) {
  text_set Ids;
  for (const stored<target_entry> &Object : All) {
    Ids.insert(Object.Name);
    putTarget(Node.Steering.Targets, Object.Value, Node.Loop.now());
  }
  keepOnly(Node.Steering.Targets, Ids, listIsSure());
  Node.Log.write(log_kind::Belief, "servers_listed",
                 {{"servers", static_cast<std::int64_t>(All.size())},
                  {"sure", listIsSure()}},
                 Node.Loop.now());
}

void store_sync::takeTarget(stored_change<target_entry> &Change) {
  const target_entry &Entry = Change.Object.Value;
  if (Change.IsDeleted)
    removeTarget(Node.Steering.Targets, Change.Object.Name, listIsSure());
  else
    putTarget(Node.Steering.Targets, Entry, Node.Loop.now());
  Node.Log.write(log_kind::Belief,
                 Change.IsDeleted ? "server_removed" : "server_listed",
                 {{"server", Change.Object.Name},
                  {"service", Entry.Service},
                  {"leaving", Entry.IsLeaving},
                  {"cold_ms",
                   static_cast<std::int64_t>(Entry.ColdFor.count() / 1'000)},
                  {"sure", listIsSure()},
                  {"revision",
                   static_cast<std::int64_t>(Change.Object.Revision)}},
                 Node.Loop.now());
}

void store_sync::setDomainEvacuated(const std::string &Domain,
                                    bool IsEvacuated) {
  duration ColdTime{};
  if (Node.Steering.Routes)
    for (const service &Service : Node.Steering.Routes->Configuration.Services)
      ColdTime = std::max(ColdTime, Service.ColdTime);
  setEvacuated(Node.Steering.Targets, Domain, IsEvacuated, ColdTime,
               Node.Loop.now());
  Node.Log.write(log_kind::Belief,
                 IsEvacuated ? "domain_evacuated" : "domain_back",
                 {{"failure_domain", Domain}}, Node.Loop.now());
}

void store_sync::takeEvacuations(
    std::vector<stored<platform::evacuation>> &All) {
  const auto Before = Node.Steering.Targets.EvacuatedDomains;
  for (const std::string &Domain : Before)
    if (std::none_of(All.begin(), All.end(), [&](const auto &Object) {
          return Object.Name == Domain;
        }))
      setDomainEvacuated(Domain, false);
  for (const auto &Object : All)
    setDomainEvacuated(Object.Name, true);
}

void store_sync::probe() {
  Prober.call("GET", platform::encodeProbePath(platform::EvacuationKind), {},
              ProbeTime, [this](const store_answer &Answer) {
                takeProbe(Answer.Status == 200);
                Node.Loop.after(IsInDoubt ? ProbePeriodInDoubt : ProbePeriod,
                                [this] { probe(); });
              });
}

void store_sync::takeProbe(bool IsAnswered) {
  if (IsAnswered != IsInDoubt)
    return;
  IsInDoubt = !IsAnswered;
  Node.Log.write(log_kind::Belief, IsInDoubt ? "store_silent" : "store_answers",
                 {}, Node.Loop.now());
  Targets.LastTrouble = Node.Loop.now();
  if (IsInDoubt)
    return;
  Configurations.restart();
  Targets.restart();
  Evacuations.restart();
}

void store_sync::refreshInstances() {
  NextListing = std::min(NextListing, Node.Loop.now() + ListingPause);
}

void store_sync::listInstances() {
  if (IsListing)
    return;
  IsListing = true;
  NextListing = Node.Loop.now() + ListingPeriod;
  Lister.call("GET", platform::encodeKindPath(platform::InstanceKind), {},
              ListTime, [this](const store_answer &Answer) {
                IsListing = false;
                takeInstances(Answer);
              });
}

void store_sync::takeInstances(const store_answer &Answer) {
  std::vector<std::string> Unreadable;
  auto Page =
      platform::decodePage<fleet_member>(Answer.Body, Unreadable);
  if (Answer.Status != 200 || !Page) {
    refreshInstances();
    return;
  }
  std::vector<fleet_member> Members;
  for (auto &Object : Page->Items)
    Members.push_back(std::move(Object.Value));
  setFleet(Node.Fleet, std::move(Members));
  Node.Steering.Instances = instanceHashes(Node.Fleet);
  Node.Log.write(log_kind::Belief, "instances_listed",
                 {{"others",
                   static_cast<std::int64_t>(Node.Fleet.Members.size())}},
                 Node.Loop.now());
}

/// Makes this node known to the others.
void store_sync::registerNode() { writeOwnObject(/*Create=*/false); }

void store_sync::writeOwnObject(bool Create) {
  const std::string Path =
      Create ? platform::encodeKindPath(platform::InstanceKind)
             : platform::encodeObjectPath(platform::InstanceKind,
                                          Node.Fleet.Own.Name, std::nullopt);
  Writer.call(Create ? "POST" : "PUT", Path,
              platform::encodeMember(Node.Fleet.Own), WriteTime,
              [this](const store_answer &Answer) {
                if (Answer.Status / 100 == 2) {
                  IsRegistered = true;
                  refreshInstances();
                  return;
                }
                const bool IsAbsent = Answer.Status == 404;
                Node.Loop.after(IsAbsent ? duration::zero() : WriteAgain,
                                [this, IsAbsent] { writeOwnObject(IsAbsent); });
              });
}

} // namespace amaranthhoist
