#include "HttpConnection/small_server.h"

#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"
#include "Text/text.h"

namespace amaranthhoist {

/// Maximum size of a request head in bytes.
static constexpr std::size_t MaxHeadBytes = 16'384;
/// A connection with its timer, and its place in the server.
static constexpr std::size_t ConnectionBytes = 1'536;
/// Connections without a complete request for this long are closed.
static constexpr duration IdleTimeout = std::chrono::seconds(15);
/// Requests of one connection that are answered in one iteration of the loop.
static constexpr int MaxRequestsPerTurn = 8;
/// A client that has taken nothing for this long may be closed for a new one.
static constexpr duration StallTime = std::chrono::seconds(1);
/// No request needs a body.
static constexpr std::uint64_t MaxBodyBytes = 16'384;

static std::string percentDecode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const auto Code = Text[At] == '%' && At + 2 < Text.size()
                          ? parseHex(Text.substr(At + 1, 2))
                          : std::nullopt;
    if (Code) {
      Decoded.push_back(static_cast<char>(*Code));
      At += 2;
    } else {
      Decoded.push_back(Text[At] == '+' ? ' ' : Text[At]);
    }
  }
  return Decoded;
}

std::string queryValue(std::string_view Query, std::string_view Name) {
  for (std::string_view Pair : split(Query, '&')) {
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return percentDecode(Pair.substr(Equals + 1));
  }
  return {};
}

/// A client connection of a small_server. It answers one request at a time: the
/// next when the kernel has accepted the response to the one before it.
class small_connection : public retirable,
                         public memory_holder,
                         private stream_owner {
public:
  small_connection(small_server &Server, event_loop &Loop,
                   const small_server_resources &Resources)
      : Server(Server), Loop(Loop), Resources(Resources),
        Memory(Resources.Memory), Stream(Loop, *this),
        Reader(message_kind::Request, MaxHeadBytes) {
    Resources.Memory.Holders.insert(this);
    updateMemory();
  }
  ~small_connection() override {
    Resources.Memory.Holders.erase(this);
    Loop.cancel(IdleTimer);
    Resources.Turns.cancel(Turn);
  }

  [[nodiscard]] std::size_t heldBytes() const override {
    return Memory.bytes();
  }

  /// Whether nothing is unsent, or the client takes nothing of it.
  [[nodiscard]] bool isInactive() const {
    return Stream.pendingBytes() == 0 ||
           Loop.now() - LastActivityAt >= StallTime;
  }

  void drop() override {
    Stream.closeWithReset();
    Server.removeConnection(*this);
  }

  bool open(int Descriptor) {
    Stream.limitReads(inputAllowance(Resources.Memory));
    recordActivity();
    restartIdleTimer();
    return Stream.open(Descriptor, /*IsConnected=*/true);
  }

private:
  void restartIdleTimer() {
    Loop.cancel(IdleTimer);
    IdleTimer = Loop.runAfter(IdleTimeout, [this] { closeIdle(); });
  }

  void recordActivity() {
    LastActivityAt = Loop.now();
    Server.Connections.touch(*this);
  }

  void updateMemory() {
    Memory.set(ConnectionBytes + Input.capacity() + Reader.headMemory() +
               Stream.pendingBytes());
  }

  void closeIdle() {
    Stream.close();
    Server.removeConnection(*this);
  }

  void onDisconnect(disconnect_reason /*Reason*/) override {
    Server.removeConnection(*this);
  }

  void onBytes(std::string_view Bytes) override {
    if (IsClosing)
      return;
    recordActivity();
    Input.append(Bytes);
    processInput();
  }

  void onPartlyFlushed() override {
    recordActivity();
    updateMemory();
  }

  void onFlushed() override {
    recordActivity();
    processInput();
  }

  /// Answers requests that were read, and reads more once none are left.
  void processInput() {
    if (Turn == 0)
      answerRequests();
    if (Input.empty())
      Input.shrink_to_fit();
    updateMemory();
    Stream.limitReads(inputAllowance(Resources.Memory));
    if (Input.empty())
      Stream.resume();
    else
      Stream.pause();
  }

  void answerRequests() {
    std::size_t Taken = 0;
    while (Taken < Input.size() && !IsClosing && Stream.isOpen() &&
           Stream.pendingBytes() == 0) {
      if (!mayAnswerNow()) {
        waitForTurn();
        break;
      }
      Taken += feedReader(std::string_view(Input).substr(Taken));
    }
    Input.erase(0, IsClosing ? Input.size() : Taken);
  }

  bool mayAnswerNow() {
    if (AnsweredIn != Loop.iteration()) {
      AnsweredIn = Loop.iteration();
      Answered = 0;
    }
    return Answered < MaxRequestsPerTurn;
  }

  void waitForTurn() {
    Turn = Resources.Turns.add([this] {
      Turn = 0;
      processInput();
    });
  }

  std::size_t feedReader(std::string_view Bytes) {
    const std::size_t Taken = Reader.feed(Bytes);
    BodyBytes += Reader.body().size();
    Reader.body().clear();
    const read_state State = Reader.state();
    if (State == read_state::Malformed || State == read_state::HeadTooLarge)
      respond({400, "application/json", "{}"}, /*KeepAlive=*/false);
    else if (BodyBytes > MaxBodyBytes)
      respond({413, "application/json", "{}"}, /*KeepAlive=*/false);
    else if (State == read_state::Complete)
      handleRequest();
    return Taken;
  }

  void handleRequest() {
    const std::string_view Target = Reader.head().target();
    const std::size_t Mark = Target.find('?');
    const std::string_view Query = Mark == std::string_view::npos
                                       ? std::string_view()
                                       : Target.substr(Mark + 1);
    ++Answered;
    respond(Server.Handler(Target.substr(0, Mark), Query),
            Reader.isKeepAlive());
    Reader.reset();
    BodyBytes = 0;
  }

  void respond(const small_response &Response, bool KeepAlive) {
    std::string Text;
    append(Text, "HTTP/1.1 ", Response.Status, " ",
           reasonPhrase(Response.Status),
           "\r\nContent-Type: ", Response.ContentType,
           "\r\nContent-Length: ", Response.Body.size(), "\r\n");
    if (!KeepAlive)
      appendField(Text, "Connection", "close");
    append(Text, "\r\n", Response.Body);
    // Before the response may be flushed, which would process more requests.
    IsClosing = !KeepAlive;
    Stream.write(Text);
    restartIdleTimer();
    if (IsClosing)
      Stream.shutdownWhenFlushed();
  }

  small_server &Server;
  event_loop &Loop;
  small_server_resources Resources;
  memory_share Memory;
  stream Stream;
  message_reader Reader;
  /// Bytes that were read and not parsed.
  std::string Input;
  /// Body bytes of the request that is being read.
  std::uint64_t BodyBytes = 0;
  /// Set while requests wait for their turn.
  turn_id Turn = 0;
  /// Requests answered in the iteration of the loop with this number.
  int Answered = 0;
  std::uint64_t AnsweredIn = 0;
  timer_id IdleTimer = 0;
  instant LastActivityAt{};
  /// The last response was written, and nothing behind its request is read.
  bool IsClosing = false;
};

small_server::small_server(event_loop &Loop,
                           const small_server_resources &Resources,
                           small_request_handler Handler)
    : Loop(Loop), Resources(Resources), Handler(std::move(Handler)),
      Listener(Loop, *this) {}

small_server::~small_server() = default;

std::size_t small_server::connectionCount() const { return Connections.size(); }

bool small_server::closeInactive() {
  small_connection *Inactive = Connections.findInactive();
  if (!Inactive)
    return false;
  Inactive->drop();
  return true;
}

void small_server::onAccepted(int Descriptor) {
  auto Connection = std::make_unique<small_connection>(*this, Loop, Resources);
  small_connection *Raw = Connection.get();
  Connections.add(std::move(Connection));
  if (!Raw->open(Descriptor))
    removeConnection(*Raw);
}

void small_server::removeConnection(small_connection &Connection) {
  if (auto Removed = Connections.remove(Connection))
    Loop.retire(std::move(Removed));
}

} // namespace amaranthhoist
