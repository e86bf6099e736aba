// The part of a node that passes evacuated zones on to the owners of its shards.
#include <fmt/format.h>

#include <algorithm>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/job_node.h"

namespace coltsfoot::jobs {

void job_node::apply_evacuations(const topic_change& change) {
  const auto events = context_.evacuated.apply(change, context_.now);
  if (events.empty()) return;
  for (const auto& event : events) {
    log_evacuation(event);
    if (event.kind == evacuation_event_kind::ignored) ++context_.stats.malformed_records;
    if (event.kind == evacuation_event_kind::evacuated) zones_checked_.erase(event.zone);
  }
  for (auto& shard : shards_) shard->on_evacuation();
  report_empty_zones();
}

void job_node::log_evacuation(const evacuation_event& event) const {
  std::size_t runs = 0;
  for (const auto& shard : shards_) {
    if (shard->is_owner()) runs += std::as_const(*shard).owner()->runs_in_zone(event.zone);
  }
  const auto zone = log_value_or_none(event.zone);
  switch (event.kind) {
    case evacuation_event_kind::evacuated: {
      const auto workers = std::count_if(registry_.begin(), registry_.end(), [&](const auto& w) {
        return w.second.zone == event.zone;
      });
      return context_.log(
          severity::info,
          fmt::format("event={} zone={} workers={} runs={} owned_shards={} from_listing={}",
                      name_of(event.kind), zone, workers, runs, owned_shards(),
                      context_.evacuated.zones().at(event.zone).from_listing));
    }
    case evacuation_event_kind::taken_back:
      return context_.log(severity::info,
                          fmt::format("event={} zone={} after_ms={} runs={}", name_of(event.kind),
                                      zone, event.in_force.count(), runs));
    case evacuation_event_kind::ignored:
      return context_.log(severity::warning,
                          fmt::format("event={} zone={} reason={}", name_of(event.kind), zone,
                                      log_value(event.reason)));
  }
}

// Only the owner of the first shard does so: each owner knows the whole registry.
void job_node::report_empty_zones() {
  if (context_.evacuated.zones().empty() || !shards_.front()->is_owner()) return;
  if (!workers_.caught_up()) return;
  for (const auto& [zone, evacuation] : context_.evacuated.zones()) {
    if (!zones_checked_.insert(zone).second) continue;
    const bool has_worker = std::any_of(registry_.begin(), registry_.end(),
                                        [&](const auto& w) { return w.second.zone == zone; });
    if (has_worker) continue;
    log_evacuation(
        {.kind = evacuation_event_kind::ignored, .zone = zone, .reason = "no_worker_listed"});
  }
}

}  // namespace coltsfoot::jobs
