#include "kind_registry.h"

#include <fmt/format.h>

#include "scenario_result.h"

namespace coltsfoot::review {
namespace {

constexpr std::int64_t check_in_ms = 1'100;
// An entry is removed after three check-in intervals of silence.
constexpr std::int64_t removed_after_ms = 3 * check_in_ms;
constexpr const char* registry_topic = "keyed.servers";

}  // namespace

kind_registry::~kind_registry() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

bool kind_registry::start() {
  // Each worker has checked in by then.
  sleep_for(500);
  for (std::size_t i = 0; i < fleet_.workers().size(); ++i) {
    const auto id = fmt::format("i-{:04x}", i);
    const auto text = fleet_.store().newest(registry_topic, id);
    if (text.empty()) return false;
    entry e{.id = id, .value = nlohmann::json::parse(text)};
    e.rack = e.value.at("labels").at(1).get<std::string>();
    if (racks_.contains(e.rack)) e.value["labels"] = {rare_kind, e.rack};
    entries_.push_back(std::move(e));
    fleet_.workers().cut_store(i, true);
  }
  // Until the stand-ins of the workers have removed the entries of their own.
  sleep_for(removed_after_ms + 500);
  thread_ = std::thread{[this] { run(); }};
  return true;
}

std::size_t kind_registry::lose_rack(const std::string& rack) {
  const std::lock_guard lock{mutex_};
  std::size_t lost = 0;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].rack != rack) continue;
    entries_[i].lost_at = fleet_.record().now_ms();
    fleet_.workers().restart(i);
    fleet_.workers().listener(i, 0).cut(testing::cut_kind::both_ways);
    ++lost;
  }
  return lost;
}

void kind_registry::write_entries() {
  const std::lock_guard lock{mutex_};
  for (auto& e : entries_) {
    if (e.lost_at == 0) {
      e.value["sequence"] = e.value["sequence"].get<std::uint64_t>() + 1;
      fleet_.store().put(registry_topic, e.id, e.value.dump());
    } else if (!e.removed && fleet_.record().now_ms() - e.lost_at >= removed_after_ms) {
      e.removed = true;
      fleet_.store().put(registry_topic, e.id, "");
    }
  }
}

void kind_registry::run() {
  constexpr std::int64_t tick_ms = 20;
  std::int64_t next = 0;
  while (!stopping_) {
    if (fleet_.record().now_ms() >= next) {
      next = fleet_.record().now_ms() + check_in_ms;
      write_entries();
    }
    sleep_for(tick_ms);
  }
}

}  // namespace coltsfoot::review
