#include "coltsfoot/jobs/job_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/jobs/topic_pages.h"

namespace coltsfoot::jobs {

job_node::job_node(job_node_options options, time_point now, log_sink log)
    : context_{.options = std::move(options), .sink = std::move(log), .now = now},
      last_event_(now),
      configuration_(context_.options.config_topic),
      workers_(context_.options.workers_topic) {
  shards_.push_back(std::make_unique<job_shard>(context_, first_shard));
}

std::vector<node_command> job_node::handle(node_event event, time_point now, wall_time wall) {
  std::deque<node_event> events;
  events.push_back(std::move(event));
  return handle_all(std::move(events), now, wall);
}

std::vector<node_command> job_node::handle_all(std::deque<node_event> events, time_point now,
                                               wall_time wall) {
  context_.now = now;
  context_.wall = wall;
  if (now - last_event_ > context_.options.pause_limit) {
    for (auto& shard : shards_) shard->on_pause();
  }
  last_event_ = now;
  const auto& options = context_.options;
  context_.refuses_waiting =
      shutdown_at_ && now - *shutdown_at_ >= options.drain_time - options.refusal_time;
  for (auto& event : events) {
    std::visit([this](auto&& e) { on(std::forward<decltype(e)>(e)); }, std::move(event));
  }
  if (!ended_) {
    open_shards();
    settle_unproved_cancels();
    count_owned_shards();
    extend_layout();
    balance_shards();
    hand_over_tasks();
    for (auto& shard : shards_) shard->proceed();
    read_topics();
    update_ready();
  }
  return std::exchange(context_.commands, {});
}

void job_node::on(const time_passed& event) {
  for (auto& shard : shards_) shard->on_tick(event.own_delay);
  shut_down_when_due();
}

job_owner* job_node::owner_of(const order_origin& origin) {
  if (origin.shard >= shards_.size()) return nullptr;
  auto* owner = shards_[origin.shard]->owner();
  return owner != nullptr && owner->fence() == origin.fence ? owner : nullptr;
}

void job_node::on(const start_answered& event) {
  if (auto* owner = owner_of(event.origin)) {
    auto answer = event.answer;
    answer.taken = context_.now - event.sent_at;
    owner->on_start_answer(event.life, event.run, answer, context_.now);
  }
}

void job_node::on(const stop_answered& event) {
  if (auto* owner = owner_of(event.origin)) {
    owner->on_stop_answer(event.life, event.run, event.answer, context_.now);
  }
}

void job_node::on(const pace_answered& event) {
  if (auto* owner = owner_of(event.origin)) {
    owner->on_pace_answer(event.life, event.run, event.answer);
  }
}

void job_node::on(const look_answered& event) {
  if (auto* owner = owner_of(event.origin)) {
    owner->on_look_answer(event.life, event.answer, event.sent_at, context_.now);
  }
}

void job_node::on(const append_ended& event) {
  if (event.verdict == append_verdict::recorded) {
    context_.store_contact = context_.now;
  } else {
    ++context_.stats.appends_failed;
  }
  for (auto& shard : shards_) shard->on_append_ended(event);
}

// --- Shards ---

std::size_t job_node::owned_shards() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(), [](const auto& shard) { return shard->is_owner(); }));
}

std::size_t job_node::jobs() const {
  std::size_t sum = 0;
  for (const auto& shard : shards_) sum += shard->table().size();
  return sum;
}

void job_node::open_shards() {
  while (shards_.size() < layout().shards) {
    const auto number = static_cast<shard_number>(shards_.size());
    shards_.push_back(std::make_unique<job_shard>(context_, number));
    context_.log(severity::info, fmt::format("event=shard_opened shard={} shards={} racks={}",
                                             number, layout().shards, layout().racks.size()));
    for (auto& shard : shards_) shard->set_shard_count(layout().shards);
  }
  std::size_t transfers = 0;
  for (const auto& shard : shards_) transfers += shard->transfers_applied();
  if (layout().racks.size() == racks_handed_ && transfers == transfers_handed_) return;
  racks_handed_ = layout().racks.size();
  transfers_handed_ = transfers;
  hand_all_listings();
}

// Tells the shards how much this node and their owners own already.
void job_node::count_owned_shards() {
  std::map<std::pair<std::string, std::uint64_t>, std::size_t> loads;
  context_.owned_shards = 0;
  for (const auto& shard : shards_) {
    if (shard->is_owner() || shard->is_claiming()) ++context_.owned_shards;
    ++loads[{shard->claim().node, shard->claim().life}];
  }
  for (auto& shard : shards_) {
    shard->set_owner_load(loads[{shard->claim().node, shard->claim().life}]);
  }
  const auto owned = owned_shards();
  if (owned > owned_before_ && owned_before_ > 0) hand_all_listings();
  if (owned > 0 && owned_before_ == 0) workers_.restart();
  if (owned == 0) registry_.clear();
  if (!shards_.front()->is_owner()) first_owned_since_ = context_.now;
  owned_before_ = owned;
}

// --- Topics ---

void job_node::read_topics() {
  const auto read = [this](topic_follower& follower, store_topic topic) {
    if (auto request = follower.next_request(context_.now)) {
      context_.push(
          read_topic{.call = context_.new_call(), .topic = topic, .request = std::move(*request)});
    }
  };
  read(configuration_, store_topic::configuration);
  if (owned_before_ > 0) read(workers_, store_topic::workers);
}

void job_node::on(topic_read event) {
  if (event.topic == store_topic::jobs) {
    const auto number = event.shard;
    if (number >= shards_.size()) return;
    shards_[number]->on_read(std::move(event));
    // Events of the same batch already see the layout that was read.
    open_shards();
    return;
  }
  if (event.topic == store_topic::configuration) {
    if (const auto change = take_page(configuration_, std::move(event), context_)) {
      apply_config(*change);
    }
    return;
  }
  if (const auto change = take_page(workers_, std::move(event), context_)) apply_workers(*change);
}

void job_node::apply_config(const topic_change& change) {
  apply_evacuations(change);
  for (const auto& record : change.records) {
    if (record.key != context_.options.codec.config_key || record.value.empty()) continue;
    auto decoded = context_.options.codec.config(record.value);
    if (!decoded) {
      ++context_.stats.malformed_records;
      context_.log(severity::warning,
                   fmt::format("event=config_ignored reason={}", log_value(decoded.error())));
      continue;
    }
    if (config_ && decoded->version <= config_->version) continue;
    context_.log(severity::info,
                 fmt::format("event=config_applied version={} former={} queues={}",
                             decoded->version, config_version(), decoded->queues.size()));
    config_ = std::move(*decoded);
  }
}

void job_node::apply_workers(const topic_change& change) {
  if (owned_before_ == 0) return;
  if (change.is_listing) {
    registry_.clear();
    registry_changed_ = context_.now;
  }
  for (const auto& record : change.records) note_listing(worker_id{record.key}, record.value);
  if (change.is_listing) hand_all_listings();
  report_empty_zones();
}

void job_node::note_listing(const worker_id& id, std::string_view value) {
  if (value.empty()) {
    registry_.erase(id);
    for (auto& shard : shards_) shard->on_unlisted(id);
    return;
  }
  auto decoded = context_.options.codec.worker(id.value, value);
  if (!decoded) {
    ++context_.stats.malformed_records;
    context_.log(severity::warning, fmt::format("event=worker_entry_ignored worker={} reason={}",
                                                log_value(id.value), log_value(decoded.error())));
    return;
  }
  auto& entry = registry_[id];
  if (entry.id.value.empty()) registry_changed_ = context_.now;
  entry = std::move(*decoded);
  entry.cold_until = context_.now + entry.cold_remaining;
  hand_listing(entry);
}

// A worker whose rack has no shard yet waits for the next layout.
void job_node::hand_listing(const worker_listing& listing) {
  const auto place = place_of(listing);
  if (!place) return;
  auto placed = listing;
  placed.transfers = place->transfers;
  shards_[place->shard]->on_listing(placed);
}

std::optional<job_node::worker_place> job_node::place_of(const worker_listing& listing) const {
  const auto first = layout().shard_of_rack(rack_of(listing));
  if (!first) return std::nullopt;
  worker_place place{.shard = *first};
  for (const auto& shard : shards_) {
    const auto found = shard->transfers().find(listing.id);
    if (found == shard->transfers().end() || found->second.number <= place.transfers) continue;
    place = {.shard = found->second.to, .transfers = found->second.number};
  }
  if (place.shard >= shards_.size()) return std::nullopt;
  return place;
}

void job_node::hand_all_listings() {
  std::vector<std::vector<worker_listing>> parts(shards_.size());
  for (const auto& [id, listing] : registry_) {
    const auto place = place_of(listing);
    if (!place) continue;
    parts[place->shard].push_back(listing);
    parts[place->shard].back().transfers = place->transfers;
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) shards_[i]->on_listings(parts[i]);
}

// --- Layout ---

// Workers are listed one after the other when the fleet starts; the number of shards waits for
// them.
bool job_node::first_layout_is_due() const {
  const auto& options = context_.options;
  if (context_.now - first_owned_since_ >= options.layout_patience) return true;
  return !registry_.empty() && context_.now - registry_changed_ >= options.registry_quiet;
}

void job_node::extend_layout() {
  auto& first = *shards_.front();
  if (!first.is_owner()) return;
  if (!layout().decided() && !first_layout_is_due()) return;
  rack_sizes racks;
  bool complete = layout().decided();
  for (const auto& [id, listing] : registry_) {
    const auto rack = rack_of(listing);
    ++racks[rack];
    complete = complete && layout().shard_of_rack(rack);
  }
  if (!complete) first.record_layout(extended(layout(), racks, context_.options.layout));
}

// --- Shutdown and readiness ---

void job_node::on(const shutdown_asked& /*event*/) {
  if (shutdown_at_) return;
  shutdown_at_ = context_.now;
  context_.shutting_down = true;
  context_.log(severity::info, fmt::format("event=shutdown_started owned_shards={} open_calls={}",
                                           owned_shards(), context_.open_calls.size()));
}

void job_node::shut_down_when_due() {
  if (!shutdown_at_ || ended_) return;
  const auto& options = context_.options;
  const auto age = context_.now - *shutdown_at_;
  const bool idle = context_.open_calls.empty() && context_.owned_shards == 0;
  if (age < options.drain_time && !(idle && context_.refuses_waiting)) return;
  ended_ = true;
  context_.log(severity::info, fmt::format("event=shutdown_ended open_calls={} age_ms={}",
                                           context_.open_calls.size(), age.count()));
  answer_open_calls();
  context_.push(end_process{});
}

void job_node::answer_open_calls() {
  for (auto& shard : shards_) shard->end_caller_appends();
  for (const auto& [call, query] : std::exchange(peer_queries_, {})) {
    answer_state(query.caller, query.job);
  }
  for (const auto& [call, waiting] : std::exchange(unproved_cancels_, {})) refuse_cancel(call);
}

void job_node::update_ready() {
  const bool in_contact = context_.store_contact &&
                          context_.now - *context_.store_contact < context_.options.store_silence;
  const bool may_serve = !shutdown_at_ && config_ && layout().decided() && in_contact;
  const bool caught_up = journals_are_read();
  // A copy that is read anew is caught up again within milliseconds.
  const bool shown = may_serve && (caught_up || ready_);
  if (shown == ready_) return;
  ready_ = shown;
  context_.log(severity::info,
               fmt::format("event=readiness ready={} config={} shards={} caught_up={} "
                           "store_contact={}",
                           ready_, config_version(), layout().shards, caught_up, in_contact));
  context_.push(show_ready{.ready = ready_});
}

}  // namespace coltsfoot::jobs
