#include "tests/soak/fault_series.h"

#include <fmt/format.h>
#include <signal.h>

#include <utility>

namespace coltsfoot::testing {
namespace {

constexpr std::int64_t shortest_fault_ms = 500;
constexpr std::int64_t longest_fault_ms = 11'000;
constexpr std::int64_t longest_gap_ms = 4'000;

}  // namespace

void fault_series::begin(std::string name, std::int64_t length_ms, std::function<void()> mend) {
  fleet_.record().note(fmt::format("fault {} for_ms={}", name, length_ms));
  open_.push_back({.until = fleet_.record().now_ms() + length_ms,
                   .name = std::move(name),
                   .mend = std::move(mend)});
}

void fault_series::step() {
  const auto now = fleet_.record().now_ms();
  std::vector<open_fault> over;
  std::erase_if(open_, [&](open_fault& fault) {
    if (fault.until > now) return false;
    over.push_back(std::move(fault));
    return true;
  });
  for (const auto& fault : over) {
    fleet_.record().note("mended " + fault.name);
    fault.mend();
  }
  if (now < next_) return;
  next_ = now + static_cast<std::int64_t>(draw(longest_gap_ms));
  begin_one();
}

void fault_series::mend_all() {
  for (const auto& fault : std::exchange(open_, {})) {
    fleet_.record().note("mended " + fault.name);
    fault.mend();
  }
}

void fault_series::begin_one() {
  switch (draw(12)) {
    case 0:
    case 1:
      return cut_node_from_store();
    case 2:
      return cut_node_from_workers();
    case 3:
      return cut_one_pair();
    case 4:
      return part_a_zone();
    case 5:
    case 6:
      return lose_the_store_but_one_worker();
    case 7:
      return pause_node();
    case 8:
      return end_node(SIGKILL);
    case 9:
      return end_node(SIGTERM);
    case 10:
      return restart_worker();
    default:
      if (chance(3)) take_store_down();
  }
}

void fault_series::cut_pair(std::size_t worker, std::size_t node, cut_kind kind) {
  fleet_.workers().listener(worker, node).cut(kind);
}

void fault_series::heal_pair(std::size_t worker, std::size_t node) {
  fleet_.workers().listener(worker, node).heal(chance(2));
}

void fault_series::cut_store(std::size_t node, cut_kind kind) {
  fleet_.store().listener(node).cut(kind);
}

void fault_series::cut_node_from_store() {
  const auto node = draw_node();
  cut_store(node, chance(3) ? cut_kind::answers_only : cut_kind::both_ways);
  begin(fmt::format("store_cut node={}", node),
        shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms)),
        [this, node] { fleet_.store().listener(node).heal(chance(2)); });
}

void fault_series::cut_node_from_workers() {
  const auto node = draw_node();
  std::vector<std::size_t> cut;
  for (std::size_t worker = 0; worker < fleet_.workers().size(); ++worker) {
    if (chance(2)) cut.push_back(worker);
  }
  for (const auto worker : cut) cut_pair(worker, node, cut_kind::both_ways);
  begin(fmt::format("workers_cut node={} workers={}", node, cut.size()),
        shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms)), [this, node, cut] {
          for (const auto worker : cut) heal_pair(worker, node);
        });
}

void fault_series::cut_one_pair() {
  const auto node = draw_node();
  const auto worker = draw(fleet_.workers().size());
  cut_pair(worker, node, chance(2) ? cut_kind::answers_only : cut_kind::both_ways);
  begin(fmt::format("pair_cut node={} worker={}", node, worker),
        shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms)),
        [this, node, worker] { heal_pair(worker, node); });
}

// A zone is on its own: its nodes and workers reach each other, but neither the store nor the rest.
void fault_series::part_a_zone() {
  const auto zone = draw(zone_count);
  const auto for_each_cut = [this, zone](const auto& change_pair, const auto& change_store) {
    for (std::size_t node = 0; node < fleet_.node_count(); ++node) {
      const bool inside = fleet_.zone_of_node(node) == zone;
      if (inside) change_store(node);
      for (std::size_t worker = 0; worker < fleet_.workers().size(); ++worker) {
        if (inside != (fleet_.zone_of_worker(worker) == zone)) change_pair(worker, node);
      }
    }
  };
  for_each_cut(
      [this](std::size_t worker, std::size_t node) { cut_pair(worker, node, cut_kind::both_ways); },
      [this](std::size_t node) { cut_store(node, cut_kind::both_ways); });
  begin(fmt::format("zone_cut zone={}", zone),
        shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms)),
        [this, for_each_cut] {
          for_each_cut([this](std::size_t worker, std::size_t node) { heal_pair(worker, node); },
                       [this](std::size_t node) { fleet_.store().listener(node).heal(chance(2)); });
        });
}

// A node keeps nothing but some workers that nobody else reaches.
void fault_series::lose_the_store_but_one_worker() {
  const auto node = draw_node();
  const auto kept = draw(fleet_.workers().size());
  cut_store(node, cut_kind::both_ways);
  for (std::size_t worker = 0; worker < fleet_.workers().size(); ++worker) {
    if (worker != kept) cut_pair(worker, node, cut_kind::both_ways);
  }
  for (std::size_t other = 0; other < fleet_.node_count(); ++other) {
    if (other != node) cut_pair(kept, other, cut_kind::both_ways);
  }
  begin(fmt::format("alone node={} worker={}", node, kept),
        shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms)), [this, node, kept] {
          fleet_.store().listener(node).heal(chance(2));
          for (std::size_t worker = 0; worker < fleet_.workers().size(); ++worker) {
            if (worker != kept) heal_pair(worker, node);
          }
          for (std::size_t other = 0; other < fleet_.node_count(); ++other) {
            if (other != node) heal_pair(kept, other);
          }
        });
}

void fault_series::pause_node() {
  const auto node = draw_node();
  if (!fleet_.node(node).runs() || fleet_.node(node).paused()) return;
  fleet_.node(node).pause(true);
  begin(fmt::format("paused node={}", node),
        shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms / 2)), [this, node] {
          if (fleet_.node(node).paused()) fleet_.node(node).pause(false);
        });
}

void fault_series::end_node(int signal) {
  const auto node = draw_node();
  if (!fleet_.node(node).runs()) return;
  if (signal == SIGTERM) {
    // It ends by itself within its grace period, while other faults go on.
    if (fleet_.node(node).paused()) return;
    fleet_.node(node).ask_to_end();
    begin(fmt::format("stopped node={}", node), 7'000, [this, node] {
      fleet_.node(node).end(SIGKILL);
      fleet_.node(node).start();
    });
    return;
  }
  fleet_.node(node).end(SIGKILL);
  begin(fmt::format("killed node={}", node), static_cast<std::int64_t>(draw(3'000)), [this, node] {
    if (!fleet_.node(node).runs()) fleet_.node(node).start();
  });
}

void fault_series::restart_worker() {
  const auto worker = draw(fleet_.workers().size());
  fleet_.record().note(fmt::format("fault worker_restart worker={}", worker));
  fleet_.workers().restart(worker);
}

void fault_series::take_store_down() {
  fleet_.store().set_down(true);
  begin("store_down", shortest_fault_ms + static_cast<std::int64_t>(draw(longest_fault_ms)),
        [this] { fleet_.store().set_down(false); });
}

}  // namespace coltsfoot::testing
