#include "own_object.h"

#include "codec.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr duration WriteTime = std::chrono::milliseconds(1'500);
/// After a failed write, doubled up to the longest: hundreds of new instances
/// may find the store away.
static constexpr duration FirstPause = std::chrono::milliseconds(500);
static constexpr duration LongestPause = std::chrono::seconds(4);
/// Until a write shows in the list, by a watcher's pause and two polls.
static constexpr duration AfterWrite = std::chrono::seconds(5);

own_object::own_object(node &Node, const beliefs &Beliefs)
    : Node(Node), Beliefs(Beliefs), Writer(Node, Node.Settings.Store),
      Pause(FirstPause) {}

const std::string *own_object::listed() const {
  const auto &Known =
      Beliefs.cache().Kinds[static_cast<std::size_t>(object_kind::Instance)];
  const auto Entry = Known.Entries.find(Node.Settings.Instance);
  const bool IsThere = Entry != Known.Entries.end() && !Entry->second.IsDeleted;
  return IsThere ? &Entry->second.Text : nullptr;
}

void own_object::maintain() {
  if (Node.IsLeaving || Writer.isBusy() || Node.Loop.now() < NextAt)
    return;
  const std::string *Listed = listed();
  if (Listed) {
    const auto Member = platform::decodeMember(*Listed);
    if (Member && *Member == Node.Fleet.Own)
      return;
  }
  write(!Listed && !IsThere);
}

void own_object::write(bool IsAbsent) {
  const std::string Path =
      IsAbsent
          ? platform::encodeKindPath(object_kind::Instance)
          : platform::encodeObjectPath(object_kind::Instance,
                                       Node.Settings.Instance, std::nullopt);
  Writer.call(
      IsAbsent ? "POST" : "PUT", Path, platform::encodeMember(Node.Fleet.Own),
      WriteTime,
      [this, IsAbsent](const store_answer &Answer) { take(Answer, IsAbsent); });
}

void own_object::take(const store_answer &Answer, bool WasCreation) {
  // A creation that finds the object there may be a repeat of one whose answer
  // was lost, or the list may be old.
  IsThere =
      WasCreation ? Answer.Status == 409 : Answer.Status != 404 && IsThere;
  if (Answer.Status / 100 == 2) {
    Pause = FirstPause;
    NextAt = Node.Loop.now() + AfterWrite;
    return;
  }
  Node.Log.write(log_kind::Belief, "registration_failed",
                 {{"status", static_cast<std::int64_t>(Answer.Status)}},
                 Node.Loop.now());
  NextAt = Node.Loop.now() + Pause;
  Pause = std::min(Pause * 2, LongestPause);
}

} // namespace amaranthhoist
