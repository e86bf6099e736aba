#include "coltsfoot/membership/membership.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace coltsfoot {
namespace {

// Whether `after` differs from `before` by more than `limit` relative to the larger one.
bool differs(double before, double after, double limit) {
  return std::abs(after - before) > limit * std::max(std::abs(before), std::abs(after));
}

bool differs(const resources& before, const resources& after, double limit) {
  const auto number = [](std::int64_t value) { return static_cast<double>(value); };
  return differs(number(before.millicores), number(after.millicores), limit) ||
         differs(number(before.memory_mb), number(after.memory_mb), limit) ||
         before.accelerators != after.accelerators;
}

bool differs(const std::vector<service_room>& before, const std::vector<service_room>& after,
             double limit) {
  return !std::ranges::equal(before, after, [limit](const auto& a, const auto& b) {
    return a.service == b.service && a.total_slots == b.total_slots &&
           (a.free_slots == 0) == (b.free_slots == 0) &&
           !differs(a.free_slots * 1.0, b.free_slots * 1.0, limit);
  });
}

bool is_overloaded(const unit_entry& entry) {
  return entry.pressure >= 1.0;
}

// Whether `a` is a later state of the same node than `b`.
bool is_newer(const member_entry& a, const member_entry& b) {
  return std::tie(a.incarnation, a.heartbeat) > std::tie(b.incarnation, b.heartbeat);
}

}  // namespace

membership::membership(membership_options options, time_point now)
    : options_(std::move(options)), random_(options_.seed), next_round_(now) {
  self_ = {.node = options_.self.node,
           .incarnation = options_.self.incarnation,
           .address = options_.address,
           .zone = options_.zone};
  members_[self_.node] = {.entry = self_, .last_progress = now, .silent_since = now};
  directory_.set_address(self_.node, self_.address);
  update_live_nodes();
  choices_version_ = live_version();
}

void membership::set_leaving(bool leaving) {
  self_.leaving = leaving;
  members_[self_.node].entry.leaving = leaving;
  update_live_nodes();
}

void membership::set_log_readable(bool readable) {
  self_.log_readable = readable;
  members_[self_.node].entry.log_readable = readable;
}

void membership::on_tick(time_point now, outbox& out) {
  discount_pause(now);
  last_tick_ = now;
  if (now >= next_round_) send_round(now, out);
  update_liveness(now);
  refresh_choices(now);
}

void membership::discount_pause(time_point now) {
  if (!last_tick_) return;
  const duration gap = now - *last_tick_;
  if (gap <= options_.suspect_time / 2) return;
  for (auto& [node, member] : members_) {
    member.silent_since = std::min(now, member.silent_since + gap);
  }
  for (auto& [unit, choice] : choices_) choice.since = now;
}

void membership::update_liveness(time_point now) {
  bool changed = false;
  for (auto it = members_.begin(); it != members_.end();) {
    auto& [node, member] = *it;
    const duration silence = now - member.silent_since;
    const duration forget =
        member.entry.leaving ? options_.forget_leaving_time : options_.forget_time;
    if (node == self_.node || silence < options_.suspect_time) {
      ++it;
      continue;
    }
    if (member.alive) {
      directory_.remove_node(node);
      member.alive = false;
      changed = true;
    }
    if (silence < forget) {
      ++it;
      continue;
    }
    config_versions_.erase(node);
    member_sends_.erase(node);
    it = members_.erase(it);
  }
  if (changed) update_live_nodes();
}

void membership::update_live_nodes() {
  std::vector<node_id> live;
  for (const auto& [node, member] : members_) {
    if (member.alive && !member.entry.leaving) live.push_back(node);
  }
  kept_.set_nodes(std::move(live));
}

void membership::refresh_choices(time_point now) {
  if (choices_version_ == live_version()) return;
  choices_version_ = live_version();
  for (auto& [unit, choice] : choices_) {
    const auto& node = kept_.of(unit.value);
    if (node != choice.node) choice = {node, now};
  }
}

void membership::on_gossip(call_id call, const gossip& message, time_point now, outbox& out) {
  take(message, now);
  out.push(send_peer_reply{.call = call, .reply = gossip_reply{.content = make_message(&message)}});
}

void membership::on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                                 time_point now, outbox& out) {
  if (calls_.erase(call) == 0) return;
  if (!reply) {
    out.count("membership_gossip_failures_total");
    return;
  }
  if (const auto* answer = std::get_if<gossip_reply>(&*reply)) take(answer->content, now);
}

void membership::take(const gossip& message, time_point now) {
  for (const member_entry& entry : message.members) take_member(entry, now);
  for (const unit_entry& entry : message.units) take_unit(entry);
  if (message.from != self_.node && members_.contains(message.from)) {
    auto& version = config_versions_[message.from];
    version = std::max(version, message.config_version);
  }
  refresh_choices(now);
}

void membership::take_member(const member_entry& entry, time_point now) {
  if (entry.node == self_.node || entry.node.empty()) return;
  const auto found = members_.find(entry.node);
  if (found != members_.end() && !is_newer(entry, found->second.entry)) return;
  const bool was_live =
      found != members_.end() && found->second.alive && !found->second.entry.leaving;
  members_[entry.node] = {.entry = entry, .last_progress = now, .silent_since = now};
  const bool is_live = !entry.leaving;
  if (was_live != is_live) update_live_nodes();
  member_sends_[entry.node] = 0;
  directory_.set_address(entry.node, entry.address);
}

void membership::take_unit(const unit_entry& entry) {
  // After a lost epoch this node may still hear its own entries; newer ones are only made here.
  if (directory_.update(entry)) unit_sends_[entry.unit] = 0;
}

void membership::set_local_units(std::vector<unit_entry> units, time_point now) {
  std::map<unit_id, local_unit> next;
  for (unit_entry& entry : units) {
    entry.owner = self_.node;
    const auto last = local_units_.find(entry.unit);
    const bool same_epoch =
        last != local_units_.end() && last->second.entry.unit_epoch == entry.unit_epoch;
    if (same_epoch && !is_worth_sending(last->second, entry, now)) {
      next.emplace(entry.unit, std::move(last->second));
      continue;
    }
    entry.version = same_epoch ? last->second.entry.version + 1 : 1;
    take_unit(entry);
    const unit_id unit = entry.unit;
    next.emplace(unit, local_unit{std::move(entry), now});
  }
  local_units_ = std::move(next);
}

bool membership::is_worth_sending(const local_unit& last, const unit_entry& entry,
                                  time_point now) const {
  const unit_entry& before = last.entry;
  if (before.ready != entry.ready || (!is_overloaded(before) && is_overloaded(entry))) return true;
  const duration age = now - last.changed;
  const auto unit_count = static_cast<std::int64_t>(directory_.entries().size());
  if (age >= std::max(options_.hint_refresh, unit_count * options_.refresh_per_unit)) return true;
  const double limit = options_.hint_change;
  return age >= options_.hint_interval &&
         (differs(before.largest_free, entry.largest_free, limit) ||
          differs(before.total_free, entry.total_free, limit) ||
          differs(before.total_capacity, entry.total_capacity, limit) ||
          differs(before.pressure, entry.pressure, limit) ||
          differs(before.services, entry.services, limit));
}

bool membership::is_alive(const writer_id& writer) const {
  const auto found = members_.find(writer.node);
  return found != members_.end() && found->second.alive &&
         found->second.entry.incarnation <= writer.incarnation;
}

duration membership::rendezvous_stable_for(const unit_id& unit, time_point now) {
  refresh_choices(now);
  auto found = choices_.find(unit);
  if (found == choices_.end()) {
    found = choices_.emplace(unit, stable_choice{kept_.of(unit.value), now}).first;
  }
  return now - found->second.since;
}

std::vector<member_entry> membership::heard_recently(time_point now) const {
  std::vector<member_entry> out;
  for (const auto& [node, member] : members_) {
    if (node == self_.node || now - member.last_progress < options_.suspect_time) {
      out.push_back(member.entry);
    }
  }
  return out;
}

bool membership::may_act_without_log(time_point now) const {
  const auto heard = heard_recently(now);
  return 2 * heard.size() > known_nodes() &&
         std::ranges::none_of(heard, [](const member_entry& entry) { return entry.log_readable; });
}

// A node that has just started knows few members, so seeds that it never heard count as well.
std::size_t membership::known_nodes() const {
  std::set<std::string> addresses;
  for (const auto& [node, member] : members_) addresses.insert(member.entry.address);
  std::size_t unseen_seeds = 0;
  for (const std::string& seed : options_.seeds) {
    if (addresses.insert(seed).second) ++unseen_seeds;
  }
  return members_.size() + unseen_seeds;
}

std::vector<peer_config_version> membership::config_versions() const {
  std::vector<peer_config_version> out;
  for (const auto& [node, version] : config_versions_) {
    const auto found = members_.find(node);
    if (found == members_.end() || !found->second.alive) continue;
    out.push_back({found->second.entry.address, version});
  }
  std::ranges::stable_sort(out, std::ranges::greater{}, &peer_config_version::version);
  return out;
}

void membership::send_round(time_point now, outbox& out) {
  next_round_ = now + options_.heartbeat_interval;
  ++round_;
  ++self_.heartbeat;
  members_[self_.node] = {.entry = self_, .last_progress = now, .silent_since = now};
  for (const std::string& address : pick_targets()) {
    const call_id call = out.new_call();
    calls_.insert(call);
    out.push(send_peer_request{.call = call,
                               .address = address,
                               .request = make_message(nullptr),
                               .timeout = options_.gossip_timeout});
  }
}

std::vector<std::string> membership::pick_targets() {
  std::vector<std::string> out;
  for (const auto& [node, member] : members_) {
    if (member.alive && node != self_.node) out.push_back(member.entry.address);
  }
  std::ranges::shuffle(out, random_);
  if (out.size() > options_.fanout) out.resize(options_.fanout);
  const bool alone = out.empty();
  if (!alone && round_ % options_.probe_rounds != 0) return out;
  auto probes = probe_addresses();
  std::ranges::shuffle(probes, random_);
  const std::size_t count = alone ? options_.fanout : 1;
  if (probes.size() > count) probes.resize(count);
  out.insert(out.end(), probes.begin(), probes.end());
  return out;
}

// Returns the addresses of dead members and of seeds that are no live member.
std::vector<std::string> membership::probe_addresses() const {
  std::set<std::string> live;
  std::set<std::string> probes{options_.seeds.begin(), options_.seeds.end()};
  for (const auto& [node, member] : members_) {
    (member.alive ? live : probes).insert(member.entry.address);
  }
  live.insert(self_.address);
  std::vector<std::string> out;
  std::ranges::set_difference(probes, live, std::back_inserter(out));
  return out;
}

gossip membership::make_message(const gossip* known) {
  return {.from = self_.node,
          .config_version = config_version_,
          .members = pick_members(known),
          .units = pick_units()};
}

// Dead members are left out: a node that hears of one for the first time would believe it alive.
std::vector<member_entry> membership::pick_members(const gossip* known) {
  const auto is_known = [known](const member_entry& entry) {
    return known != nullptr &&
           (known->from == entry.node ||
            std::ranges::any_of(known->members, [&entry](const member_entry& other) {
              return other.node == entry.node && !is_newer(entry, other);
            }));
  };
  std::vector<const member_view*> candidates;
  for (const auto& [node, member] : members_) {
    if (member.alive && node != self_.node && !is_known(member.entry)) {
      candidates.push_back(&member);
    }
  }
  std::ranges::sort(candidates, [this](const member_view* a, const member_view* b) {
    return std::tuple(member_sends_[a->entry.node], b->last_progress, a->entry.node) <
           std::tuple(member_sends_[b->entry.node], a->last_progress, b->entry.node);
  });
  std::vector<member_entry> out{self_};
  for (const member_view* member : candidates) {
    if (out.size() >= options_.max_members) break;
    ++member_sends_[member->entry.node];
    out.push_back(member->entry);
  }
  return out;
}

std::vector<unit_entry> membership::pick_units() {
  std::vector<std::pair<std::uint32_t, const unit_entry*>> candidates;
  for (const auto& [unit, entry] : directory_.entries()) {
    const std::uint32_t sends = unit_sends_[unit];
    if (sends < options_.unit_sends) candidates.emplace_back(sends, &entry);
  }
  std::ranges::shuffle(candidates, random_);
  std::ranges::stable_sort(candidates, {}, &std::pair<std::uint32_t, const unit_entry*>::first);
  if (candidates.size() > options_.max_units) candidates.resize(options_.max_units);
  std::vector<unit_entry> out;
  for (const auto& [sends, entry] : candidates) {
    ++unit_sends_[entry->unit];
    out.push_back(*entry);
  }
  return out;
}

}  // namespace coltsfoot
