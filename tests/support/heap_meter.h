// Measures the heap memory that a piece of code takes, for tests that bound it. A program that uses
// it gets its own `operator new` and `operator delete`, which count for each thread.
//
//   const heap_meter meter;
//   decode(bytes);
//   EXPECT_LE(meter.peak(), 16 * bytes.size());
#pragma once

#include <cstddef>

namespace coltsfoot::testing {

// Only one at a time in each thread.
class heap_meter {
 public:
  heap_meter();

  // The most bytes that this thread has held at once since the construction, above what it held
  // then. Each block counts with the allocator's rounding and header.
  std::size_t peak() const;

 private:
  std::ptrdiff_t before_;
};

}  // namespace coltsfoot::testing
