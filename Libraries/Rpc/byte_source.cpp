#include "Rpc/byte_source.h"

#include <algorithm>
#include <future>

namespace amaranthhoist {

/// Maximum number of bytes in one message.
static constexpr std::uint32_t MaxPiece = 262'144;

namespace {

/// Fulfils a promise of the loop's thread once, from the thread of the pipe's
/// writer.
class ready_signal {
public:
  explicit ready_signal(kj::Own<kj::CrossThreadPromiseFulfiller<void>> Target)
      : Target(kj::mv(Target)) {}

  void fire() {
    if (!Fired.exchange(true))
      Target->fulfill();
  }

private:
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> Target;
  std::atomic<bool> Fired = false;
};

} // namespace

pipe_source::pipe_source(std::shared_ptr<byte_pipe> Pipe)
    : Pipe(std::move(Pipe)) {}

pipe_source::~pipe_source() noexcept(false) { Pipe->abandon(); }

static void answer(byte_pipe &Pipe,
                   capnp::CallContext<wire::ByteSource::ReadParams,
                                      wire::ByteSource::ReadResults>
                       Context) {
  const std::uint32_t Limit =
      std::min(Context.getParams().getLimit(), MaxPiece);
  byte_pipe::chunk Chunk = Pipe.tryPop(Limit);
  auto Results = Context.getResults();
  Results.setData(
      capnp::Data::Reader(reinterpret_cast<const kj::byte *>(Chunk.Data.data()),
                          Chunk.Data.size()));
  Results.setLast(Chunk.Last);
  Results.setBroken(Chunk.Broken);
}

kj::Promise<void> pipe_source::read(ReadContext Context) {
  if (Pipe->isReady()) {
    answer(*Pipe, Context);
    return kj::READY_NOW;
  }
  auto Paf = kj::newPromiseAndCrossThreadFulfiller<void>();
  auto Signal = std::make_shared<ready_signal>(kj::mv(Paf.fulfiller));
  Pipe->onReady([Signal] { Signal->fire(); });
  // The pipe may have become ready between the check and the subscription.
  if (Pipe->isReady())
    Signal->fire();
  return Paf.promise.then(
      [Held = Pipe, Context]() mutable { answer(*Held, Context); });
}

/// The result of one read, passed from the loop's thread to the reader's.
struct source_reply {
  std::string Data;
  bool Last = false;
  bool Broken = false;
};

static source_reply readOnce(rpc_loop &Loop, wire::ByteSource::Client &Source,
                             std::size_t Limit) {
  auto Reply = std::make_shared<std::promise<source_reply>>();
  auto Future = Reply->get_future();
  Loop.run([&] {
    auto Request = Source.readRequest();
    Request.setLimit(static_cast<std::uint32_t>(Limit));
    Loop.keep(Request.send().then(
        [Reply](capnp::Response<wire::ByteSource::ReadResults> Response) {
          const auto Data = Response.getData();
          Reply->set_value(
              {std::string(reinterpret_cast<const char *>(Data.begin()),
                           Data.size()),
               Response.getLast(), Response.getBroken()});
        },
        [Reply](kj::Exception &&) {
          Reply->set_value({{}, false, true});
        }));
  });
  return Future.get();
}

std::int64_t readFromSource(rpc_loop &Loop, wire::ByteSource::Client &Source,
                            std::span<char> Buffer) {
  while (true) {
    const source_reply Reply = readOnce(Loop, Source, Buffer.size());
    if (!Reply.Data.empty()) {
      std::copy(Reply.Data.begin(), Reply.Data.end(), Buffer.begin());
      return static_cast<std::int64_t>(Reply.Data.size());
    }
    if (Reply.Broken)
      return BodyBroken;
    if (Reply.Last)
      return BodyEnd;
  }
}

} // namespace amaranthhoist
