#include "store_sync.h"

#include "Fleet/relays.h"
#include "codec.h"

namespace amaranthhoist {

/// Time of a write, and between two tries.
static constexpr duration WriteTime = std::chrono::milliseconds(1'500);
static constexpr duration WriteAgain = std::chrono::milliseconds(500);
/// The store is asked for a sign of life this often. When it falls silent it
/// may forget the watches that wait there, without closing their connections:
/// a node would stay blind until they time out, while changes must be in force
/// 2.5 s after they were accepted.
static constexpr duration ProbePeriod = std::chrono::milliseconds(1'000);
static constexpr duration ProbePeriodInDoubt = std::chrono::milliseconds(300);
/// Longer than the store's answers take while it is slow.
static constexpr duration ProbeTime = std::chrono::milliseconds(700);
static constexpr duration DecisionPeriod = std::chrono::milliseconds(150);
/// Time that a new node gives the store before it asks its peers as well.
static constexpr duration StoreFirst = std::chrono::milliseconds(400);
/// A node that has just started keeps requests for so long at most: the lists
/// take two round trips over the longest links, 170 ms, and as much again when
/// all instances start together.
static constexpr duration LearnTime = std::chrono::milliseconds(400);
/// State older than this makes a node use the other ways as well.
static constexpr duration OldState = std::chrono::milliseconds(1'200);
/// A node that fell back on the store goes on with it for this long, so that a
/// flapping source doesn't cost a call for every flap.
static constexpr duration DirectAtLeast = std::chrono::seconds(3);
/// An instance that was down for so long is gone; its object is removed. Far
/// longer than a restart takes.
static constexpr duration GoneAfter = std::chrono::seconds(30);

store_sync::store_sync(node &Node)
    : Node(Node),
      Beliefs(Node), Followers{{{Node, Beliefs, object_kind::Configuration},
                                {Node, Beliefs, object_kind::Target},
                                {Node, Beliefs, object_kind::Evacuation},
                                {Node, Beliefs, object_kind::Instance}}},
      Relay(Node, Beliefs, [this] { return age(); }),
      Writer(Node, Node.Settings.Store), Prober(Node, Node.Settings.Store),
      Cleaner(Node, Node.Settings.Store) {}

void store_sync::start() {
  Started = Node.Loop.now();
  Node.LearnsUntil = Started + LearnTime;
  setDirect(true);
  // Nothing that could be waited for in vain is under way yet, so the lists
  // needn't wait for a first sign of life. With 35 ms one way to the store a
  // node knows what is in force 170 ms after its start, not after 330.
  IsInDoubt = false;
  for (kind_follower &Follower : Followers)
    Follower.startOrRestart();
  listInstances();
  Node.Loop.every(DecisionPeriod, [this] { decide(); });
}

duration store_sync::age() const {
  const instant Now = Node.Loop.now();
  if (IsDirect && !IsInDoubt && Beliefs.knowsAll())
    return duration::zero();
  return Now - std::max(AnsweredAt, Relay.freshAt());
}

store_view store_sync::view() const {
  return {IsDirect ? "store" : Relay.sourceName(), age(),
          Beliefs.configurationAge(), HadSilence, Beliefs.listIsSure()};
}

void store_sync::decide() {
  const instant Now = Node.Loop.now();
  const bool KnowsAll = Beliefs.knowsAll();
  const bool Watches = KnowsInstances && isWatcher(Node.Fleet);
  const bool IsOld = Now - Started > StoreFirst &&
                     Now - std::max(AnsweredAt, Relay.freshAt()) > OldState;
  if (!Watches && IsOld && KnowsAll)
    DirectUntil = Now + DirectAtLeast;
  // A whole list comes from the store; peers hand on what changes.
  setDirect(Watches || !KnowsAll || Now < DirectUntil);
  if ((!Watches && (KnowsAll || IsOld)) || IsInDoubt)
    Relay.start();
  else
    Relay.stop();
  if (Watches)
    removeDead();
}

void store_sync::setDirect(bool IsWanted) {
  if (IsWanted == IsDirect)
    return;
  IsDirect = IsWanted;
  // Calls to a silent store would hang unnoticed: it has to answer first.
  IsInDoubt = IsDirect;
  HadSilence = false;
  if (IsDirect)
    probe();
  else
    for (kind_follower &Follower : Followers)
      Follower.stop();
  Node.Log.write(log_kind::Belief,
                 IsDirect ? "asks_store_itself" : "asks_peers", {},
                 Node.Loop.now());
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
    Beliefs.noteTrouble();
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
  for (kind_follower &Follower : Followers)
    Follower.startOrRestart();
}

/// Learns who else there is, and whether this node is known to them.
void store_sync::listInstances() {
  Writer.call("GET", platform::encodeKindPath(object_kind::Instance), {},
              WriteTime, [this](const store_answer &Answer) {
                auto Page = platform::decodePage(Answer.Body);
                if (Answer.Status != 200 || !Page) {
                  Node.Loop.after(WriteAgain, [this] { listInstances(); });
                  return;
                }
                takeInstances(*Page);
              });
}

void store_sync::takeInstances(const list_page &Page) {
  KnowsInstances = true;
  bool IsAbsent = true;
  bool IsChanged = true;
  kind_changes Changes{object_kind::Instance, Page.AtRevision, true, {}};
  for (const stored_object &Object : Page.Items) {
    Changes.Changes.push_back(
        {Object.Name, false, Object.Revision, Object.Text});
    if (Object.Name != Node.Settings.Instance)
      continue;
    IsAbsent = false;
    const auto Known = platform::decodeMember(Object.Text);
    IsChanged = !Known || *Known != Node.Fleet.Own;
  }
  // A further page would be for more instances than one page holds, 500; the
  // rest then comes by the watch or from peers.
  Changes.IsFull = !Page.HasMore;
  Beliefs.take(std::move(Changes));
  if (IsChanged)
    Node.Loop.after(duration::zero(),
                    [this, IsAbsent] { registerNode(IsAbsent); });
}

/// Makes this node known to the others. An object of an earlier start that is
/// the same needs no write.
void store_sync::registerNode(bool Create) {
  const std::string Path =
      Create ? platform::encodeKindPath(object_kind::Instance)
             : platform::encodeObjectPath(object_kind::Instance,
                                          Node.Settings.Instance, std::nullopt);
  Writer.call(Create ? "POST" : "PUT", Path,
              platform::encodeMember(Node.Fleet.Own), WriteTime,
              [this, Create](const store_answer &Answer) {
                if (Answer.Status / 100 == 2)
                  return;
                // An earlier try may have been done without an answer.
                const bool CreateNext =
                    Answer.Status == 404 || (Create && Answer.Status != 409);
                Node.Loop.after(WriteAgain, [this, CreateNext] {
                  registerNode(CreateNext);
                });
              });
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
