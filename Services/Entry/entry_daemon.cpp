#include "entry_daemon.h"

#include "Daemon/daemon.h"
#include "Logging/logging.h"
#include "Rpc/byte_source.h"
#include "caller_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace amaranthhoist {

static constexpr duration TickPeriod = std::chrono::milliseconds(20);
static constexpr duration OfferPeriod = std::chrono::milliseconds(1'000);
/// Gateways whose offers are younger than this are not polled.
static constexpr duration MinOfferAge = std::chrono::milliseconds(1'000);
/// Gateways polled per period.
static constexpr std::size_t OffersPerPeriod = 2;
/// The age of a near gateway's offer is multiplied by this factor when it is
/// compared with that of a far one.
static constexpr int FarOfferWeight = 2;
static constexpr duration OfferTimeout = std::chrono::milliseconds(1'000);
static constexpr duration WitnessTimeout = std::chrono::milliseconds(2'000);
/// Added to a request's deadline, so that the gateway's own response arrives
/// before the call times out.
static constexpr duration CallGrace = std::chrono::milliseconds(500);

static link_identity identityOf(const instance_settings &Settings) {
  link_identity Identity;
  Identity.Key = objectKey(kinds::Entry, Settings.Instance);
  Identity.Record = {Settings.Instance,
                     Settings.Region,
                     Settings.FailureDomain,
                     Settings.Entry.Listen,
                     {},
                     makeOperationId()};
  return Identity;
}

static entry_settings nodeSettings(const instance_settings &Settings) {
  entry_settings Node;
  Node.Region = Settings.Region;
  for (const auto &[Region, Ms] : Settings.LinkMs)
    Node.LinkLatency[Region] = duration(static_cast<std::int64_t>(Ms * 1'000));
  Node.Seed = std::random_device()();
  return Node;
}

entry_daemon::entry_daemon(const instance_settings &Settings)
    : Settings(Settings),
      Control(Loop, Settings.Control.Listen, identityOf(Settings),
              [this](const view_change &Change) { applyView(Change); }) {
  for (entry_shard &Shard : Shards) {
    Shard.Node = makeEntry(nodeSettings(Settings));
    Shard.Actions = std::make_unique<action_queue<entry_action>>(
        Loop, [this, &Shard](entry_action &Action) { perform(Shard, Action); });
  }
}

entry_daemon::~entry_daemon() {
  Timers.stop();
  // Functions posted by the timer's last call refer to the shards, which are
  // destroyed before the loop.
  Loop.run([] {});
}

result<bool> entry_daemon::start() {
  http_server_options Options;
  Options.MaxConnections = static_cast<unsigned>(Settings.Entry.MaxConnections);
  Server = TRY(http_server::create(
      Settings.Entry.Listen,
      [this](http_head Head) -> std::unique_ptr<http_exchange> {
        return std::make_unique<caller_exchange>(*this, std::move(Head));
      },
      Options));
  Metrics.registerGauge("amaranthhoist_requests_in_progress", [this] {
    return static_cast<double>(InProgress.load());
  });
  Control.start();
  Timers.subscribe(TickPeriod, [this] { stepAll(entry_tick{}); });
  Timers.subscribe(OfferPeriod, [this] { Loop.run([this] { pollOffers(); }); });
  return true;
}

void entry_daemon::shutDown(duration Limit) {
  Loop.run([this] { Control.unregister(); });
  // Callers cache a look-up response for its TTL and may connect until it
  // expires.
  const instant Named =
      currentInstant() + std::chrono::milliseconds(Settings.Entry.LookupTtlMs);
  const instant Until = currentInstant() + Limit;
  while (currentInstant() < Until &&
         (currentInstant() < Named || InProgress != 0))
    std::this_thread::sleep_for(TickPeriod);
}

entry_shard &entry_daemon::shardOf(const std::string &Customer) {
  return Shards[stableHash(Customer) % ShardCount];
}

bool entry_daemon::isReady() { return Ready; }

/// Processes events on the loop's thread only, and performs the actions of each
/// event before it processes the next. Otherwise the actions of a later event
/// could overtake those of an earlier one: when a gateway was lost while a
/// request was still queued for the loop, the request's witness query was
/// dropped because the loop did not have the request yet, and the request ended
/// only at its deadline.
void entry_daemon::step(entry_shard &Shard, const entry_event &Event) {
  if (!Loop.isLoopThread()) {
    Loop.post([this, &Shard, Event] { step(Shard, Event); });
    return;
  }
  {
    const std::lock_guard Guard(Shard.Lock);
    Shard.Actions->append(stepEntry(Shard.Node, Event, currentInstant()));
  }
  Shard.Actions->drain();
}

void entry_daemon::stepAll(const entry_event &Event) {
  for (entry_shard &Shard : Shards)
    step(Shard, Event);
}

void entry_daemon::perform(entry_shard &Shard, const entry_action &Action) {
  if (const auto *Forward = std::get_if<forward_request>(&Action))
    forward(Shard, *Forward);
  else if (const auto *Ask = std::get_if<query_witness>(&Action))
    queryWitness(Shard, *Ask);
  else if (const auto *Finish = std::get_if<finish_caller>(&Action))
    finish(*Finish);
}

std::string entry_daemon::addressOf(const std::string &NodeId) const {
  const auto Name = splitNodeId(NodeId);
  if (!Name)
    return {};
  auto Found = Gateways.find(Name->Instance);
  if (Found == Gateways.end() || Found->second.Incarnation != Name->Incarnation)
    return {};
  return Found->second.Address;
}

static void writeWork(const entry_request &Held, const forward_request &Action,
                      const std::string &Region,
                      wire::WorkRequest::Builder Work) {
  Work.setRequestId(Held.Request.RequestId);
  Work.setNode(Action.Gateway);
  Work.setCustomer(Held.Request.Customer);
  Work.setService(Held.Request.Service);
  Work.setIdempotent(Held.Request.Class == work_class::Idempotent);
  Work.setKey(Held.Request.Key);
  Work.setSourceRegion(Region);
  Work.setPriority(Action.Priority);
  Work.setWeight(Action.Weight);
  Work.setRemainingUs((Action.Deadline - currentInstant()).count());
  Work.setMethod(Held.Method);
  Work.setPath(Held.Path);
  Work.setContentType(Held.ContentType);
  Work.setBody(capnp::Data::Reader(
      reinterpret_cast<const kj::byte *>(Held.Body.data()), Held.Body.size()));
}

void entry_daemon::forward(entry_shard &Shard, const forward_request &Action) {
  auto Found = Requests.find(Action.Token);
  if (Found == Requests.end())
    return;
  entry_request &Held = *Found->second;
  const std::uint64_t Token = Action.Token;
  const std::string Address = addressOf(Action.Gateway);
  Held.Gateway = Action.Gateway;
  // A long body is streamed and can be sent only once.
  if (Address.empty() || (Held.Upload && Held.UploadStarted)) {
    step(Shard, gateway_failed{Token, Held.UploadStarted, false});
    return;
  }
  auto Request = Loop.peer<wire::Gateway>(Address).runRequest();
  writeWork(Held, Action, Settings.Region, Request.initRequest());
  if (Held.Upload) {
    Held.UploadStarted = true;
    Request.getRequest().setSource(kj::heap<pipe_source>(Held.Upload));
  }
  kj::Promise<capnp::Response<wire::Gateway::RunResults>> Call = Request.send();
  const duration Limit = Action.Deadline - currentInstant() + CallGrace;
  replaceCall(
      Held,
      Loop.within(Limit, kj::mv(Call))
          .then(
              [this, &Shard,
               Token](capnp::Response<wire::Gateway::RunResults> Response) {
                handleResponse(Shard, Token, Response.getAnswer());
              },
              [this, &Shard, Token, Address](kj::Exception &&Exception) {
                // Only a failed connect proves that nothing was sent. It cannot
                // be distinguished here, so the request is assumed to have been
                // sent.
                if (Exception.getType() == kj::Exception::Type::DISCONNECTED)
                  Loop.dropPeer(Address);
                step(Shard, gateway_failed{Token, true, false});
              })
          .eagerlyEvaluate(nullptr));
}

void entry_daemon::handleResponse(entry_shard &Shard, std::uint64_t Token,
                                  wire::Answer::Reader Answer) {
  applyOffers(Answer.getOffers());
  if (Answer.getNoSuchNode()) {
    step(Shard, gateway_failed{Token, false, false});
    return;
  }
  auto Found = Requests.find(Token);
  if (Found == Requests.end())
    return;
  const outcome Outcome = fromWire(Answer.getOutcome());
  if (Outcome == outcome::Answered) {
    received_response Received;
    Received.Status = Answer.getStatus();
    Received.ContentType = toString(Answer.getContentType());
    const auto Body = Answer.getBody();
    Received.Body.assign(reinterpret_cast<const char *>(Body.begin()),
                         Body.size());
    Received.Length = Answer.getLength();
    if (Answer.hasRest())
      Received.Rest = Answer.getRest();
    Found->second->Response = std::move(Received);
  }
  step(Shard, gateway_responded{Token, Outcome, toString(Answer.getReason()),
                                duration(Answer.getRetryAfterUs())});
}

void entry_daemon::queryWitness(entry_shard &Shard,
                                const query_witness &Action) {
  auto Found = Requests.find(Action.Token);
  if (Found == Requests.end())
    return;
  const std::uint64_t Token = Action.Token;
  const std::string Address = addressOf(Action.Witness);
  if (Address.empty()) {
    step(Shard, witness_failed{Token});
    return;
  }
  auto Request = Loop.peer<wire::Gateway>(Address).sealRequest();
  Request.setNode(Action.Witness);
  Request.setKey(Action.Key);
  kj::Promise<capnp::Response<wire::Gateway::SealResults>> Call =
      Request.send();
  replaceCall(
      *Found->second,
      Loop.within(WitnessTimeout, kj::mv(Call))
          .then(
              [this, &Shard,
               Token](capnp::Response<wire::Gateway::SealResults> Response) {
                const auto Answer = Response.getAnswer();
                if (Answer.getNoSuchNode())
                  step(Shard, witness_failed{Token});
                else
                  step(Shard,
                       witness_responded{Token, fromWire(Answer.getOutcome()),
                                         duration(Answer.getRetryAfterUs())});
              },
              [this, &Shard, Token](kj::Exception &&) {
                step(Shard, witness_failed{Token});
              })
          .eagerlyEvaluate(nullptr));
}

/// Replaces the call in flight. The old call may be the one whose callback is
/// running: a promise that destroys itself in its own callback throws, and the
/// request would wait for its deadline. The old call is therefore released in a
/// later turn of the loop.
void entry_daemon::replaceCall(entry_request &Held,
                               kj::Maybe<kj::Promise<void>> Fresh) {
  KJ_IF_MAYBE (Old, Held.Call) {
    Loop.keep(kj::Promise<void>(kj::READY_NOW).attach(kj::mv(*Old)));
  }
  Held.Call = kj::mv(Fresh);
}

void entry_daemon::finish(const finish_caller &Action) {
  auto Found = Requests.find(Action.Token);
  if (Found == Requests.end())
    return;
  std::shared_ptr<entry_request> Held = std::move(Found->second);
  Requests.erase(Found);
  --InProgress;
  replaceCall(*Held, nullptr);
  const std::lock_guard Guard(Held->Lock);
  Held->End = Action;
  Held->Done = true;
  Held->Changed.notify_all();
}

void entry_daemon::submit(const std::shared_ptr<entry_request> &Request) {
  ++InProgress;
  Loop.post([this, Request] {
    Requests[Request->Request.Token] = Request;
    step(shardOf(Request->Request.Customer), Request->Request);
  });
}

void entry_daemon::onCallerDisconnected(
    const std::shared_ptr<entry_request> &Request) {
  // Waits for the loop: the caller's thread reads the response afterwards.
  Loop.run([&] {
    const std::uint64_t Token = Request->Request.Token;
    step(shardOf(Request->Request.Customer), caller_disconnected{Token});
    if (Requests.erase(Token) != 0)
      --InProgress;
    replaceCall(*Request, nullptr);
  });
}

std::int64_t entry_daemon::readRest(wire::ByteSource::Client &Source,
                                    std::span<char> Buffer) {
  return readFromSource(Loop, Source, Buffer);
}

void entry_daemon::releaseBody(received_response &Answer) {
  if (Answer.Rest)
    Loop.run([&] { Answer.Rest.reset(); });
}

void entry_daemon::applyOffers(capnp::List<wire::Offer>::Reader Offers) {
  const instant Now = currentInstant();
  for (const service_offer &Offer : readOffers(Offers, Now)) {
    stepAll(offer_received{Offer.Service, Offer.Offer});
    const auto Name = splitNodeId(Offer.Offer.Gateway);
    auto Gateway = Name ? Gateways.find(Name->Instance) : Gateways.end();
    if (Gateway != Gateways.end())
      Gateway->second.OffersUpdatedAt = Now;
  }
}

/// Polls gateways for offers. Offers are piggybacked on responses; only
/// gateways without a recent offer are polled, the oldest first and near
/// gateways before far ones, with a fixed number per period. The cost for a
/// node does not grow with the fleet.
void entry_daemon::pollOffers() {
  const instant Now = currentInstant();
  std::vector<known_gateway *> Due;
  for (auto &[Instance, Gateway] : Gateways)
    if (Now - Gateway.OffersUpdatedAt >= MinOfferAge)
      Due.push_back(&Gateway);
  const auto Urgency = [Now](const known_gateway *Gateway) {
    const duration Age = Now - Gateway->OffersUpdatedAt;
    return Gateway->Near ? FarOfferWeight * Age : Age;
  };
  const std::size_t Count = std::min(Due.size(), OffersPerPeriod);
  std::partial_sort(Due.begin(), Due.begin() + static_cast<long>(Count),
                    Due.end(), [&](const auto *Left, const auto *Right) {
                      return Urgency(Left) > Urgency(Right);
                    });
  for (std::size_t Place = 0; Place < Count; ++Place) {
    Due[Place]->OffersUpdatedAt = Now;
    requestOffers(Due[Place]->Address);
  }
}

void entry_daemon::requestOffers(const std::string &Address) {
  kj::Promise<capnp::Response<wire::Gateway::OffersResults>> Call =
      Loop.peer<wire::Gateway>(Address).offersRequest().send();
  Loop.keep(
      Loop.within(OfferTimeout, kj::mv(Call))
          .then(
              [this](capnp::Response<wire::Gateway::OffersResults> Response) {
                applyOffers(Response.getOffers());
              },
              [this, Address](kj::Exception &&) { Loop.dropPeer(Address); }));
}

std::string entry_daemon::explain(const std::string &Customer,
                                  const std::string &Service) {
  using json = nlohmann::ordered_json;
  const instant Now = currentInstant();
  entry_shard &Shard = shardOf(Customer);
  const std::lock_guard Guard(Shard.Lock);
  entry_node &Node = Shard.Node;
  const std::vector<const offer *> Ranked =
      candidateOffers(Node, Customer, Service, Now);
  std::set<std::string> Sites;
  for (const offer *Offer : Ranked)
    Sites.insert(Offer->Site);
  const std::vector<std::string> SiteList(Sites.begin(), Sites.end());
  const std::string Preferred = preferredSite(SiteList, Customer);
  json Result = {{"customer", Customer},
                 {"service", Service},
                 {"contract", Node.Contracts.contains(Customer)},
                 {"preferred_site", Preferred},
                 {"offers", json::array()}};
  for (const offer *Offer : Ranked)
    Result["offers"].push_back(
        {{"site", Offer->Site},
         {"gateway", Offer->Gateway},
         {"free_units", Offer->FreeUnits},
         {"cost_us",
          offerCost(*Offer, Customer, Preferred, Node.Settings.Routing, Now)
              .count()},
         {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - Offer->ReceivedAt)
                        .count()},
         {"suspect", Offer->Suspect}});
  return Result.dump();
}

} // namespace amaranthhoist
