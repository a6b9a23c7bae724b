#include "gateway_server.h"

#include "Rpc/byte_source.h"

namespace amaranthhoist {

static work_request readWork(wire::WorkRequest::Reader Request) {
  work_request Work;
  Work.RequestId = toString(Request.getRequestId());
  Work.Customer = toString(Request.getCustomer());
  Work.Service = toString(Request.getService());
  Work.Class = Request.getIdempotent() ? work_class::Idempotent
                                       : work_class::NonIdempotent;
  Work.Key = toString(Request.getKey());
  Work.SourceRegion = toString(Request.getSourceRegion());
  Work.Priority = Request.getPriority();
  Work.Weight = Request.getWeight();
  Work.Deadline = currentInstant() + duration(Request.getRemainingUs());
  return Work;
}

static std::shared_ptr<request_payload>
readPayload(wire::WorkRequest::Reader Request) {
  auto Payload = std::make_shared<request_payload>();
  Payload->RequestId = toString(Request.getRequestId());
  Payload->Customer = toString(Request.getCustomer());
  Payload->Service = toString(Request.getService());
  Payload->Method = toString(Request.getMethod());
  Payload->Path = toString(Request.getPath());
  Payload->ContentType = toString(Request.getContentType());
  Payload->Key = toString(Request.getKey());
  Payload->Class = Request.getIdempotent() ? work_class::Idempotent
                                           : work_class::NonIdempotent;
  const auto Body = Request.getBody();
  Payload->Body.assign(reinterpret_cast<const char *>(Body.begin()),
                       Body.size());
  if (Request.hasSource())
    Payload->Source = Request.getSource();
  Payload->Arrived = currentInstant();
  return Payload;
}

static void writeResponse(const gateway_response &Answer,
                          std::span<const service_offer> Offers,
                          wire::Answer::Builder Builder) {
  Builder.setOutcome(toWire(Answer.Outcome));
  Builder.setReason(Answer.Reason);
  Builder.setRetryAfterUs(Answer.RetryAfter.count());
  Builder.setStatus(static_cast<std::uint16_t>(Answer.Response.Status));
  Builder.setContentType(Answer.Response.ContentType);
  Builder.setLength(Answer.Length);
  const std::string &Body = Answer.Response.Body;
  Builder.setBody(capnp::Data::Reader(
      reinterpret_cast<const kj::byte *>(Body.data()), Body.size()));
  if (Answer.Rest)
    Builder.setRest(kj::heap<pipe_source>(Answer.Rest));
  Builder.setNoSuchNode(Answer.NoSuchNode);
  writeOffers(Offers, Builder.initOffers(static_cast<unsigned>(Offers.size())));
}

kj::Promise<void> gateway_server::run(RunContext Context) {
  const wire::WorkRequest::Reader Request = Context.getParams().getRequest();
  const std::string Node = toString(Request.getNode());
  auto Answer = Daemon.handleRun(Node, readWork(Request), readPayload(Request));
  Context.releaseParams();
  // A dropped call means that the caller has disconnected.
  Context.allowCancellation();
  return Answer.then([this, Context](const gateway_response &Result) mutable {
    writeResponse(Result, Daemon.offers(), Context.getResults().initAnswer());
  });
}

kj::Promise<void> gateway_server::seal(SealContext Context) {
  auto Answer = Daemon.handleSeal(toString(Context.getParams().getNode()),
                                  toString(Context.getParams().getKey()));
  return Answer.then([Context](const gateway_response &Result) mutable {
    writeResponse(Result, {}, Context.getResults().initAnswer());
  });
}

kj::Promise<void> gateway_server::offers(OffersContext Context) {
  const std::vector<service_offer> Offers = Daemon.offers();
  writeOffers(Offers, Context.getResults().initOffers(
                          static_cast<unsigned>(Offers.size())));
  return kj::READY_NOW;
}

kj::Promise<void> gateway_server::deliver(DeliverContext Context) {
  const auto Params = Context.getParams();
  Daemon.handlePeerMessage(toString(Params.getFrom()), toString(Params.getTo()),
                           readPeerMessage(Params.getMessage()));
  return kj::READY_NOW;
}

kj::Promise<void> gateway_server::status(StatusContext Context) {
  Context.getResults().setJson(Daemon.statusJson());
  return kj::READY_NOW;
}

} // namespace amaranthhoist
