#include "Http/http.h"

#include "HttpMessage/framing.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <curl/curl.h>

namespace amaranthhoist {

namespace {

/// The state of one call while libcurl performs it.
struct running_call {
  const http_call &Call;
  http_call_result &Result;
  CURL *Handle;
  bool HeadSeen = false;
  head_lines Lines{};
  bool IsMalformed = false;
};

} // namespace

static void initialiseOnce() {
  static const bool Done = [] {
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
  }();
  (void)Done;
}

http_client::http_client() {
  initialiseOnce();
  Handle = curl_easy_init();
}

http_client::~http_client() { curl_easy_cleanup(Handle); }

/// Checks a line of a head or of a trailer, of which libcurl accepts malformed
/// ones: any status of three digits, and any name of a field.
static bool isValidLine(running_call &Running, std::string_view Line) {
  // Fields after the head are those of a trailer.
  Running.Lines.IsComplete = false;
  return readLines(Running.Lines, Line) == Line.size();
}

static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                            void *Closure) {
  auto &Running = *static_cast<running_call *>(Closure);
  const std::string_view Line(Data, Size * Count);
  // Each response head begins with a status line. The head of an interim
  // response is replaced.
  if (Line.starts_with("HTTP/")) {
    Running.Result.Headers.clear();
    Running.Lines = {};
    Running.Lines.Grammar.Kind = message_kind::Response;
  }
  if (!isValidLine(Running, Line)) {
    Running.IsMalformed = true;
    return 0;
  }
  const std::size_t Colon = Line.find(':');
  if (Colon != std::string_view::npos)
    Running.Result
        .Headers[absl::AsciiStrToLower(std::string(Line.substr(0, Colon)))] =
        std::string(
            absl::StripAsciiWhitespace(std::string(Line.substr(Colon + 1))));
  return Line.size();
}

static void announceHead(running_call &Running) {
  if (Running.HeadSeen)
    return;
  Running.HeadSeen = true;
  long Status = 0;
  curl_easy_getinfo(Running.Handle, CURLINFO_RESPONSE_CODE, &Status);
  Running.Result.Status = static_cast<int>(Status);
  if (Running.Call.OnHead)
    Running.Call.OnHead(Running.Result.Status, Running.Result.Headers);
}

static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                          void *Closure) {
  auto &Running = *static_cast<running_call *>(Closure);
  announceHead(Running);
  const std::string_view Piece(Data, Size * Count);
  if (!Running.Call.OnBody) {
    Running.Result.Body.append(Piece);
    return Piece.size();
  }
  return Running.Call.OnBody(Piece) ? Piece.size() : 0;
}

static std::size_t giveBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Closure) {
  auto &Running = *static_cast<running_call *>(Closure);
  const std::int64_t Got =
      Running.Call.BodySource(std::span<char>(Data, Size * Count));
  if (Got == BodyEnd)
    return 0;
  return Got < 0 ? CURL_READFUNC_ABORT : static_cast<std::size_t>(Got);
}

static int checkAbort(void *Closure, curl_off_t, curl_off_t, curl_off_t,
                      curl_off_t) {
  const auto &Running = *static_cast<running_call *>(Closure);
  return Running.Call.Abort && Running.Call.Abort->load() ? 1 : 0;
}

static call_end endOf(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return call_end::Complete;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
    return call_end::NotConnected;
  case CURLE_ABORTED_BY_CALLBACK:
  case CURLE_WRITE_ERROR:
    return call_end::Aborted;
  default:
    return call_end::Broken;
  }
}

static curl_slist *makeHeaders(const http_call &Call) {
  // Disables "Expect: 100-continue", which costs a round trip.
  curl_slist *List = curl_slist_append(nullptr, "Expect:");
  std::string Line;
  for (const auto &[Name, Value] : Call.Headers) {
    Line.assign(Name).append(": ").append(Value);
    List = curl_slist_append(List, Line.c_str());
  }
  return List;
}

static void setBody(CURL *Handle, const http_call &Call,
                    running_call &Running) {
  if (Call.BodySource) {
    curl_easy_setopt(Handle, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(Handle, CURLOPT_READFUNCTION, giveBody);
    curl_easy_setopt(Handle, CURLOPT_READDATA, &Running);
  } else if (!Call.Body.empty() || Call.Method == "POST" ||
             Call.Method == "PUT") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call.Body.size()));
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Call.Body.data());
  }
  if (Call.Method == "HEAD")
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
}

http_call_result http_client::call(const http_call &Call) {
  CURL *Curl = Handle;
  http_call_result Result;
  running_call Running{Call, Result, Curl};
  curl_easy_reset(Curl);
  curl_slist *Headers = makeHeaders(Call);
  curl_easy_setopt(Curl, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_PROXY, "");
  curl_easy_setopt(Curl, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(
      Curl, CURLOPT_TIMEOUT_MS,
      static_cast<long>(std::max<std::int64_t>(Call.TimeoutMs, 1)));
  curl_easy_setopt(Curl, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Call.ConnectTimeoutMs));
  curl_easy_setopt(Curl, CURLOPT_FRESH_CONNECT, Call.FreshConnection ? 1L : 0L);
  curl_easy_setopt(Curl, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Curl, CURLOPT_HEADERDATA, &Running);
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Running);
  curl_easy_setopt(Curl, CURLOPT_XFERINFOFUNCTION, checkAbort);
  curl_easy_setopt(Curl, CURLOPT_XFERINFODATA, &Running);
  curl_easy_setopt(Curl, CURLOPT_NOPROGRESS, Call.Abort ? 0L : 1L);
  setBody(Curl, Call, Running);
  const CURLcode Code = curl_easy_perform(Curl);
  curl_slist_free_all(Headers);
  Result.End = endOf(Code);
  if (Code == CURLE_OK)
    announceHead(Running);
  else
    Result.Error = curl_easy_strerror(Code);
  if (Running.IsMalformed) {
    Result.End = call_end::Broken;
    Result.Error = "malformed response head";
  }
  // libcurl reports a connect timeout like any other timeout. Without a
  // connection no byte was sent.
  double Connected = 0;
  curl_easy_getinfo(Curl, CURLINFO_CONNECT_TIME, &Connected);
  if (Code == CURLE_OPERATION_TIMEDOUT && Connected == 0)
    Result.End = call_end::NotConnected;
  return Result;
}

} // namespace amaranthhoist
