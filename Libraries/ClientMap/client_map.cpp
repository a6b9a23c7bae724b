#include "ClientMap/client_map.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr unsigned ChunkShift = 20;
static constexpr unsigned SubRangeShift = 16;
static constexpr std::uint32_t SubRangeMask = 15;

static void rebuildIndex(client_chunk &Chunk, std::size_t Number) {
  const std::uint64_t Base = static_cast<std::uint64_t>(Number) << ChunkShift;
  for (std::size_t Sub = 0; Sub < Chunk.Index.size(); ++Sub) {
    const std::uint64_t Start =
        Base + (static_cast<std::uint64_t>(Sub) << SubRangeShift);
    const auto Found =
        std::lower_bound(Chunk.Firsts.begin(), Chunk.Firsts.end(), Start);
    Chunk.Index[Sub] = static_cast<std::uint32_t>(Found - Chunk.Firsts.begin());
  }
}

static bool isOrdered(std::size_t Number,
                      std::span<const client_block> Blocks) {
  for (std::size_t Position = 0; Position < Blocks.size(); ++Position) {
    if (Blocks[Position].First >> ChunkShift != Number)
      return false;
    if (Position > 0 && Blocks[Position - 1].First >= Blocks[Position].First)
      return false;
  }
  return true;
}

result<bool> applyChunk(client_map &Map, std::size_t Number,
                        std::int64_t Version,
                        std::span<const client_block> Blocks) {
  if (Number >= ClientChunks || !isOrdered(Number, Blocks))
    return fail(error_code::Invalid,
                "client blocks are unsorted or outside the chunk");
  client_chunk &Chunk = Map.Chunks[Number];
  if (Version <= Chunk.Version)
    return false;
  Chunk.Version = Version;
  Chunk.Firsts.clear();
  Chunk.Groups.clear();
  Chunk.Firsts.reserve(Blocks.size());
  Chunk.Groups.reserve(Blocks.size());
  for (const client_block &Block : Blocks) {
    Chunk.Firsts.push_back(Block.First);
    Chunk.Groups.push_back(Block.Group);
  }
  rebuildIndex(Chunk, Number);
  return true;
}

result<bool> applyBlockChange(client_map &Map, client_block Block,
                              std::int64_t BaseVersion, std::int64_t Version) {
  const std::size_t Number = Block.First >> ChunkShift;
  client_chunk &Chunk = Map.Chunks[Number];
  if (Version <= Chunk.Version)
    return false;
  if (Chunk.Version != BaseVersion)
    return fail(error_code::Conflict,
                "chunk version differs from the base version");
  const auto Found =
      std::lower_bound(Chunk.Firsts.begin(), Chunk.Firsts.end(), Block.First);
  const auto Position = Found - Chunk.Firsts.begin();
  Chunk.Version = Version;
  if (Found != Chunk.Firsts.end() && *Found == Block.First) {
    Chunk.Groups[static_cast<std::size_t>(Position)] = Block.Group;
    return true;
  }
  Chunk.Firsts.insert(Found, Block.First);
  Chunk.Groups.insert(Chunk.Groups.begin() + Position, Block.Group);
  rebuildIndex(Chunk, Number);
  return true;
}

std::uint16_t lookUp(const client_map &Map, std::uint32_t Address) {
  const client_chunk &Chunk = Map.Chunks[Address >> ChunkShift];
  const std::size_t Sub = (Address >> SubRangeShift) & SubRangeMask;
  const auto Begin = Chunk.Firsts.begin() + Chunk.Index[Sub];
  const auto End = Chunk.Firsts.begin() + Chunk.Index[Sub + 1];
  // The block that covers the address may begin before the sub-range.
  const auto After = std::upper_bound(Begin, End, Address);
  if (After == Chunk.Firsts.begin())
    return NoGroup;
  return Chunk
      .Groups[static_cast<std::size_t>(After - Chunk.Firsts.begin()) - 1];
}

client_map_size sizeOf(const client_map &Map) {
  client_map_size Size;
  Size.Bytes = Map.Chunks.capacity() * sizeof(client_chunk);
  for (const client_chunk &Chunk : Map.Chunks) {
    Size.Blocks += Chunk.Firsts.size();
    Size.Bytes += Chunk.Firsts.capacity() * sizeof(std::uint32_t);
    Size.Bytes += Chunk.Groups.capacity() * sizeof(std::uint16_t);
  }
  return Size;
}

} // namespace amaranthhoist
