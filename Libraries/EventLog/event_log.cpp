#include "EventLog/event_log.h"

#include "Text/text.h"

#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace amaranthhoist {

/// Maximum lines per second of each kind. Request failures and changes of
/// cluster state together stay within a volume that can be read; successes are
/// only sampled, since metrics count all of them.
static constexpr std::array<std::uint32_t, LogKinds> LinesPerSecond = {
    50, 200, 100, 5, 5};
static constexpr std::array<std::string_view, LogKinds> KindNames = {
    "process", "belief", "trouble", "success", "attempt"};
/// Size of the buffer in bytes at which it is flushed.
static constexpr std::size_t FlushThreshold = 8'192;

event_log::event_log(int Descriptor, std::string_view Identity)
    : Descriptor(Descriptor), Identity(Identity) {
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

bool event_log::isWithinLimit(log_kind Kind, instant Now) {
  const auto Index = static_cast<std::size_t>(Kind);
  const std::int64_t NowSecond =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count();
  if (NowSecond != CurrentSecond) {
    CurrentSecond = NowSecond;
    WrittenThisSecond.fill(0);
    logSuppressedLines(Now);
  }
  return WrittenThisSecond[Index] < LinesPerSecond[Index];
}

bool event_log::admitsLine(log_kind Kind, instant Now) {
  if (isWithinLimit(Kind, Now))
    return true;
  ++Suppressed[static_cast<std::size_t>(Kind)];
  return false;
}

void event_log::logSuppressedLines(instant Now) {
  for (std::size_t Index = 0; Index < LogKinds; ++Index) {
    if (Suppressed[Index] == 0)
      continue;
    const std::array<log_entry, 2> Fields = {
        {{"kind", KindNames[Index]},
         {"lines", static_cast<std::int64_t>(Suppressed[Index])}}};
    append("lines_left_out", Fields, Now);
    Suppressed[Index] = 0;
  }
}

static void appendQuoted(std::string &Buffer, std::string_view Text) {
  Buffer.push_back('"');
  for (char Character : Text) {
    const auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Buffer.push_back('\\');
      Buffer.push_back(Character);
    } else if (Code < 0x20 || Code >= 0x7f) {
      append(Buffer, "\\u");
      appendHex(Buffer, Code, 4);
    } else {
      Buffer.push_back(Character);
    }
  }
  Buffer.push_back('"');
}

static void appendValue(std::string &Buffer, const log_value &Value) {
  if (const auto *Text = std::get_if<std::string_view>(&Value))
    appendQuoted(Buffer, *Text);
  else if (const auto *Number = std::get_if<std::int64_t>(&Value))
    append(Buffer, *Number);
  else if (const auto *Real = std::get_if<double>(&Value))
    append(Buffer, *Real);
  else
    append(Buffer, std::get<bool>(Value) ? "true" : "false");
}

void event_log::append(std::string_view Event,
                       std::span<const log_entry> Fields, instant Now) {
  timespec Wall{};
  clock_gettime(CLOCK_REALTIME, &Wall);
  amaranthhoist::append(
      Buffer, "{\"time_ms\":", Wall.tv_sec * 1'000 + Wall.tv_nsec / 1'000'000,
      ",\"steady_us\":", Now.time_since_epoch().count(), ",\"instance\":\"",
      Identity, "\",\"event\":\"", Event, "\"");
  for (const log_entry &Field : Fields) {
    amaranthhoist::append(Buffer, ",\"", Field.Name, "\":");
    appendValue(Buffer, Field.Value);
  }
  Buffer.append("}\n");
}

void event_log::write(log_kind Kind, std::string_view Event,
                      std::span<const log_entry> Fields, instant Now) {
  if (!admitsLine(Kind, Now))
    return;
  ++WrittenThisSecond[static_cast<std::size_t>(Kind)];
  append(Event, Fields, Now);
  if (Buffer.size() >= FlushThreshold)
    flush();
}

void event_log::flush() {
  if (Buffer.empty())
    return;
  const ssize_t WrittenBytes =
      ::write(Descriptor, Buffer.data(), Buffer.size());
  // A full pipe accepts a part or nothing. The rest is dropped and its lines
  // are counted. A truncated line is ended with a newline, so that the next
  // line starts where readers expect it.
  if (WrittenBytes < static_cast<ssize_t>(Buffer.size())) {
    const std::size_t From =
        WrittenBytes > 0 ? static_cast<std::size_t>(WrittenBytes) : 0;
    for (std::size_t At = From; At < Buffer.size(); ++At)
      DroppedLines += Buffer[At] == '\n' ? 1 : 0;
    Buffer = From > 0 ? "\n" : "";
    return;
  }
  Buffer.clear();
}

} // namespace amaranthhoist
