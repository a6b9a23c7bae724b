#include "ControlLink/control_link.h"

#include "Logging/logging.h"
#include "Protocol/protocol.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr std::uint32_t PollWaitMs = 2'000;
static constexpr duration PollTimeout = std::chrono::milliseconds(4'000);
static constexpr duration RetryDelay = std::chrono::milliseconds(100);
static constexpr duration UpdateTimeout = std::chrono::milliseconds(5'000);

control_link::control_link(rpc_loop &Loop, std::string Address,
                           link_identity Identity, view_listener Listener)
    : Loop(Loop), Address(std::move(Address)), Identity(std::move(Identity)),
      Listener(std::move(Listener)) {}

void control_link::start() {
  Loop.run([this] { poll(); });
}

void control_link::poll() {
  auto Request = Loop.peer<wire::Control>(Address).changesRequest();
  Request.setEpoch(Epoch);
  Request.setSequence(Sequence);
  Request.setWaitMs(PollWaitMs);
  Request.setDaemon(splitKey(Identity.Key).Kind);
  kj::Promise<capnp::Response<wire::Control::ChangesResults>> Call =
      Request.send();
  Loop.keep(
      Loop.within(PollTimeout, kj::mv(Call))
          .then(
              [this](capnp::Response<wire::Control::ChangesResults> Response)
                  -> kj::Promise<void> {
                Epoch = Response.getEpoch();
                Sequence = Response.getSequence();
                applyBatch(Response);
                poll();
                return kj::READY_NOW;
              },
              [this](kj::Exception &&) -> kj::Promise<void> {
                // The control restarts or does not respond. The current objects
                // stay in force.
                Loop.dropPeer(Address);
                return Loop.after(RetryDelay).then([this] { poll(); });
              }));
}

void control_link::applyBatch(wire::Control::ChangesResults::Reader Response) {
  const std::vector<item> Items = readItems(Response.getItems());
  std::set<std::string> Now;
  for (const capnp::Text::Reader Name : Response.getDown())
    Now.insert(toString(Name));
  const bool DownChanged = Now != Down;
  Down = std::move(Now);
  updateView(View, Items);
  registerIfNeeded();
  if (!Items.empty() || DownChanged)
    Listener({View, Items, Down, DownChanged});
}

void control_link::announceAll() {
  std::vector<item> Items;
  for (const auto &[Key, Item] : View.Items)
    Items.push_back(Item);
  Listener({View, Items, Down, true});
}

bool view_change::touches(std::string_view Kind) const {
  return std::any_of(Items.begin(), Items.end(), [&](const item &Item) {
    return splitKey(Item.Key).Kind == Kind;
  });
}

void control_link::registerIfNeeded() {
  if (Identity.Key.empty() || Incarnation != 0 || Writing || Unregistering)
    return;
  auto Held = View.Items.find(Identity.Key);
  const std::int64_t Base = Held == View.Items.end() ? 0 : Held->second.Version;
  if (Base != 0 && !Held->second.Deleted) {
    // The response to this daemon's write may have been lost after the write
    // took effect.
    const result<daemon_record> Record = parseDaemon(Held->second.Value);
    if (Record && Record->OperationId == Identity.Record.OperationId) {
      Incarnation = Base;
      announceAll();
      return;
    }
  }
  Writing = true;
  update(Identity.Key, formatDaemon(Identity.Record), Base, false,
         [this](update_result Result, std::int64_t Version) {
           Writing = false;
           if (Result != update_result::Written) {
             // Retried with the next batch of changes.
             return;
           }
           Incarnation = Version;
           logLine(log_level::Info, "registered",
                   {{"key", Identity.Key},
                    {"incarnation", std::to_string(Version)}});
           announceAll();
         });
}

void control_link::update(const std::string &Key, const std::string &Value,
                          std::int64_t BaseVersion, bool Deleted,
                          const update_listener &OnResult) {
  auto Request = Loop.peer<wire::Control>(Address).updateRequest();
  Request.setKey(Key);
  Request.setValue(Value);
  Request.setBaseVersion(BaseVersion);
  Request.setDeleted(Deleted);
  kj::Promise<capnp::Response<wire::Control::UpdateResults>> Call =
      Request.send();
  Loop.keep(
      Loop.within(UpdateTimeout, kj::mv(Call))
          .then(
              [OnResult](capnp::Response<wire::Control::UpdateResults> Answer) {
                switch (Answer.getResult()) {
                case wire::UpdateResult::WRITTEN:
                  OnResult(update_result::Written, Answer.getVersion());
                  return;
                case wire::UpdateResult::CONFLICT:
                  OnResult(update_result::Conflict, 0);
                  return;
                case wire::UpdateResult::UNCERTAIN:
                  OnResult(update_result::Uncertain, 0);
                  return;
                }
              },
              [OnResult](kj::Exception &&) {
                OnResult(update_result::Uncertain, 0);
              }));
}

void control_link::unregister() {
  Unregistering = true;
  if (Identity.Key.empty() || Incarnation == 0)
    return;
  update(Identity.Key, "", Incarnation, true,
         [](update_result, std::int64_t) {});
  Incarnation = 0;
}

} // namespace amaranthhoist
