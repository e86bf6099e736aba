#include <fmt/format.h>

int main() {
  fmt::print(stderr, "coltsfootd {}\n", COLTSFOOT_VERSION);
  return 0;
}
