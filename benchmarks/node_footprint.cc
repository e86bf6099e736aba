// Starts a deployment of real programs and prints the processor time and memory of its nodes:
//
//   build/node_footprint [nodes] [racks] [workers_per_rack] [seconds]
//
// All nodes have the default intervals. Reads /proc only for the nodes that it started.
#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include "tests/process/support/local_cluster.h"

namespace coltsfoot::testing {
namespace {

struct usage {
  double processor_seconds = 0;
  long resident_kb = 0;
};

usage read_usage(pid_t pid) {
  usage out;
  std::ifstream stat{fmt::format("/proc/{}/stat", pid)};
  std::string text{std::istreambuf_iterator<char>{stat}, {}};
  std::istringstream fields{text.substr(text.rfind(')') + 2)};
  // Fields 14 and 15 of the line are user and system time; the text begins with field 3.
  std::string field;
  for (int number = 3; fields >> field && number <= 15; ++number) {
    if (number >= 14) {
      out.processor_seconds += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
  }
  std::ifstream status{fmt::format("/proc/{}/status", pid)};
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) out.resident_kb = std::stol(line.substr(6));
  }
  return out;
}

template <typename F>
void measure(local_cluster& cluster, int nodes, int seconds, const char* label, F&& each_second) {
  std::vector<usage> before;
  before.reserve(static_cast<std::size_t>(nodes));
  for (int n = 0; n < nodes; ++n) before.push_back(read_usage(cluster.node(n).pid()));
  const auto begin = std::chrono::steady_clock::now();
  for (int second = 0; second < seconds; ++second) {
    each_second(second);
    std::this_thread::sleep_until(begin + std::chrono::seconds{second + 1});
  }
  const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - begin;
  for (int n = 0; n < nodes; ++n) {
    const auto after = read_usage(cluster.node(n).pid());
    const double used =
        after.processor_seconds - before[static_cast<std::size_t>(n)].processor_seconds;
    fmt::print("{} node={} seconds={:.1f} core_percent={:.2f} resident_mb={:.1f}\n", label, n,
               passed.count(), 100 * used / passed.count(),
               static_cast<double>(after.resident_kb) / 1024);
  }
}

int run(int nodes, int racks, int workers_per_rack, int seconds) {
  local_cluster cluster{{.nodes = nodes,
                         .racks = racks,
                         .workers_per_rack = workers_per_rack,
                         .name = "node_footprint",
                         .short_intervals = false}};
  if (!cluster.wait_until_ready() || !cluster.publish()) {
    fmt::print(stderr, "the deployment did not become ready\n");
    return 1;
  }
  measure(cluster, nodes, seconds, "idle", [](int) {});
  int accepted = 0;
  int answered = 0;
  measure(cluster, nodes, seconds, "loaded", [&](int second) {
    for (int i = 0; i < 8; ++i) {
      const auto id = fmt::format("{}-{}", second, i);
      const int node = i % nodes;
      if (cluster.submit(node, cluster.task("t" + id, 3'000)) == submit_status::accepted)
        ++accepted;
      const auto answer = cluster.call(node, "r" + id, "/work?ms=5");
      if (answer && answer->status == 200) ++answered;
    }
  });
  fmt::print("loaded: {} tasks accepted, {} requests answered\n", accepted, answered);
  return 0;
}

}  // namespace
}  // namespace coltsfoot::testing

int main(int count, char** arguments) {
  const auto argument = [&](int at, int otherwise) {
    return at < count ? std::stoi(arguments[at]) : otherwise;
  };
  return coltsfoot::testing::run(argument(1, 9), argument(2, 8), argument(3, 8), argument(4, 30));
}
