#include "Gateway/gateway.h"
#include "Gateway/node.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace amaranthhoist {

using gateway::actions;

std::string slotResource(const std::string &Target) { return "slot/" + Target; }

std::string linkResource(const std::string &Region) { return "link/" + Region; }

gateway_node makeGateway(const gateway_settings &Settings) {
  gateway_node Node;
  Node.Settings = Settings;
  Node.Budget.Self = Settings.Id;
  Node.Retries = Settings.Retries;
  return Node;
}

static amounts limitsOf(const gateway_node &Node) {
  const site_settings &Site = Node.Site;
  amounts Limits;
  Limits[PowerResource] = std::max<std::int64_t>(
      0, Site.CapMilliwatts - Site.IdleMilliwatts - Site.GuardMilliwatts);
  for (const auto &[Region, Limit] : Site.LinkLimits)
    Limits[linkResource(Region)] = Limit;
  for (const auto &[Name, Target] : Node.Targets)
    Limits[slotResource(Name)] = Target.Slots;
  return Limits;
}

/// The greatest common divisor of the power draws of all services.
static std::int64_t powerQuantum(const site_settings &Site) {
  std::int64_t Quantum = 0;
  for (const auto &[Service, Milliwatts] : Site.SlotMilliwatts)
    Quantum = std::gcd(Quantum, Milliwatts);
  return std::max<std::int64_t>(Quantum, 1);
}

static void applyTarget(gateway_node &Node, const target_settings &Settings,
                        instant Now) {
  auto [Found, IsNew] = Node.Targets.try_emplace(Settings.Name);
  target_state &Target = Found->second;
  if (IsNew)
    Target.AvailableSince = Now;
  Target.Name = Settings.Name;
  Target.Site = Settings.Site;
  Target.Service = Settings.Service;
  Target.Address = Settings.Address;
  Target.Slots = Settings.Slots;
  // The list lags and may lie: it can say that a target leaves, but not that
  // one comes back which itself said that it leaves.
  Target.Draining = Target.Draining || Settings.Draining;
}

/// A target that is missing from the list accepts no new work. It stays in the
/// node until its work has ended; otherwise its slots would be free before
/// that.
static void removeAbsentTargets(gateway_node &Node,
                                const std::vector<target_settings> &Listed) {
  std::set<std::string> Present;
  for (const target_settings &Target : Listed)
    Present.insert(Target.Name);
  for (auto &[Name, Target] : Node.Targets)
    Target.Draining = Target.Draining || !Present.contains(Name);
  std::erase_if(Node.Targets, [&](const auto &Entry) {
    return !Present.contains(Entry.first) && Entry.second.InFlight == 0;
  });
}

static void applySite(gateway_node &Node, const site_changed &Event,
                      moment Moment, actions &Actions) {
  Node.Site = Event.Site;
  for (const target_settings &Target : Event.Targets)
    applyTarget(Node, Target, Moment.Now);
  removeAbsentTargets(Node, Event.Targets);
  Node.Budget.Limits = limitsOf(Node);
  Node.Budget.Quanta[PowerResource] = powerQuantum(Node.Site);
  gateway::sendAllQueued(Node, Moment, Actions);
}

namespace {

/// One overload per kind of event.
struct event_handler {
  gateway_node &Node;
  moment Moment;
  actions &Actions;

  void operator()(const request_arrived &Event) const {
    gateway::handleArrival(Node, Event, Moment, Actions);
  }
  void operator()(const request_cancelled &Event) const {
    gateway::handleCancel(Node, Event.Token, Actions);
  }
  void operator()(const seal_requested &Event) const {
    gateway::handleSealRequest(Node, Event, Moment, Actions);
  }
  void operator()(const attempt_ended &Event) const {
    gateway::handleTargetEnded(Node, Event, Moment, Actions);
  }
  void operator()(const peer_message_arrived &Event) const {
    gateway::handlePeerMessage(Node, Event, Moment, Actions);
  }
  void operator()(const record_received &Event) const {
    applyRecord(Node.Budget, Event.Record);
    gateway::sendAllQueued(Node, Moment, Actions);
  }
  void operator()(const record_update_completed &Event) const {
    handleUpdateResult(Node.Budget, Event.Proposed, Event.Result,
                       Event.NewVersion, Moment.Now);
    gateway::sendAllQueued(Node, Moment, Actions);
  }
  void operator()(const site_changed &Event) const {
    applySite(Node, Event, Moment, Actions);
  }
  void operator()(const target_draining &Event) const {
    gateway::markTargetDraining(Node, Event.Target, true, Actions);
  }
  void operator()(const peers_changed &Event) const {
    gateway::handlePeersChanged(Node, Event, Actions);
  }
  void operator()(const peer_unreachable &Event) const {
    gateway::handleWitnessUnreachable(Node, Event.Id, Actions);
  }
  void operator()(const holder_dead &Event) const {
    recordHolderDeath(Node.Budget, Event.Id, Moment.Now);
  }
  void operator()(const drain_changed &Event) const {
    Node.Draining = Event.Draining || Event.ShuttingDown;
    Node.ShuttingDown = Event.ShuttingDown;
  }
  void operator()(const clock_tick &) const {
    gateway::handleTick(Node, Moment, Actions);
  }
};

} // namespace

std::vector<gateway_action>
stepGateway(gateway_node &Node, const gateway_event &Event, moment Moment) {
  actions Actions;
  std::visit(event_handler{Node, Moment, Actions}, Event);
  return Actions;
}

/// Slots of one target that are available now. A target that is down accepts a
/// single request, as a trial request: a load report with all its slots would
/// send many requests to a server that is probably still down.
static std::int64_t freeSlots(const gateway_node &Node,
                              const target_state &Target, instant Now) {
  if (!acceptsWork(Target, Node.Settings.Targets, Now))
    return 0;
  const std::int64_t Free =
      availableUnits(Node.Budget, slotResource(Target.Name), Now);
  return Target.Down ? std::min<std::int64_t>(Free, 1) : Free;
}

offer makeOffer(const gateway_node &Node, const std::string &Service,
                instant Now) {
  offer Offer;
  Offer.Site = Node.Site.Name;
  Offer.Region = Node.Site.Region;
  Offer.Gateway = Node.Settings.Id;
  Offer.FailureDomain = Node.Settings.FailureDomain;
  Offer.PredictedWait = gateway::predictedWait(Node, Service);
  Offer.ReceivedAt = Now;
  std::int64_t Free = 0;
  for (const auto &[Name, Target] : Node.Targets)
    if (Target.Service == Service)
      Free += freeSlots(Node, Target, Now);
  auto Cost = Node.Site.SlotMilliwatts.find(Service);
  if (Cost != Node.Site.SlotMilliwatts.end() && Cost->second > 0)
    Free = std::min(Free, availableUnits(Node.Budget, PowerResource, Now) /
                              Cost->second);
  auto Queue = Node.Queues.find(Service);
  if (Queue != Node.Queues.end())
    Free -= static_cast<std::int64_t>(Queue->second.Total);
  Offer.FreeUnits = Node.Draining ? 0 : std::max<std::int64_t>(Free, 0);
  // A site whose servers are due for a trial request is not suspect:
  // otherwise it would get no requests and stay out of use after its servers
  // have recovered.
  const bool CannotServe = gateway::hasNoServer(Node, Service) ||
                           gateway::isStalled(Node, Service, Now);
  Offer.Suspect = Node.Draining || (CannotServe && Offer.FreeUnits == 0);
  return Offer;
}

bool hasShutDown(const gateway_node &Node) {
  return Node.ShuttingDown && Node.Work.empty() &&
         Node.UnconfirmedWork.empty() &&
         !Node.Budget.Record.Shares.contains(Node.Settings.Id);
}

std::int64_t workInProgress(const gateway_node &Node) {
  auto Count = static_cast<std::int64_t>(Node.UnconfirmedWork.size());
  for (const auto &[Token, Item] : Node.Work)
    Count += Item.Target.empty() ? 0 : 1;
  return Count;
}

} // namespace amaranthhoist
