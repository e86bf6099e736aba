#include "coltsfoot/config/config_node.h"

#include <fmt/format.h>

#include <utility>

#include "coltsfoot/config/list_parser.h"

namespace coltsfoot {
namespace {

constexpr std::string_view stream = "config";

// A node whose reads of the log work gets a version from there within two polls. Fetching it from a
// peer before that would double the traffic of each change.
constexpr int polls_before_fetch = 2;

// Bounds how much a starting node reads; a publish entry can be 2 MiB.
constexpr std::size_t max_needed_entries = 200;

constexpr duration restate_pause{60'000};

}  // namespace

config_node::config_node(config_node_options options) : options_(std::move(options)) {}

void config_node::on_tick(time_point now, wall_time /*wall*/, outbox& out) {
  repeat_and_expire(now, out);
  if (!reading_ && (!next_read_ || now >= *next_read_)) read(out);
}

void config_node::read(outbox& out) {
  reading_ = out.new_call();
  out.push(read_log{.call = *reading_,
                    .stream = std::string{stream},
                    .from = fold_.next(),
                    .max_entries = options_.page_entries});
}

void config_node::on_log_read(call_id call, const tl::expected<log_page, log_failure>& page,
                              time_point now, wall_time /*wall*/, outbox& out) {
  if (reading_ != call) return;
  reading_.reset();
  next_read_ = now + options_.poll_interval;
  last_read_failed_ = !page;
  if (!page) {
    out.count("config_read_failures_total");
    return;
  }
  last_log_read_ = now;
  if (page->next < fold_.next()) {
    out.count("config_log_shrunk_total");
    out.log(severity::error,
            fmt::format("event=config_log_shrunk next={} read={}", page->next, fold_.next()));
  }
  const bool was_complete = fold_.complete();
  fold_.skip_to(page->first_retained);
  for (const log_entry& entry : page->entries) handle_results(fold_.apply(entry), out);
  if (was_complete && !fold_.complete()) {
    out.count("config_gaps_total");
    out.log(severity::warning,
            fmt::format("event=config_log_trimmed first_retained={}", page->first_retained));
  }
  const bool caught_up = fold_.next() >= page->next;
  if (fold_.complete()) {
    put_in_force(fold_.config(), "log", out);
    ready_ = ready_ || caught_up;
  }
  if (!caught_up && !page->entries.empty()) read(out);
}

void config_node::on_log_appended(call_id call, const tl::expected<log_offset, log_failure>& offset,
                                  time_point now, wall_time /*wall*/, outbox& out) {
  if (restating_ == call) {
    restating_.reset();
    return;
  }
  for (auto& [id, change] : pending_) {
    if (change.appending != call) continue;
    change.appending.reset();
    if (offset) {
      change.appended = true;
    } else if (offset.error() == log_failure::unknown) {
      change.in_doubt = true;
    } else if (!change.in_doubt) {
      answer(change.reply_to, change_status::not_run, "the log is not available", out);
      pending_.erase(id);
      return;
    }
    next_read_ = now;
    if (!reading_) read(out);
    return;
  }
}

void config_node::on_peer_replied(call_id call, const tl::expected<peer_reply, peer_failure>& reply,
                                  time_point /*now*/, wall_time /*wall*/, outbox& out) {
  if (fetching_ != call) return;
  fetching_.reset();
  if (!reply) return;
  const auto* fetched = std::get_if<fetch_config_reply>(&*reply);
  if (fetched == nullptr || fetched->snapshot.empty()) return;
  const auto state = decode_msgpack<restate_entry>(fetched->snapshot);
  if (!state) {
    out.count("config_bad_snapshots_total");
    out.log(severity::warning, "event=config_fetch result=malformed");
    return;
  }
  put_in_force(state->config, "peer", out);
  ready_ = true;
  if (const auto results = fold_.adopt(*state)) {
    handle_results(*results, out);
    put_in_force(fold_.config(), "peer", out);
  }
}

void config_node::put_in_force(const cluster_config& config, std::string_view source, outbox& out) {
  if (config.version <= in_force_.version) return;
  in_force_ = config;
  behind_since_.reset();
  out.count("config_versions_total");
  out.log(severity::info,
          fmt::format("event=config_in_force version={} source={} plans={} customers={} leaving={}",
                      config.version, source, config.plans.size(), config.customers.size(),
                      config.leaving.size()));
}

void config_node::on_operator_request(call_id call, const publish_config& request, time_point now,
                                      wall_time wall, outbox& out) {
  const auto lists = parse_lists(request.plans_yaml, request.customers_yaml);
  if (!lists) return answer(call, change_status::invalid, to_string(lists.error()), out);
  if (ready_ && request.base != in_force_.version) {
    return answer(call, change_status::conflict,
                  fmt::format("conflict: based on {}, now {}", request.base, in_force_.version),
                  out);
  }
  const std::string id = fresh_id();
  begin(call, id,
        publish_entry{.id = id,
                      .base = request.base,
                      .plans_yaml = request.plans_yaml,
                      .customers_yaml = request.customers_yaml,
                      .author = request.author,
                      .written_at = wall},
        now, out);
}

void config_node::on_operator_request(call_id call, const mark_host& request, time_point now,
                                      wall_time wall, outbox& out) {
  if (request.worker.empty()) {
    return answer(call, change_status::invalid, "worker: is empty", out);
  }
  const std::string id = fresh_id();
  begin(call, id,
        host_mark_entry{.id = id,
                        .worker = request.worker,
                        .leaving = request.leaving,
                        .author = request.author,
                        .written_at = wall},
        now, out);
}

void config_node::on_operator_request(call_id call, const show_config& request, time_point /*now*/,
                                      wall_time /*wall*/, outbox& out) {
  show_config_reply reply{.config = in_force_,
                          .history = {fold_.history().begin(), fold_.history().end()}};
  if (!request.with_lists) {
    reply.config.plans.clear();
    reply.config.customers.clear();
  }
  out.push(answer_operator{.call = call, .reply = std::move(reply)});
}

void config_node::begin(call_id call, const std::string& id, const config_entry& entry,
                        time_point now, outbox& out) {
  if (!ready_) {
    return answer(call, change_status::not_run, "the configuration is not read yet", out);
  }
  if (pending_.size() >= options_.max_pending) {
    return answer(call, change_status::not_run, "too many changes at a time", out);
  }
  pending_change change{.reply_to = call, .payload = encode_msgpack(entry), .since = now};
  append(change, now, out);
  pending_.emplace(id, std::move(change));
}

void config_node::append(pending_change& change, time_point now, outbox& out) {
  change.appending = out.new_call();
  change.last_append = now;
  out.push(append_log{
      .call = *change.appending, .stream = std::string{stream}, .payload = change.payload});
}

void config_node::repeat_and_expire(time_point now, outbox& out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    pending_change& change = it->second;
    if (now - change.since >= options_.answer_limit) {
      answer(change.reply_to, change_status::unknown, "not confirmed in time, see the history",
             out);
      it = pending_.erase(it);
      continue;
    }
    if (!change.appending && !change.appended &&
        now - change.last_append >= options_.append_repeat) {
      append(change, now, out);
    }
    ++it;
  }
}

void config_node::handle_results(const std::vector<entry_result>& results, outbox& out) {
  for (const entry_result& result : results) {
    const auto found = pending_.find(result.id);
    if (found == pending_.end()) continue;
    out.push(answer_operator{
        .call = found->second.reply_to,
        .reply = change_reply{
            .status = result.status, .version = result.version, .detail = result.detail}});
    pending_.erase(found);
  }
}

void config_node::answer(call_id call, change_status status, std::string detail,
                         outbox& out) const {
  out.push(answer_operator{
      .call = call,
      .reply = change_reply{
          .status = status, .version = in_force_.version, .detail = std::move(detail)}});
}

std::string config_node::fresh_id() {
  return fmt::format("{}-{}-{}", options_.writer.node.value, options_.writer.incarnation,
                     ++last_id_);
}

void config_node::on_peer_version(const std::string& address, std::uint64_t version, time_point now,
                                  outbox& out) {
  const bool newer = version > in_force_.version;
  if (newer && !behind_since_) behind_since_ = now;
  const duration patience = polls_before_fetch * options_.poll_interval;
  const bool log_is_silent = !last_log_read_ || now - *last_log_read_ > patience;
  const bool log_is_late = newer && now - *behind_since_ > patience;
  const bool wanted = !ready_ || !fold_.complete() || (newer && (log_is_silent || log_is_late));
  if (!wanted || fetching_) return;
  if (last_fetch_ && now - *last_fetch_ < options_.poll_interval) return;
  last_fetch_ = now;
  fetching_ = out.new_call();
  // 0 asks for the state of any version: an incomplete fold needs its offset.
  const std::uint64_t newer_than = ready_ && fold_.complete() ? in_force_.version : 0;
  out.push(send_peer_request{.call = *fetching_,
                             .address = address,
                             .request = fetch_config{.newer_than = newer_than},
                             .timeout = options_.fetch_timeout});
}

void config_node::on_fetch_config(call_id call, const fetch_config& request, outbox& out) {
  fetch_config_reply reply{.version = in_force_.version};
  if (ready_ && (in_force_.version > request.newer_than || request.newer_than == 0)) {
    restate_entry state = fold_.restate(wall_time{});
    // A state that came from a peer has no offset here; offset 0 is taken by no incomplete fold.
    if (!fold_.complete() || fold_.config().version != in_force_.version) {
      state = {.config = in_force_};
    }
    reply.snapshot = encode_msgpack(state);
  }
  out.push(send_peer_reply{.call = call, .reply = std::move(reply)});
}

void config_node::restate_if_due(bool responsible, time_point now, wall_time wall, outbox& out) {
  const auto oldest = fold_.oldest_needed();
  if (!responsible || !ready_ || !fold_.complete() || restating_ || !oldest) return;
  if (fold_.config().version != in_force_.version) return;
  if (last_restate_ && now - *last_restate_ < restate_pause) return;
  const bool old = wall - *oldest > options_.retention / 3;
  if (!old && fold_.needed_entries() <= max_needed_entries) return;
  last_restate_ = now;
  restating_ = out.new_call();
  out.count("config_restates_total");
  out.push(append_log{.call = *restating_,
                      .stream = std::string{stream},
                      .payload = encode_msgpack(config_entry{fold_.restate(wall)})});
}

}  // namespace coltsfoot
