#include "coltsfoot/base/hash.h"

#include <xxhash.h>

namespace coltsfoot {

std::uint64_t stable_hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t stable_hash(std::string_view key, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), stable_hash(key));
}

}  // namespace coltsfoot
