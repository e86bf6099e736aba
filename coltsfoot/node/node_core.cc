#include "coltsfoot/node/node_core.h"

#include <fmt/format.h>

#include <utility>

#include "coltsfoot/base/hash.h"

namespace coltsfoot {
namespace {

// Marks calls that this node makes to itself among the call ids of received requests, which the
// peer transport chooses.
constexpr call_id local_call_bit = call_id{1} << 63;

constexpr std::string_view rack_prefix = "rack/";
constexpr std::string_view customer_prefix = "customer/";

unit_set_options unit_options(const node_core_options& options) {
  unit_set_options out{.self = options.self, .stream = options.stream, .claims = options.claims};
  return out;
}

rack_owner make_rack(const node_core_options& options, const unit_id& unit) {
  auto rack = options.rack;
  rack.rack = rack_id{unit.value.substr(rack_prefix.size())};
  rack.seed = stable_hash(std::to_string(options.seed), unit.value);
  return rack_owner{rack};
}

customer_owner make_customer(const node_core_options& options, const unit_id& unit) {
  auto customer = options.customer;
  customer.customer = customer_id{unit.value.substr(customer_prefix.size())};
  customer.task_chart = options.charts.task;
  customer.zone = options.zone;
  customer.seed = stable_hash(std::to_string(options.seed), unit.value);
  return customer_owner{customer};
}

}  // namespace

tl::expected<chart_set, chart_error> chart_set::load(const std::string& directory) {
  chart_set charts;
  const std::array files{
      std::pair{"node.yaml", &charts.node}, std::pair{"ownership.yaml", &charts.ownership},
      std::pair{"request.yaml", &charts.request}, std::pair{"task.yaml", &charts.task}};
  for (const auto& [file, chart] : files) {
    auto loaded = state_chart::load(directory + "/" + file);
    if (!loaded) return tl::unexpected(loaded.error());
    *chart = std::move(*loaded);
  }
  return charts;
}

node_core::node_core(node_core_options options, time_point now)
    : options_([&options] {
        options.membership.self = options.self;
        options.membership.address = options.address;
        options.membership.zone = options.zone;
        options.membership.seed = options.seed;
        options.config.writer = options.self;
        options.routing.zone = options.zone;
        options.routing.seed = options.seed;
        return std::move(options);
      }()),
      started_(now),
      members_(options_.membership, now),
      config_(options_.config),
      racks_(unit_options(options_),
             [this](const unit_id& unit) { return make_rack(options_, unit); }),
      customers_(unit_options(options_),
                 [this](const unit_id& unit) { return make_customer(options_, unit); }),
      router_(options_.routing, options_.charts.request) {
  // Each stream points at the chart, so it must be the member's and not the argument's.
  racks_.set_chart(options_.charts.ownership);
  customers_.set_chart(options_.charts.ownership);
}

std::vector<command> node_core::handle(const event& e, time_point now) {
  std::vector<command> commands;
  dispatch(e, now);
  collect_commands(commands, now);
  while (!local_events_.empty()) {
    const event next = std::move(local_events_.front());
    local_events_.pop_front();
    dispatch(next, now);
    collect_commands(commands, now);
  }
  return commands;
}

void node_core::dispatch(const event& e, time_point now) {
  std::visit([this, now](const auto& body) { on(body, now); }, e);
}

void node_core::on(const tick& /*e*/, time_point now) {
  const auto surroundings = env(now);
  expire_local_calls(now);
  out_.set_origin({core_module::membership, {}});
  members_.on_tick(now, out_);
  out_.set_origin({core_module::config, {}});
  config_.on_tick(now, surroundings.wall, out_);
  for (const auto& [address, version] : members_.config_versions()) {
    config_.on_peer_version(address, version, now, out_);
  }
  const bool responsible = members_.rendezvous_choice(unit_id{"config"}) == options_.self.node;
  config_.restate_if_due(responsible, now, surroundings.wall, out_);
  read_hosts(now);
  manage_units(now);
  racks_.on_tick(now, surroundings);
  customers_.on_tick(now, surroundings);
  out_.set_origin({core_module::routing, {}});
  auto routing = view();
  router_.on_tick(now, routing);
  tell_peers(now);
  continue_lifecycle(now);
}

void node_core::on(const peer_replied& e, time_point now) {
  const auto origin = out_.take_origin(e.call);
  if (!origin) return;
  out_.set_origin(*origin);
  switch (origin->module) {
    case core_module::membership:
      return members_.on_peer_replied(e.call, e.reply, now, out_);
    case core_module::config:
      return config_.on_peer_replied(e.call, e.reply, now, wall_of(now), out_);
    case core_module::routing: {
      auto routing = view();
      return router_.on_peer_replied(e.call, e.reply, now, routing);
    }
    case core_module::operators:
      return on_customer_reply(e.call, e.reply);
    default:
      break;
  }
  if (auto* stream = customers_.find(origin->unit)) {
    stream->with_unit(now, env(now), [&](customer_owner& unit, unit_context& context) {
      unit.on_peer_replied(e.call, e.reply, now, context);
    });
  }
  with_rack(origin->unit, now, [&](rack_owner& unit, unit_context& context) {
    unit.on_peer_replied(e.call, e.reply, now, context);
  });
}

void node_core::on(const log_appended& e, time_point now) {
  const auto origin = out_.take_origin(e.call);
  if (!origin) return;
  out_.set_origin(*origin);
  if (origin->module == core_module::config) {
    return config_.on_log_appended(e.call, e.offset, now, wall_of(now), out_);
  }
  if (auto* stream = racks_.find(origin->unit)) stream->on_log_appended(e, now, env(now));
  if (auto* stream = customers_.find(origin->unit)) stream->on_log_appended(e, now, env(now));
}

void node_core::on(const log_read& e, time_point now) {
  const auto origin = out_.take_origin(e.call);
  if (!origin) return;
  out_.set_origin(*origin);
  if (origin->module == core_module::config) {
    return config_.on_log_read(e.call, e.page, now, wall_of(now), out_);
  }
  if (auto* stream = racks_.find(origin->unit)) stream->on_log_read(e, now, env(now));
  if (auto* stream = customers_.find(origin->unit)) stream->on_log_read(e, now, env(now));
}

void node_core::on(const host_list_read& e, time_point now) {
  if (!out_.take_origin(e.call)) return;
  hosts_asked_.reset();
  hosts_due_ = now + options_.host_list_interval;
  if (!e.hosts) {
    out_.count("host_list_failures_total");
    return;
  }
  hosts_ = *e.hosts;
  hosts_known_ = true;
  ++hosts_version_;
}

void node_core::on(const worker_synced& e, time_point now) {
  const auto origin = out_.take_origin(e.call);
  if (!origin) return;
  with_rack(origin->unit, now, [&](rack_owner& unit, unit_context& context) {
    unit.on_worker_synced(e.call, e.reply, now, context);
  });
}

void node_core::on(const backend_answered& e, time_point now) {
  const auto origin = out_.take_origin(e.call);
  if (!origin) return;
  with_rack(origin->unit, now, [&](rack_owner& unit, unit_context& context) {
    unit.on_backend_answered(e.call, e.answer, now, context);
  });
}

void node_core::on(const caller_request_received& e, time_point now) {
  out_.set_origin({core_module::routing, {}});
  auto routing = view();
  router_.on_caller_request(e.call, e.request, now, routing);
}

void node_core::on(const shutdown_requested& /*e*/, time_point now) {
  if (shutdown_since_ || !advance("shutdown")) return;
  shutdown_since_ = now;
  out_.push(set_ready{.ready = false});
  members_.set_leaving(true);
  router_.begin_drain();
  out_.log(severity::info, "event=shutdown_begun");
}

void node_core::manage_units(time_point now) {
  if (managed_at_ && now < *managed_at_ + options_.manage_interval) return;
  managed_at_ = now;
  const auto surroundings = env(now);
  claim_surroundings around{
      .members = members_, .may_claim = may_claim(now), .leaving = phase_ == node_phase::releasing};
  update_wanted();
  racks_.manage(wanted_racks_, around, now, surroundings);
  customers_.manage(wanted_customers_, around, now, surroundings);
}

bool node_core::may_claim(time_point now) {
  if (now < started_ + options_.claim_delay) return false;
  if (shutdown_since_ || !config_.ready() || !hosts_known_) return false;
  if (members_.heard_recently(now).size() * 2 > members_.known_nodes()) {
    minority_since_.reset();
    return true;
  }
  if (!minority_since_) minority_since_ = now;
  return now >= *minority_since_ + options_.minority_delay;
}

void node_core::update_wanted() {
  const wanted_basis basis{.hosts_version = hosts_version_,
                           .config_version = config_.current().version,
                           .directory_units = members_.directory().entries().size()};
  if (wanted_basis_ == basis) return;
  wanted_basis_ = basis;
  wanted_racks_.set(find_racks());
  wanted_customers_.set(find_customers());
}

std::set<unit_id> node_core::find_racks() const {
  std::set<unit_id> wanted;
  for (const auto& worker : hosts_.workers) wanted.insert(rack_unit(worker.rack));
  for (const unit_entry* entry : members_.directory().racks()) wanted.insert(entry->unit);
  return wanted;
}

std::set<unit_id> node_core::find_customers() const {
  std::set<unit_id> wanted;
  for (const auto& [id, entry] : config_.current().customers) {
    wanted.insert(customer_unit(entry.id));
  }
  // A customer that is no longer configured still has its open tasks.
  for (const auto& [unit, entry] : members_.directory().entries()) {
    if (unit.value.starts_with(customer_prefix)) wanted.insert(unit);
  }
  return wanted;
}

void node_core::read_hosts(time_point now) {
  if (hosts_asked_ && now < *hosts_asked_ + options_.host_list_stall) return;
  if (!hosts_asked_ && hosts_due_ && now < *hosts_due_) return;
  out_.set_origin({core_module::hosts, {}});
  out_.push(read_host_list{.call = out_.new_call()});
  hosts_asked_ = now;
}

void node_core::tell_peers(time_point now) {
  const auto surroundings = env(now);
  std::vector<unit_entry> units;
  racks_.describe(units, now, surroundings);
  customers_.describe(units, now, surroundings);
  members_.set_local_units(std::move(units), now);
  members_.set_config_version(config_.current().version);
  const auto last_read = config_.last_log_read();
  // A failed read counts at once: an owner that lost the log too must hear that it is down for all
  // before its own confirmation period ends, or the racks would stop serving for a moment.
  members_.set_log_readable(last_read && !config_.last_read_failed() &&
                            now < *last_read + options_.stream.confirmation_period);
}

void node_core::continue_lifecycle(time_point now) {
  if (phase_ == node_phase::starting && config_.ready() && hosts_known_ &&
      now >= started_ + options_.claim_delay) {
    if (advance("became_ready")) out_.push(set_ready{.ready = true});
  }
  if (phase_ == node_phase::draining && router_.in_progress() == 0) advance("requests_ended");
  if (phase_ == node_phase::releasing && racks_.owned() + customers_.owned() == 0) {
    if (advance("units_released")) out_.push(stop_process{});
  }
  const bool is_ending = phase_ == node_phase::draining || phase_ == node_phase::releasing;
  if (is_ending && now >= *shutdown_since_ + options_.shutdown_limit) {
    out_.log(severity::warning,
             fmt::format("event=shutdown_time_up requests={} units={}", router_.in_progress(),
                         racks_.owned() + customers_.owned()));
    if (!advance("time_up")) return;
    auto routing = view();
    router_.refuse_in_progress(routing);
    out_.push(stop_process{});
  }
}

bool node_core::advance(std::string_view chart_event) {
  const auto next = next_state(options_.charts.node, phase_, chart_event);
  if (!next) {
    out_.count("chart_undefined_transitions_total");
    out_.log(severity::error, fmt::format("event=undefined_transition chart=node state={} "
                                          "transition={}",
                                          name_of(phase_), chart_event));
    return false;
  }
  phase_ = *next;
  out_.log(severity::info, fmt::format("event=node_phase phase={}", name_of(phase_)));
  return true;
}

void node_core::collect_commands(std::vector<command>& commands, time_point now) {
  for (auto& c : out_.take_commands()) {
    if (!take_local(c, now)) commands.push_back(std::move(c));
  }
}

// The unit that a call went to may be gone before it replies. The transport ends calls to other
// nodes after their timeout; calls to this node itself end here. A call that has its reply is
// unaffected, since its origin is forgotten.
void node_core::expire_local_calls(time_point now) {
  while (!local_deadlines_.empty() && local_deadlines_.begin()->first <= now) {
    local_events_.push_back(peer_replied{.call = local_deadlines_.begin()->second,
                                         .reply = tl::unexpected(peer_failure::unknown)});
    local_deadlines_.erase(local_deadlines_.begin());
  }
}

bool node_core::take_local(command& c, time_point now) {
  if (auto* sent = std::get_if<send_peer_request>(&c)) {
    if (sent->address.empty()) {
      local_events_.push_back(
          peer_replied{.call = sent->call, .reply = tl::unexpected(peer_failure::not_processed)});
      return true;
    }
    if (sent->address != options_.address) return false;
    local_deadlines_.emplace(now + sent->timeout, sent->call);
    local_events_.push_back(peer_request_received{.call = sent->call | local_call_bit,
                                                  .request = std::move(sent->request)});
    return true;
  }
  if (auto* reply = std::get_if<send_peer_reply>(&c)) {
    if ((reply->call & local_call_bit) == 0) return false;
    local_events_.push_back(
        peer_replied{.call = reply->call & ~local_call_bit, .reply = std::move(reply->reply)});
    return true;
  }
  if (const auto* refused = std::get_if<refuse_peer_request>(&c)) {
    if ((refused->call & local_call_bit) == 0) return false;
    local_events_.push_back(peer_replied{.call = refused->call & ~local_call_bit,
                                         .reply = tl::unexpected(peer_failure::not_processed)});
    return true;
  }
  return false;
}

owned_stream_env node_core::env(time_point now) {
  return {.out = out_,
          .config = config_.current(),
          .hosts = hosts_,
          .directory = members_.directory(),
          .wall = wall_of(now),
          .peers_say_log_is_down = members_.may_act_without_log(now)};
}

router_view node_core::view() {
  return {.out = out_, .config = config_.current(), .directory = members_.directory()};
}

template <typename F>
void node_core::with_rack(const unit_id& unit, time_point now, F&& f) {
  if (auto* stream = racks_.find(unit)) stream->with_unit(now, env(now), std::forward<F>(f));
}

}  // namespace coltsfoot
