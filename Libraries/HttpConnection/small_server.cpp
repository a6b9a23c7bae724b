#include "HttpConnection/small_server.h"

#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"
#include "Text/text.h"

#include <cctype>
#include <unistd.h>

namespace amaranthhoist {

/// Maximum size of a request head in bytes.
static constexpr std::size_t MaxHeadBytes = 16'384;
/// Connections without a complete request for this long are closed.
static constexpr duration IdleTimeout = std::chrono::seconds(15);

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

/// A client connection of a small_server.
class small_connection : public retirable, private stream_owner {
public:
  small_connection(small_server &Server, event_loop &Loop)
      : Server(Server), Loop(Loop), Stream(Loop, *this),
        Reader(message_kind::Request, MaxHeadBytes) {}
  ~small_connection() override { Loop.cancel(IdleTimer); }

  bool open(int Descriptor) {
    restartIdleTimer();
    return Stream.open(Descriptor, /*IsConnected=*/true);
  }

private:
  void restartIdleTimer() {
    Loop.cancel(IdleTimer);
    IdleTimer = Loop.runAfter(IdleTimeout, [this] { closeIdle(); });
  }

  void closeIdle() {
    Stream.close();
    Server.removeConnection(*this);
  }

  void onDisconnect(disconnect_reason /*Reason*/) override {
    Server.removeConnection(*this);
  }

  void onBytes(std::string_view Bytes) override {
    while (!Bytes.empty() && Stream.isOpen()) {
      Bytes.remove_prefix(Reader.feed(Bytes));
      Reader.body().clear();
      switch (Reader.state()) {
      case read_state::InHead:
      case read_state::InBody:
        return;
      case read_state::Malformed:
      case read_state::HeadTooLarge:
        respond({400, "application/json", "{}"}, /*KeepAlive=*/false);
        return;
      case read_state::Complete:
        handleRequest();
        Reader.reset();
      }
    }
  }

  void handleRequest() {
    const std::string_view Target = Reader.head().target();
    const std::size_t Mark = Target.find('?');
    const std::string_view Query = Mark == std::string_view::npos
                                       ? std::string_view()
                                       : Target.substr(Mark + 1);
    respond(Server.Handler(Target.substr(0, Mark), Query),
            Reader.isKeepAlive());
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
    Stream.write(Text);
    restartIdleTimer();
    if (!KeepAlive)
      Stream.shutdownWhenFlushed();
  }

  small_server &Server;
  event_loop &Loop;
  stream Stream;
  message_reader Reader;
  timer_id IdleTimer = 0;
};

small_server::small_server(event_loop &Loop, small_request_handler Handler)
    : Loop(Loop), Handler(std::move(Handler)) {}

small_server::~small_server() {
  if (Listener >= 0)
    close(Listener);
}

result<bool> small_server::listen(const endpoint &Endpoint) {
  Listener = TRY(listenOn(Endpoint));
  if (!Loop.watch(Listener, *this))
    return fail(error_code::Unavailable,
                "cannot add the listening socket to epoll");
  return true;
}

void small_server::onEvent(const io_event & /*Event*/) {
  bool OutOfDescriptors = false;
  for (;;) {
    const int Descriptor = acceptConnection(Listener, OutOfDescriptors);
    if (Descriptor < 0)
      return;
    auto Connection = std::make_unique<small_connection>(*this, Loop);
    small_connection *Raw = Connection.get();
    Connections.emplace(Raw, std::move(Connection));
    if (!Raw->open(Descriptor))
      removeConnection(*Raw);
  }
}

void small_server::removeConnection(small_connection &Connection) {
  auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  Loop.retire(std::move(Found->second));
  Connections.erase(Found);
}

} // namespace amaranthhoist
