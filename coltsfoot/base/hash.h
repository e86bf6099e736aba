// Stable 64-bit hash of text, the same on every node and in every version.
//
//   std::uint64_t weight = stable_hash("rack/z1/r1", "node-3");
#pragma once

#include <cstdint>
#include <string_view>

namespace coltsfoot {

// Returns the XXH3 hash of `text`.
std::uint64_t stable_hash(std::string_view text);

// Returns the XXH3 hash of `text` seeded with the hash of `key`.
std::uint64_t stable_hash(std::string_view key, std::string_view text);

}  // namespace coltsfoot
