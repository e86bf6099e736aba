#include "tests/support/heap_meter.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

constexpr std::ptrdiff_t block_header = sizeof(std::size_t);

thread_local std::ptrdiff_t held = 0;
thread_local std::ptrdiff_t most_held = 0;

std::ptrdiff_t size_of_block(void* block) {
  return static_cast<std::ptrdiff_t>(malloc_usable_size(block)) + block_header;
}

void* counted(void* block) {
  if (block == nullptr) throw std::bad_alloc{};
  held += size_of_block(block);
  most_held = std::max(most_held, held);
  return block;
}

void release(void* block) {
  if (block == nullptr) return;
  held -= size_of_block(block);
  std::free(block);
}

}  // namespace

// The array forms of the standard library call these.
void* operator new(std::size_t size) {
  return counted(std::malloc(std::max<std::size_t>(size, 1)));
}
void* operator new(std::size_t size, std::align_val_t alignment) {
  const auto unit = static_cast<std::size_t>(alignment);
  return counted(std::aligned_alloc(unit, (size + unit - 1) / unit * unit));
}
void operator delete(void* block) noexcept {
  release(block);
}
void operator delete(void* block, std::size_t) noexcept {
  release(block);
}
void operator delete(void* block, std::align_val_t) noexcept {
  release(block);
}
void operator delete(void* block, std::size_t, std::align_val_t) noexcept {
  release(block);
}

namespace coltsfoot::testing {

heap_meter::heap_meter() : before_(held) {
  most_held = held;
}

std::size_t heap_meter::peak() const {
  return static_cast<std::size_t>(most_held - before_);
}

}  // namespace coltsfoot::testing
