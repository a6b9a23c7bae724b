#include "store_sync.h"

#include "StateSpread/spread_tree.h"
#include "codec.h"

namespace amaranthhoist {

/// Time of a write.
static constexpr duration WriteTime = std::chrono::milliseconds(1'500);
/// The store is asked for a sign of life this often. When it falls silent it
/// may forget the watches that wait there, without closing their connections:
/// a node would stay blind until they time out, while changes must be in force
/// 2.5 s after they were accepted.
static constexpr duration ProbePeriod = std::chrono::milliseconds(1'000);
static constexpr duration ProbePeriodInDoubt = std::chrono::milliseconds(300);
/// Longer than the store's answers take while it is slow.
static constexpr duration ProbeTime = std::chrono::milliseconds(700);
static constexpr duration DecisionPeriod = std::chrono::milliseconds(150);
/// A node that has just started keeps requests for so long at most: the lists
/// take two round trips over the longest links, 170 ms, and as much again when
/// all instances start together.
static constexpr duration LearnTime = std::chrono::milliseconds(400);
/// An instance that was down for so long is gone; its object is removed. Far
/// longer than a restart takes.
static constexpr duration GoneAfter = std::chrono::seconds(30);

store_sync::store_sync(node &Node,
                       std::function<void(const std::string &)> Tell)
    : Node(Node), Tell(std::move(Tell)), Beliefs(Node),
      Followers{
          {{Node, Beliefs, object_kind::Configuration, [this] { probeNow(); }},
           {Node, Beliefs, object_kind::Target, [this] { probeNow(); }},
           {Node, Beliefs, object_kind::Evacuation, [this] { probeNow(); }},
           {Node, Beliefs, object_kind::Instance, [this] { probeNow(); }}}},
      Learner(Node, Beliefs), Relay(Node, Beliefs),
      Server(Node, Beliefs, [this] { return age(); }), OwnObject(Node, Beliefs),
      Prober(Node, Node.Settings.Store), Cleaner(Node, Node.Settings.Store) {}

void store_sync::start() {
  const instant Now = Node.Loop.now();
  Node.LearnsUntil = Now + LearnTime;
  Learner.start();
  decide();
  Node.Loop.after(Learner.askStoreAt() - Now, [this] { decide(); });
  Node.Loop.every(DecisionPeriod, [this] { decide(); });
}

instant store_sync::freshAt() const {
  return std::max({AnsweredAt, Relay.freshAt(), Learner.freshAt()});
}

duration store_sync::age() const {
  if (IsDirect && !IsInDoubt && Beliefs.knowsAll())
    return duration::zero();
  return Node.Loop.now() - freshAt();
}

static std::string_view roleName(const fleet &Fleet) {
  switch (ownRole(Fleet)) {
  case spread_role::Watcher:
    return "watcher";
  case spread_role::Relay:
    return "relay";
  case spread_role::Leaf:
    return "leaf";
  }
  return "leaf";
}

store_view store_sync::view() const {
  return {IsDirect ? "store" : Relay.sourceName(),
          roleName(Node.Fleet),
          age(),
          Beliefs.configurationAge(),
          HadSilence,
          Beliefs.listIsSure()};
}

void store_sync::decide() {
  if (!Beliefs.knowsAll())
    return decideWhileLearning();
  if (!HasLearned)
    takeLearned();
  const instant Now = Node.Loop.now();
  const duty_view View{ownRank(Node.Fleet),
                       age(),
                       Now - std::max(freshAt(), Relay.answeredAt()),
                       Now - LearnedAt,
                       IsDirect,
                       WasListed};
  setDirect(isOnDuty(Duty, View, Now));
  if (!IsDirect || IsInDoubt)
    Relay.start(/*OwnCallsAreInVain=*/IsDirect);
  else
    Relay.stop();
  if (IsDirect && View.Rank && *View.Rank < WatchersPerRegion)
    removeDead();
  OwnObject.maintain();
}

void store_sync::decideWhileLearning() {
  if (Learner.mayAskStore())
    setDirect(true);
}

/// The node knows all for the first time: it tells others where that can be had
/// (StateSpread/hand_out.h).
void store_sync::takeLearned() {
  HasLearned = true;
  LearnedAt = Node.Loop.now();
  WasListed = OwnObject.isListed();
  const bool FromStore = Learner.source().empty();
  if (FromStore)
    AnsweredAt = LearnedAt;
  Node.Log.write(log_kind::Belief, "state_learned",
                 {{"from", FromStore ? "store" : Learner.source()},
                  {"age_ms", age().count() / 1'000}},
                 Node.Loop.now());
  for (const std::string &Address : Server.takeWaiting())
    Tell(Address);
  std::size_t Told = 0;
  for (const std::string &Name : membersToTell(Node.Fleet, FromStore))
    Node.Loop.after(
        Server.timeToHandOut(Told++),
        [this, Peer = Node.Fleet.Members.at(Name).Peer] { Tell(Peer); });
}

void store_sync::startFollowers() {
  for (kind_follower &Follower : Followers)
    Follower.startOrRestart();
}

void store_sync::setDirect(bool IsWanted) {
  if (IsWanted == IsDirect)
    return;
  IsDirect = IsWanted;
  HadSilence = false;
  // Calls to a silent store would hang unnoticed: it has to answer first. When
  // nothing is known yet there is nothing that could be waited for in vain, and
  // the lists needn't wait for a first sign of life. With 35 ms one way to the
  // store a node knows what is in force 170 ms after its start, not after 330.
  IsInDoubt = IsDirect && Beliefs.knowsAll();
  if (IsDirect)
    probe();
  if (IsDirect && !IsInDoubt)
    startFollowers();
  if (!IsDirect)
    for (kind_follower &Follower : Followers)
      Follower.stop();
  Node.Log.write(log_kind::Belief,
                 IsDirect ? "asks_store_itself" : "asks_peers", {},
                 Node.Loop.now());
}

/// A call failed. The next probe needn't be waited for to know that the store
/// doesn't answer: its watchers' region would be a second longer without news.
void store_sync::probeNow() {
  if (IsDirect && !IsInDoubt && !Prober.isBusy())
    probe();
}

void store_sync::probe() {
  Node.Loop.cancel(NextProbe);
  if (!IsDirect)
    return;
  NextProbe = Node.Loop.after(IsInDoubt ? ProbePeriodInDoubt : ProbePeriod,
                              [this] { probe(); });
  // A slow answer may take longer than the period in doubt.
  if (Prober.isBusy())
    return;
  Node.Metrics.count("amaranthhoist_store_probes_total");
  Prober.call(
      "GET", platform::encodeProbePath(object_kind::Evacuation), {}, ProbeTime,
      [this](const store_answer &Answer) { takeProbe(Answer.Status == 200); });
}

void store_sync::takeProbe(bool IsAnswered) {
  if (!IsDirect)
    return;
  if (!IsAnswered) {
    if (!HadSilence)
      Node.Log.write(log_kind::Belief, "store_silent", {}, Node.Loop.now());
    IsInDoubt = true;
    HadSilence = true;
    // A silent store prices each call that it doesn't answer; the probes alone
    // tell when it is back.
    for (kind_follower &Follower : Followers)
      Follower.pause();
    Beliefs.noteTrouble();
    decide();
    return;
  }
  AnsweredAt = Node.Loop.now();
  if (IsInDoubt)
    takeReturn();
}

/// The store answers, for the first time or again.
void store_sync::takeReturn() {
  IsInDoubt = false;
  if (HadSilence) {
    Node.Log.write(log_kind::Belief, "store_answers", {}, Node.Loop.now());
    Beliefs.noteTrouble();
  }
  HadSilence = false;
  startFollowers();
}

/// Nothing in the store expires by itself: the objects of instances that are
/// gone would be listed, probed and counted for ever.
void store_sync::removeDead() {
  const instant Now = Node.Loop.now();
  const auto &Down = downMembers(Node.Fleet.Membership);
  std::erase_if(DownSince,
                [&](const auto &Entry) { return !Down.contains(Entry.first); });
  for (const std::string &Name : Down) {
    const instant Since = DownSince.try_emplace(Name, Now).first->second;
    if (Now - Since < GoneAfter || IsInDoubt || Cleaner.isBusy())
      continue;
    DownSince[Name] = Now;
    Node.Log.write(log_kind::Belief, "instance_gone", {{"peer", Name}}, Now);
    Cleaner.call(
        "DELETE",
        platform::encodeObjectPath(object_kind::Instance, Name, std::nullopt),
        {}, WriteTime, [](const store_answer & /*Answer*/) {});
  }
}

} // namespace amaranthhoist
