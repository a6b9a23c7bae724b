/// Maps client blocks (IPv4 prefixes of any length, flattened to ranges) to
/// site groups: lists of sites ordered by proximity.
///
/// Millions of blocks are held in sorted arrays, six bytes per block, with an
/// index on the first 16 bits of the address. The map is split into chunks by
/// the first 12 bits, each with its own version, so that a change affects only
/// one chunk.
#pragma once

#include "Core/core.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace amaranthhoist {

/// Addresses from First up to the next block's First belong to Group.
struct client_block {
  std::uint32_t First = 0;
  std::uint16_t Group = 0;
};

/// Number of chunks; chunk N holds the addresses whose first 12 bits are N.
inline constexpr std::size_t ClientChunks = 4096;
/// Group of addresses that no block covers.
inline constexpr std::uint16_t NoGroup = 0xffff;

/// Blocks of one chunk, sorted by address and starting at the chunk's first
/// address; parallel arrays avoid padding.
struct client_chunk {
  std::int64_t Version = 0;
  std::vector<std::uint32_t> Firsts;
  std::vector<std::uint16_t> Groups;
  /// Position of the first block at or after each of the 16 sub-ranges.
  std::array<std::uint32_t, 17> Index{};
};

struct client_map {
  std::vector<client_chunk> Chunks{ClientChunks};
};

/// Replaces chunk \p Number if \p Version is higher. Returns Invalid if the
/// blocks aren't sorted or lie outside the chunk.
result<bool> applyChunk(client_map &Map, std::size_t Number,
                        std::int64_t Version,
                        std::span<const client_block> Blocks);

/// Sets the group of an existing block, or splits off a new block at First.
/// Returns Conflict if the chunk is not at \p BaseVersion: the caller then has
/// to fetch the whole chunk.
result<bool> applyBlockChange(client_map &Map, client_block Block,
                              std::int64_t BaseVersion, std::int64_t Version);

/// Returns the group of \p Address, or NoGroup.
std::uint16_t lookUp(const client_map &Map, std::uint32_t Address);

/// Number of blocks held, and bytes used by them and their index.
struct client_map_size {
  std::size_t Blocks = 0;
  std::size_t Bytes = 0;
};
client_map_size sizeOf(const client_map &Map);

} // namespace amaranthhoist
