// Replaces operator new to count the bytes of live blocks. Include it in exactly one source file
// of a program.
//
//   const auto before = live_bytes;
//   const auto state = make_state();
//   report(live_bytes - before);
#pragma once

#include <malloc.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

// Bytes of the blocks that are allocated now, with the rounding of the allocator.
inline std::atomic<std::int64_t> live_bytes{0};

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc{};
  live_bytes += static_cast<std::int64_t>(malloc_usable_size(block));
  return block;
}

void operator delete(void* block) noexcept {
  if (block != nullptr) live_bytes -= static_cast<std::int64_t>(malloc_usable_size(block));
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}
