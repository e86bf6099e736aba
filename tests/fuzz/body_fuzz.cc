// Fuzzes the code that reads bodies of job submissions. Run by hand, best in a sanitizer build:
//
//   body_fuzz --bodies 100000 [--seed 7] [--first 0]
//   body_fuzz --worst     prints what the worst bodies of 512 KiB cost
//
// Prints its seed. Exits with 1 if a body did what it must not; `--seed` and `--first` repeat it.
#include <fmt/format.h>
#include <popt.h>

#include <chrono>
#include <cstdio>
#include <vector>

#include "tests/fuzz/body_check.h"

namespace coltsfoot::testing {
namespace {

constexpr std::uint64_t progress_interval = 10'000;

struct fuzz_options {
  long bodies = 100'000;
  long seed = std::chrono::system_clock::now().time_since_epoch().count() % 1'000'000'000;
  long first = 0;
  int worst = 0;
};

std::optional<fuzz_options> parse(int argc, const char** argv) {
  fuzz_options options;
  const std::vector<poptOption> table{
      {"bodies", 0, POPT_ARG_LONG, &options.bodies, 0, "how many bodies", "N"},
      {"seed", 0, POPT_ARG_LONG, &options.seed, 0, "seed of all bodies; drawn if left out", "N"},
      {"first", 0, POPT_ARG_LONG, &options.first, 0, "number of the first body", "N"},
      {"worst", 0, POPT_ARG_NONE, &options.worst, 0, "print the costs of the worst bodies",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  auto* context = poptGetContext("body_fuzz", argc, argv, table.data(), 0);
  const int end = poptGetNextOpt(context);
  if (end < -1) fmt::print(stderr, "{}\n", poptStrerror(end));
  poptFreeContext(context);
  if (end < -1) return std::nullopt;
  return options;
}

void print_worst() {
  fmt::print("{:<42}{:>9}{:>12}{:>12}{:>12}\n", "body", "bytes", "decode", "record", "operators");
  for (const auto& body : worst_bodies(most_body_bytes - 64)) {
    const auto cost = cost_of(body);
    fmt::print("{:<42}{:>9}{:>12}{:>12}{:>12}\n", body.kind, body.text.size(), cost.decode,
               cost.record, cost.operators);
  }
}

int fuzz(const fuzz_options& options) {
  const auto seed = static_cast<std::uint64_t>(options.seed);
  const auto first = static_cast<std::uint64_t>(options.first);
  const auto end = first + static_cast<std::uint64_t>(options.bodies);
  fmt::print("seed {} first {} bodies {}\n", seed, first, options.bodies);
  std::uint64_t violations = 0;
  std::uint64_t bytes = 0;
  for (auto number = first; number < end; ++number) {
    // A crash is in the bodies after the last number printed.
    if (number % progress_interval == 0) {
      fmt::print("number {}\n", number);
      std::fflush(stdout);
    }
    const auto body = body_of(seed, number);
    bytes += body.text.size();
    if (const auto violation = violation_of(body)) {
      ++violations;
      fmt::print("VIOLATION number {}, {}, {} bytes: {}\n", number, body.kind, body.text.size(),
                 *violation);
    }
  }
  fmt::print("seed {}: {} bodies, {} bytes, {} violations\n", seed, options.bodies, bytes,
             violations);
  return violations == 0 ? 0 : 1;
}

}  // namespace
}  // namespace coltsfoot::testing

int main(int argc, const char** argv) {
  const auto options = coltsfoot::testing::parse(argc, argv);
  if (!options) return 2;
  if (options->worst != 0) {
    coltsfoot::testing::print_worst();
    return 0;
  }
  return coltsfoot::testing::fuzz(*options);
}
