#include "Http/http.h"

#include <algorithm>

namespace amaranthhoist {

void byte_pipe::notify() {
  std::function<void()> Callback;
  {
    const std::lock_guard Guard(Lock);
    Callback = Ready;
  }
  Changed.notify_all();
  if (Callback)
    Callback();
}

bool byte_pipe::push(std::string_view Piece) {
  while (!Piece.empty()) {
    {
      std::unique_lock Guard(Lock);
      Changed.wait(Guard, [&] { return Abandoned || Buffered.size() < Limit; });
      if (Abandoned)
        return false;
      const std::size_t Part = std::min(Piece.size(), Limit - Buffered.size());
      Buffered.append(Piece.substr(0, Part));
      Piece.remove_prefix(Part);
    }
    notify();
  }
  return true;
}

void byte_pipe::finish(bool IsWhole) {
  {
    const std::lock_guard Guard(Lock);
    if (Finished)
      return;
    Finished = true;
    Whole = IsWhole;
  }
  notify();
}

void byte_pipe::abandon() {
  const std::lock_guard Guard(Lock);
  Abandoned = true;
  Ready = nullptr;
  Changed.notify_all();
}

std::int64_t byte_pipe::pop(std::span<char> Buffer) {
  std::unique_lock Guard(Lock);
  Changed.wait(Guard, [&] { return Finished || !Buffered.empty(); });
  if (Buffered.empty())
    return Whole ? BodyEnd : BodyBroken;
  const std::size_t Part = std::min(Buffer.size(), Buffered.size());
  std::copy_n(Buffered.begin(), Part, Buffer.begin());
  Buffered.erase(0, Part);
  Changed.notify_all();
  return static_cast<std::int64_t>(Part);
}

byte_pipe::chunk byte_pipe::tryPop(std::size_t Most) {
  const std::lock_guard Guard(Lock);
  chunk Chunk;
  const std::size_t Part = std::min(Most, Buffered.size());
  Chunk.Data = Buffered.substr(0, Part);
  Buffered.erase(0, Part);
  Chunk.Last = Finished && Buffered.empty() && Whole;
  Chunk.Broken = Finished && Buffered.empty() && !Whole;
  Changed.notify_all();
  return Chunk;
}

bool byte_pipe::isReady() {
  const std::lock_guard Guard(Lock);
  return Finished || !Buffered.empty();
}

void byte_pipe::onReady(std::function<void()> Callback) {
  {
    const std::lock_guard Guard(Lock);
    Ready = std::move(Callback);
  }
}

} // namespace amaranthhoist
