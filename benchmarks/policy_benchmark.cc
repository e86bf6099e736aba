// Compares the project's decision components with simple policies on the same recorded workloads
// and prints Markdown tables. Not part of CI's verdict; docs/measurements.md holds the results.
//
//   policy_benchmark --seeds 3 --threads 4
//   policy_benchmark --deployment A --case noisy_waves --policy project --first-seed 4

#include <fmt/format.h>
#include <popt.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "benchmarks/policy_baselines.h"
#include "benchmarks/policy_project.h"

namespace coltsfoot::benchmark {
namespace {

// Differences up to this share count as equal.
constexpr double equal_range = 0.02;

struct policy_entry {
  std::string name;
  std::function<std::unique_ptr<policy>(cluster&, std::uint64_t)> make;
};

policy_entry baseline(std::string name, baseline_kind kind, bool evicts) {
  return {std::move(name), [kind, evicts](cluster& fleet, std::uint64_t seed) {
            return std::make_unique<baseline_policy>(
                fleet, baseline_options{.kind = kind, .evicts = evicts, .seed = seed});
          }};
}

// The project's policy comes first.
std::vector<policy_entry> all_policies() {
  return {
      {"project", [](cluster& fleet,
                     std::uint64_t seed) { return std::make_unique<project_policy>(fleet, seed); }},
      baseline("random", baseline_kind::random, true),
      baseline("least loaded", baseline_kind::least_loaded, true),
      baseline("first fit", baseline_kind::first_fit, true),
      baseline("optimistic", baseline_kind::optimistic, true),
      baseline("least loaded, no eviction", baseline_kind::least_loaded, false)};
}

struct run_key {
  deployment sizes;
  benchmark_case kind = benchmark_case::steady;
  std::size_t policy = 0;
  std::uint64_t seed = 0;
};

// One column of the tables.
struct measure {
  std::string name;
  int decimals = 0;
  int better = 0;  // -1: smaller is better, 1: larger is better, 0: not compared
  double (*of)(const run_figures&) = nullptr;
};

double ratio(double part, double whole) {
  return whole == 0 ? 0 : part / whole;
}

std::vector<measure> measures_of(benchmark_case kind) {
  using figures = run_figures;

  std::vector<measure> out{
      {"p50 ms", 0, -1, [](const figures& f) { return f.urgent_latency.quantile(0.5) * 1.0; }},
      {"p99 ms", 0, -1, [](const figures& f) { return f.urgent_latency.quantile(0.99) * 1.0; }},
      {"p99.9 ms", 0, -1, [](const figures& f) { return f.urgent_latency.quantile(0.999) * 1.0; }},
      {"refused", 0, 0, [](const figures& f) { return f.urgent_refused * 1.0; }},
      {"urgent start p99 ms", 0, 0,
       [](const figures& f) { return f.urgent_start.quantile(0.99) * 1.0; }},
      {"batch finished", 0, 1, [](const figures& f) { return f.batch_finished * 1.0; }},
      {"tasks failed", 0, 0, [](const figures& f) { return f.tasks_failed * 1.0; }},
      {"evictions", 0, -1, [](const figures& f) { return f.evictions * 1.0; }},
      {"collisions %", 1, 0, [](const figures& f) {
         const auto tried = static_cast<double>(f.placements + f.collisions);
         return 100 * ratio(static_cast<double>(f.collisions), tried);
       }}};
  if (kind == benchmark_case::deferrable_flood || kind == benchmark_case::urgent_flood) {
    out.push_back({"share kept, capacity %", 1, 0, [](const figures& f) {
                     return 100 * ratio(f.task_share_sum, f.share_samples);
                   }});
    out.push_back({"share kept, slots %", 1, 0, [](const figures& f) {
                     return 100 * ratio(f.slot_share_sum, f.share_samples);
                   }});
  }
  return out;
}

struct summary {
  double mean = 0;
  double deviation = 0;
};

summary summarise(const std::vector<double>& values) {
  summary out;
  const auto count = static_cast<double>(values.size());
  for (const double value : values) out.mean += value / count;
  double squares = 0;
  for (const double value : values) squares += (value - out.mean) * (value - out.mean);
  out.deviation = values.size() > 1 ? std::sqrt(squares / (count - 1)) : 0;
  return out;
}

std::vector<run_figures> run_all(const std::vector<run_key>& keys,
                                 const std::vector<policy_entry>& policies, int threads) {
  std::vector<run_figures> figures(keys.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (auto i = next++; i < keys.size(); i = next++) {
      const auto& key = keys[i];
      const auto load = record_workload(key.sizes, key.kind, key.seed);
      cluster fleet{key.sizes, load};
      const auto decider = policies[key.policy].make(fleet, key.seed);
      fleet.run(*decider);
      figures[i] = fleet.figures();
    }
  };
  std::vector<std::jthread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int i = 0; i < threads; ++i) workers.emplace_back(work);
  workers.clear();
  return figures;
}

// Compares the project, first in `values`, with the best of the others.
std::string compare(const measure& column, const std::vector<summary>& values,
                    const std::vector<policy_entry>& policies) {
  std::size_t best = 1;
  for (std::size_t i = 2; i < values.size(); ++i) {
    if ((values[i].mean - values[best].mean) * column.better > 0) best = i;
  }
  const double gain = (values[0].mean - values[best].mean) * column.better;
  const double range = equal_range * std::abs(values[best].mean);
  const char* verdict = gain > range ? "ahead" : gain >= -range ? "equal" : "BEHIND";
  return fmt::format("{} {} ({:.{}f} against {:.{}f}, {})", column.name, verdict, values[0].mean,
                     column.decimals, values[best].mean, column.decimals, policies[best].name);
}

void print_case(const deployment& sizes, benchmark_case kind, std::size_t seeds,
                const std::vector<policy_entry>& policies, const run_figures* figures) {
  const auto columns = measures_of(kind);
  fmt::print("\n### Deployment {}, {}\n\n| policy |", sizes.name, name_of(kind));
  for (const auto& column : columns) fmt::print(" {} |", column.name);
  fmt::print("\n|---|");
  for (std::size_t i = 0; i < columns.size(); ++i) fmt::print("---:|");
  fmt::print("\n");
  std::vector<std::vector<summary>> by_column(columns.size());
  for (std::size_t p = 0; p < policies.size(); ++p) {
    fmt::print("| {} |", policies[p].name);
    for (std::size_t c = 0; c < columns.size(); ++c) {
      std::vector<double> values;
      values.reserve(seeds);
      for (std::size_t s = 0; s < seeds; ++s)
        values.push_back(columns[c].of(figures[p * seeds + s]));
      by_column[c].push_back(summarise(values));
      const auto& [mean, deviation] = by_column[c].back();
      fmt::print(" {:.{}f} ± {:.{}f} |", mean, columns[c].decimals, deviation, columns[c].decimals);
    }
    fmt::print("\n");
  }
  if (policies.size() == 1) return;
  std::string verdicts;
  for (std::size_t c = 0; c < columns.size(); ++c) {
    if (columns[c].better == 0) continue;
    verdicts += (verdicts.empty() ? "" : "; ") + compare(columns[c], by_column[c], policies);
  }
  fmt::print("\nProject against the best baseline: {}.\n", verdicts);
}

struct arguments {
  int seeds = 3;
  int first_seed = 1;
  int threads = 4;
  char* deployment = nullptr;
  char* only_case = nullptr;
  char* only_policy = nullptr;
};

int run(const arguments& given) {
  auto policies = all_policies();
  if (given.only_policy != nullptr) {
    std::erase_if(policies, [&](const auto& entry) { return entry.name != given.only_policy; });
  }
  std::vector<std::pair<deployment, benchmark_case>> cases;
  for (const auto& sizes : {deployment_a(), deployment_b()}) {
    if (given.deployment != nullptr && sizes.name != given.deployment) continue;
    for (const auto& [kind, name] : enum_names<benchmark_case>::table) {
      if (given.only_case == nullptr || name == given.only_case) cases.emplace_back(sizes, kind);
    }
  }
  if (cases.empty() || policies.empty() || given.seeds < 1 || given.first_seed < 1 ||
      given.threads < 1) {
    fmt::print(stderr, "policy_benchmark: nothing to run\n");
    return EXIT_FAILURE;
  }
  const auto seeds = static_cast<std::size_t>(given.seeds);
  std::vector<run_key> keys;
  for (const auto& [sizes, kind] : cases) {
    for (std::size_t p = 0; p < policies.size(); ++p) {
      for (std::size_t seed = 0; seed < seeds; ++seed) {
        keys.push_back({sizes, kind, p, static_cast<std::size_t>(given.first_seed) + seed});
      }
    }
  }
  const auto figures = run_all(keys, policies, given.threads);
  for (std::size_t i = 0; i < cases.size(); ++i) {
    print_case(cases[i].first, cases[i].second, seeds, policies,
               &figures[i * policies.size() * seeds]);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace coltsfoot::benchmark

int main(int argc, const char** argv) {
  coltsfoot::benchmark::arguments given;
  const poptOption options[] = {
      {"seeds", 0, POPT_ARG_INT, &given.seeds, 0, "number of seeds", "N"},
      {"first-seed", 0, POPT_ARG_INT, &given.first_seed, 0, "the seeds count up from here", "N"},
      {"threads", 0, POPT_ARG_INT, &given.threads, 0, "runs at the same time", "N"},
      {"deployment", 0, POPT_ARG_STRING, static_cast<void*>(&given.deployment), 0,
       "only this deployment", "A|B"},
      {"case", 0, POPT_ARG_STRING, static_cast<void*>(&given.only_case), 0, "only this case",
       "NAME"},
      {"policy", 0, POPT_ARG_STRING, static_cast<void*>(&given.only_policy), 0,
       "only this policy, without a comparison", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context{
      poptGetContext("policy_benchmark", argc, argv, options, 0), poptFreeContext};
  if (const int code = poptGetNextOpt(context.get()); code < -1) {
    fmt::print(stderr, "policy_benchmark: {}: {}\n", poptBadOption(context.get(), 0),
               poptStrerror(code));
    return EXIT_FAILURE;
  }
  return coltsfoot::benchmark::run(given);
}
