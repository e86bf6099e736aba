// The part of the virtual fleet that executes the nodes' commands: store, workers, other nodes.
#include <algorithm>
#include <utility>

#include "tests/jobs/virtual_fleet.h"

namespace coltsfoot::testing {
namespace {

using jobs::append_verdict;
using jobs::order_verdict;

constexpr duration network_delay{1};
constexpr duration slow_network_delay{600};
constexpr duration late_append_delay{5'000};
constexpr duration longest_append_queue{2'000};

// Sizes of orders with their headers, specification included.
std::size_t bytes_of(const jobs::worker_order& order) {
  constexpr std::size_t start_bytes = 1'100;
  constexpr std::size_t other_bytes = 280;
  return std::holds_alternative<jobs::start_order>(order.order) ? start_bytes : other_bytes;
}

std::size_t bytes_of(const std::vector<jobs::keyed_record>& records) {
  std::size_t sum = 250;  // the head of the request
  for (const auto& record : records) sum += record.key.size() + record.value.size();
  return sum;
}

// The result of an order without a report.
jobs::node_event result_of(const jobs::give_order& c, order_verdict verdict) {
  const auto& life = c.order.life;
  if (const auto* start = std::get_if<jobs::start_order>(&c.order.order)) {
    return jobs::start_answered{.origin = c.origin,
                                .life = life,
                                .run = start->run,
                                .answer = {.verdict = verdict},
                                .sent_at = c.sent_at};
  }
  if (const auto* stop = std::get_if<jobs::stop_order>(&c.order.order)) {
    return jobs::stop_answered{
        .origin = c.origin, .life = life, .run = stop->run, .answer = {.verdict = verdict}};
  }
  if (const auto* pace = std::get_if<jobs::pace_order>(&c.order.order)) {
    return jobs::pace_answered{
        .origin = c.origin, .life = life, .run = pace->run, .answer = {.verdict = verdict}};
  }
  return jobs::look_answered{
      .origin = c.origin, .life = life, .answer = {.verdict = verdict}, .sent_at = c.sent_at};
}

}  // namespace

void virtual_fleet::execute(int node, jobs::node_command command) {
  std::visit([&](const auto& c) { run(node, c); }, command);
}

void virtual_fleet::run(int /*node*/, const jobs::answer_caller_call& c) {
  answers_[c.call] = c.answer;
  const auto submit = submit_calls_.find(c.call);
  if (submit != submit_calls_.end() && c.answer.verdict == jobs::caller_verdict::accepted) {
    accepted_.insert(submit->second);
  }
  const auto cancel = cancel_calls_.find(c.call);
  if (cancel == cancel_calls_.end()) return;
  // That an accepted job doesn't exist is an acknowledgement too.
  const bool denied =
      c.answer.verdict == jobs::caller_verdict::no_such_job && accepted_.contains(cancel->second);
  if (denied || c.answer.verdict == jobs::caller_verdict::cancelled) {
    cancelled_.try_emplace(cancel->second, now_);
  }
}

void virtual_fleet::run(int node, const jobs::append_to_jobs& c) {
  const bool cut = store_down_ || nodes_.at(static_cast<std::size_t>(node)).store_cut;
  if (cut) {
    return deliver_after(
        node, duration{50},
        jobs::append_ended{.call = c.call, .verdict = append_verdict::not_recorded});
  }
  if (late_caller_appends_ && !c.sequence) {
    after(late_append_delay, [this, c] { store_.append(c); });
    return deliver_after(node, c.timeout,
                         jobs::append_ended{.call = c.call, .verdict = append_verdict::unknown});
  }
  after(send_delay(node, bytes_of(c.records)), [this, node, c] {
    if (options_.serial_appends) return append_in_turn(node, c);
    const auto verdict = store_.append(c);
    if (chance(options_.compacted_appends)) store_.compact();
    if (chance(options_.lost_append_answers)) {
      return deliver_after(node, c.timeout,
                           jobs::append_ended{.call = c.call, .verdict = append_verdict::unknown});
    }
    deliver_after(node, std::min(append_time_, c.timeout),
                  jobs::append_ended{
                      .call = c.call,
                      .verdict = append_time_ < c.timeout ? verdict : append_verdict::unknown});
  });
}

void virtual_fleet::append_in_turn(int node, const jobs::append_to_jobs& c) {
  // The answer takes as long as the append.
  auto& free_at = journal_free_at_[c.shard];
  const auto begins = std::max(now_, free_at);
  if (begins - now_ > longest_append_queue) {
    return deliver_after(
        node, network_delay,
        jobs::append_ended{.call = c.call, .verdict = append_verdict::not_recorded});
  }
  free_at = begins + append_time_;
  const bool answered = free_at + append_time_ - now_ < c.timeout;
  after(free_at - now_, [this, node, c, answered] {
    const auto verdict = store_.append(c);
    if (!answered) return;
    deliver_after(node, append_time_, jobs::append_ended{.call = c.call, .verdict = verdict});
  });
  if (answered) return;
  deliver_after(node, c.timeout,
                jobs::append_ended{.call = c.call, .verdict = append_verdict::unknown});
}

void virtual_fleet::run(int node, const jobs::read_topic& c) {
  const auto* tail = std::get_if<jobs::tail_request>(&c.request);
  const auto wait = tail == nullptr ? duration{0} : tail->wait;
  after(network_delay, [this, node, c, until = now_ + wait] { read_when_due(node, c, until); });
}

void virtual_fleet::read_when_due(int node, const jobs::read_topic& c, time_point until) {
  jobs::topic_read event{.call = c.call, .topic = c.topic, .shard = c.shard};
  const bool unreadable = c.topic == jobs::store_topic::configuration && !config_readable_;
  if (store_down_ || unreadable || nodes_.at(static_cast<std::size_t>(node)).store_cut) {
    event.page = jobs::read_failed{};
    return deliver_after(node, duration{50}, std::move(event));
  }
  if (!store_.has_news(c) && now_ < until) {
    return after(duration{5}, [this, node, c, until] { read_when_due(node, c, until); });
  }
  event.page = store_.read(c);
  deliver_after(node, network_delay, std::move(event));
}

void virtual_fleet::run(int node, const jobs::give_order& c) {
  const auto order = ++last_order_;
  open_orders_.insert(order);
  after(c.order.timeout, [this, node, order, c] {
    end_order(node, order, result_of(c, order_verdict::unanswered));
  });
  const auto transit = send_delay(node, bytes_of(c.order));
  if (const auto* look = std::get_if<jobs::look_order>(&c.order.order)) {
    const auto delay = chance(options_.slow_looks) ? slow_network_delay : transit;
    const auto until = now_ + delay + look->wait;
    return after(delay, [this, node, order, c, until] { look_when_due(node, order, c, until); });
  }
  const bool late = chance(options_.late_orders);
  const bool answered = !late && !chance(options_.lost_answers);
  const duration delay = late
                             ? duration{std::uniform_int_distribution<int>{
                                   2'000, static_cast<int>(options_.latest_order.count())}(random_)}
                             : transit;
  // What holds up a late order is near its worker, behind a cut that begins meanwhile.
  if (late && !reaches_worker(node, std::stoi(c.order.address))) return;
  after(delay, [this, node, order, c, answered] { execute_order(node, order, c, answered); });
}

void virtual_fleet::end_order(int node, std::uint64_t order, jobs::node_event result) {
  if (open_orders_.erase(order) > 0) deliver(node, std::move(result));
}

duration virtual_fleet::send_delay(int node, std::size_t bytes) {
  if (options_.link_bytes_per_s <= 0) return network_delay;
  auto& free_at = nodes_.at(static_cast<std::size_t>(node)).link_free_at;
  const auto ms = 1'000 * static_cast<double>(bytes) / options_.link_bytes_per_s;
  free_at = std::max(free_at, now_) + duration{static_cast<std::int64_t>(ms)};
  return network_delay + (free_at - now_);
}

void virtual_fleet::execute_order(int node, std::uint64_t order, const jobs::give_order& c,
                                  bool answered) {
  const auto number = std::stoi(c.order.address);
  auto& state = workers_.at(static_cast<std::size_t>(number));
  if (answered && !reaches_worker(node, number)) return;
  if (is_silent(number)) {
    return after(state.silent_until - now_,
                 [this, node, order, c, answered] { execute_order(node, order, c, answered); });
  }
  auto result = result_of(c, order_verdict::unanswered);
  if (const auto* start = std::get_if<jobs::start_order>(&c.order.order)) {
    const bool there = state.runner.runs().contains(start->run.task);
    std::get<jobs::start_answered>(result).answer = state.runner.start(*start, c.fence, now_);
    if (!there && state.runner.runs().contains(start->run.task)) check_start(start->run, !answered);
    check_runs();
  } else if (const auto* stop = std::get_if<jobs::stop_order>(&c.order.order)) {
    std::get<jobs::stop_answered>(result).answer = state.runner.stop(*stop, c.fence, now_);
    if (answered && stop_hook_) stop_hook_(stop->run);
  } else if (const auto* pace = std::get_if<jobs::pace_order>(&c.order.order)) {
    std::get<jobs::pace_answered>(result).answer = state.runner.pace(*pace, c.fence, now_);
  }
  if (!answered) return;
  after(network_delay, [this, node, order, result] { end_order(node, order, result); });
}

void virtual_fleet::look_when_due(int node, std::uint64_t order, const jobs::give_order& c,
                                  time_point until) {
  const auto number = std::stoi(c.order.address);
  auto& state = workers_.at(static_cast<std::size_t>(number));
  const auto& look = std::get<jobs::look_order>(c.order.order);
  if (!reaches_worker(node, number)) return;
  if (is_silent(number)) {
    return after(state.silent_until - now_,
                 [this, node, order, c, until] { look_when_due(node, order, c, until); });
  }
  state.runner.advance(now_);
  if (!state.runner.has_unforgotten_ends() && now_ < until) {
    return after(duration{5},
                 [this, node, order, c, until] { look_when_due(node, order, c, until); });
  }
  const auto before = state.runner.look({}, 0, now_).report.ended;
  auto result = result_of(c, order_verdict::unanswered);
  auto& answer = std::get<jobs::look_answered>(result).answer;
  answer = state.runner.look(look, c.fence, now_);
  if (answer.verdict == order_verdict::accepted) {
    for (const auto& row : before) {
      const bool noted = row.number <= look.forget_up_to || options_.listed_ends_are_noted;
      if (noted && row.end == jobs::run_end::done) done_.insert(row.run.task);
    }
  }
  after(network_delay, [this, node, order, result] { end_order(node, order, result); });
}

void virtual_fleet::run(int node, const jobs::ask_peer& c) {
  if (peers_cut_) {
    return deliver_after(
        node, network_delay,
        jobs::peer_answered{.call = c.call, .result = tl::unexpected(peer_failure::not_processed)});
  }
  const int receiver = std::stoi(c.address);
  after(network_delay, [this, node, receiver, c] {
    const auto& state = nodes_.at(static_cast<std::size_t>(receiver));
    if (!state.core || state.frozen) {
      return deliver_after(
          node, c.timeout,
          jobs::peer_answered{.call = c.call, .result = tl::unexpected(peer_failure::unknown)});
    }
    const auto call = ++last_call_;
    peer_calls_[{receiver, call}] = {node, c.call};
    deliver(receiver, jobs::peer_asked{.call = call, .request = c.request});
  });
}

void virtual_fleet::run(int node, const jobs::answer_peer& c) {
  const auto found = peer_calls_.find({node, c.call});
  if (found == peer_calls_.end()) {
    foreign_replies_.insert_or_assign(c.call, c.reply);
    return;
  }
  const auto [sender, call] = found->second;
  peer_calls_.erase(found);
  deliver_after(sender, network_delay, jobs::peer_answered{.call = call, .result = c.reply});
}

void virtual_fleet::run(int node, const jobs::refuse_peer& c) {
  peer_calls_.erase({node, c.call});
}

void virtual_fleet::run(int /*node*/, const jobs::show_ready& /*c*/) {}

void virtual_fleet::run(int node, const jobs::end_process& /*c*/) {
  kill_node(node);
}

}  // namespace coltsfoot::testing
