#include "control_server.h"

namespace amaranthhoist {

kj::Promise<void> control_server::changes(ChangesContext Context) {
  const auto Params = Context.getParams();
  const std::string Daemon = toString(Params.getDaemon());
  const duration Wait = std::chrono::milliseconds(Params.getWaitMs());
  auto Batch = this->Daemon.handleChanges(Daemon, Params.getEpoch(),
                                          Params.getSequence(), Wait);
  return Batch.then([Context](change_batch Result) mutable {
    auto Answer = Context.getResults();
    Answer.setEpoch(Result.Epoch);
    Answer.setSequence(Result.Sequence);
    writeItems(Result.Items,
               Answer.initItems(static_cast<unsigned>(Result.Items.size())));
    auto Down = Answer.initDown(static_cast<unsigned>(Result.Down.size()));
    for (unsigned Place = 0; Place < Down.size(); ++Place)
      Down.set(Place, Result.Down[Place]);
  });
}

static wire::UpdateResult resultToWire(update_result Result) {
  switch (Result) {
  case update_result::Written:
    return wire::UpdateResult::WRITTEN;
  case update_result::Conflict:
    return wire::UpdateResult::CONFLICT;
  case update_result::Uncertain:
    return wire::UpdateResult::UNCERTAIN;
  }
  return wire::UpdateResult::UNCERTAIN;
}

kj::Promise<void> control_server::update(UpdateContext Context) {
  const auto Params = Context.getParams();
  const item Item{toString(Params.getKey()), 0, Params.getDeleted(),
                  toString(Params.getValue())};
  return Daemon.handleUpdate(Item, Params.getBaseVersion())
      .then([Context](update_response Answer) mutable {
        Context.getResults().setResult(resultToWire(Answer.Result));
        Context.getResults().setVersion(Answer.Version);
      });
}

kj::Promise<void> control_server::announce(AnnounceContext Context) {
  Daemon.handleAnnounce(readItems(Context.getParams().getItems()));
  return kj::READY_NOW;
}

kj::Promise<void> control_server::replicate(ReplicateContext Context) {
  const auto Params = Context.getParams();
  Daemon.handleReplica(toString(Params.getFrom()),
                       readReplicaMessage(Params.getMessage()));
  return kj::READY_NOW;
}

kj::Promise<void> control_server::probe(ProbeContext Context) {
  const auto Params = Context.getParams();
  Daemon.handleProbe(toString(Params.getFrom()),
                     readMembershipMessage(Params.getMessage()));
  return kj::READY_NOW;
}

kj::Promise<void> control_server::held(HeldContext Context) {
  std::vector<std::string> Keys;
  for (const capnp::Text::Reader Key : Context.getParams().getKeys())
    Keys.push_back(toString(Key));
  const std::vector<key_version> Held = Daemon.held(Keys);
  auto Items =
      Context.getResults().initItems(static_cast<unsigned>(Held.size()));
  for (unsigned Place = 0; Place < Items.size(); ++Place) {
    Items[Place].setKey(Held[Place].Key);
    Items[Place].setVersion(Held[Place].Version);
  }
  return kj::READY_NOW;
}

kj::Promise<void> control_server::status(StatusContext Context) {
  Context.getResults().setJson(Daemon.statusJson());
  return kj::READY_NOW;
}

} // namespace amaranthhoist
