#include "coltsfoot/jobs/job_record.h"

#include <charconv>
#include <cmath>
#include <map>
#include <optional>

#include "coltsfoot/base/byte_stream.h"

namespace coltsfoot::jobs {
namespace {

constexpr std::string_view acceptance_prefix = "acceptance/";
constexpr std::string_view cancellation_prefix = "cancellation/";
constexpr std::string_view progress_prefix = "progress/";
constexpr std::string_view handover_prefix = "handover/";
constexpr std::string_view transfer_prefix = "transfer/";
constexpr std::string_view claim_key = "owner";
constexpr std::string_view layout_key = "layout";
constexpr std::string_view witnesses_key = "witnesses";

// Added to the phase of a task that has a late start.
constexpr std::uint64_t late_start_flag = 8;

// Version of the progress encoding.
constexpr std::uint64_t progress_version = 1;

// Numbers the worker lives that a record names, so that each is written once.
class life_dictionary {
 public:
  std::size_t number_of(const worker_life& life) {
    const auto [at, fresh] = numbers_.try_emplace(life, lives_.size());
    if (fresh) lives_.push_back(life);
    return at->second;
  }
  const std::vector<worker_life>& lives() const { return lives_; }

 private:
  std::map<worker_life, std::size_t> numbers_;
  std::vector<worker_life> lives_;
};

bool is_untouched(const task_progress& task) {
  return task.phase == task_phase::waiting && task.run == 0;
}

enum class checkpoint_use { written, left_out };

void write_tasks(byte_writer& out, const job& j, checkpoint_use checkpoints) {
  life_dictionary lives;
  byte_writer rows;
  std::uint64_t count = 0;
  task_index previous = 0;
  for (task_index i = 0; i < j.tasks.size(); ++i) {
    const auto& task = j.tasks[i];
    if (is_untouched(task)) continue;
    ++count;
    rows.number(i - previous);
    previous = i;
    const auto late = task.late_start ? late_start_flag : 0;
    rows.number(static_cast<std::uint64_t>(task.phase) + late);
    rows.number(task.run);
    rows.number(task.failures);
    if (task.phase == task_phase::assigned) rows.number(lives.number_of(task.life));
    if (task.phase == task_phase::done) continue;
    rows.text(checkpoints == checkpoint_use::written ? task.checkpoint : std::string{});
  }
  out.number(lives.lives().size());
  for (const auto& life : lives.lives()) {
    out.text(life.worker.value);
    out.number(life.incarnation);
  }
  out.number(count);
  out.text(rows.bytes());
}

keyed_record progress_record(const job& j, checkpoint_use checkpoints) {
  byte_writer out;
  out.number(progress_version);
  out.number(static_cast<std::uint64_t>(j.outcome));
  out.number(j.started ? 1 : 0);
  out.number(static_cast<std::uint64_t>(j.ended_at.time_since_epoch().count()));
  if (!j.ended()) write_tasks(out, j, checkpoints);
  return {.key = std::string{progress_prefix} + j.accepted.id.value, .value = out.take()};
}

bool read_task(byte_reader& rows, const std::vector<worker_life>& lives, task_progress& task) {
  auto phase = rows.number();
  task.late_start = phase >= late_start_flag;
  if (task.late_start) phase -= late_start_flag;
  if (phase > static_cast<std::uint64_t>(task_phase::elsewhere)) return false;
  task.phase = static_cast<task_phase>(phase);
  task.run = static_cast<run_number>(rows.number());
  task.failures = static_cast<std::uint32_t>(rows.number());
  if (task.phase == task_phase::assigned) {
    const auto life = rows.number();
    if (life >= lives.size()) return false;
    task.life = lives[life];
  }
  if (task.phase != task_phase::done) task.checkpoint = rows.text();
  return rows.ok();
}

bool read_tasks(byte_reader& in, std::vector<task_progress>& tasks) {
  std::vector<worker_life> lives;
  const auto life_count = in.number();
  for (std::uint64_t i = 0; i < life_count && in.ok(); ++i) {
    const worker_id worker{std::string{in.text()}};
    lives.push_back({.worker = worker, .incarnation = in.number()});
  }
  const auto count = in.number();
  byte_reader rows{in.text()};
  std::uint64_t index = 0;
  for (std::uint64_t i = 0; i < count; ++i) {
    index += rows.number();
    if (!rows.ok() || index >= tasks.size()) return false;
    if (!read_task(rows, lives, tasks[index])) return false;
  }
  return in.ok();
}

// What a progress record says.
struct progress_content {
  job_outcome outcome = job_outcome::open;
  bool started = false;
  wall_time ended_at{};
  std::vector<task_progress> tasks;
};

tl::expected<progress_content, record_error> read_progress(std::string_view value,
                                                           std::size_t task_count) {
  byte_reader in{value};
  if (in.number() != progress_version) return tl::unexpected(record_error{"unknown version"});
  progress_content content;
  const auto outcome = in.number();
  if (outcome > static_cast<std::uint64_t>(job_outcome::cancelled)) {
    return tl::unexpected(record_error{"unknown outcome"});
  }
  content.outcome = static_cast<job_outcome>(outcome);
  content.started = in.number() != 0;
  content.ended_at = wall_time{duration{static_cast<std::int64_t>(in.number())}};
  if (content.outcome == job_outcome::open) {
    content.tasks.resize(task_count);
    if (!read_tasks(in, content.tasks)) return tl::unexpected(record_error{"malformed tasks"});
  }
  if (!in.ok()) return tl::unexpected(record_error{"truncated"});
  return content;
}

tl::expected<void, record_error> apply_progress(std::string_view value, job& j) {
  auto content =
      read_progress(value, std::size_t{j.tasks_per_occurrence()} * j.accepted.spec.occurrences());
  if (!content) return tl::unexpected(content.error());
  j.outcome = content->outcome;
  j.started = content->started;
  j.ended_at = content->ended_at;
  j.tasks = std::move(content->tasks);
  if (!j.ended()) j.recount();
  return {};
}

// Returns why a stored job can't be held, or nothing. Other versions, or other writers, may have
// stored it.
std::optional<std::string> fault_of(const accepted_job& accepted) {
  if (auto fault = jobs::fault_of(accepted.spec)) return fault;
  if (!is_in_bounds(accepted.latency_target)) return "has a latency target out of range";
  if (!is_in_bounds(accepted.accepted_at)) return "was accepted at a time out of range";
  if (!std::isfinite(accepted.slack_factor)) return "has no number as its slack factor";
  return std::nullopt;
}

std::optional<job_id> job_of(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return std::nullopt;
  return job_id{std::string{key.substr(prefix.size())}};
}

std::string handover_key(const job_id& id, task_index task) {
  return std::string{handover_prefix} + id.value + "/" + std::to_string(task);
}

struct handover_name {
  job_id job;
  task_index task = 0;
};

std::optional<handover_name> handover_of(std::string_view key) {
  if (!key.starts_with(handover_prefix)) return std::nullopt;
  key.remove_prefix(handover_prefix.size());
  const auto slash = key.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto number = key.substr(slash + 1);
  handover_name name{.job = job_id{std::string{key.substr(0, slash)}}};
  const auto [end, error] =
      std::from_chars(number.data(), number.data() + number.size(), name.task);
  if (error != std::errc{} || end != number.data() + number.size()) return std::nullopt;
  return name;
}

// A handover of a job that is not known any more changes nothing.
tl::expected<applied_record, record_error> apply_handover(const handover_name& name,
                                                          std::string_view value,
                                                          job_table& table) {
  applied_record applied{.kind = record_kind::handover, .job = name.job};
  auto* known = table.find(name.job);
  if (known == nullptr) return applied;
  if (value.empty()) {
    known->handovers.erase(name.task);
    return applied;
  }
  auto decoded = decode_msgpack<task_handover>(value);
  if (!decoded) return tl::unexpected(record_error{decoded.error().message});
  const auto tasks = known->tasks_per_occurrence() * known->accepted.spec.occurrences();
  if (name.task >= tasks) return tl::unexpected(record_error{"no such task"});
  auto& newest = known->handovers[name.task];
  if (decoded->number > newest.number) newest = std::move(*decoded);
  return applied;
}

}  // namespace

std::string acceptance_key(const job_id& id) {
  return std::string{acceptance_prefix} + id.value;
}

keyed_record acceptance_record(const accepted_job& accepted) {
  return {.key = acceptance_key(accepted.id), .value = encode_msgpack(accepted)};
}

keyed_record cancellation_record(const job_id& id) {
  return {.key = std::string{cancellation_prefix} + id.value, .value = "1"};
}

keyed_record cancellation_removal(const job_id& id) {
  return {.key = std::string{cancellation_prefix} + id.value};
}

std::string_view job_in_key(std::string_view key) {
  for (const auto prefix : {acceptance_prefix, cancellation_prefix, progress_prefix}) {
    if (key.starts_with(prefix)) return key.substr(prefix.size());
  }
  if (!key.starts_with(handover_prefix)) return {};
  key.remove_prefix(handover_prefix.size());
  return key.substr(0, key.rfind('/'));
}

keyed_record progress_record(const job& j, std::size_t max_bytes) {
  auto record = progress_record(j, checkpoint_use::written);
  if (record.key.size() + record.value.size() <= max_bytes) return record;
  return progress_record(j, checkpoint_use::left_out);
}
keyed_record handover_record(const job_id& id, task_index task, const task_handover& handover) {
  return {.key = handover_key(id, task), .value = encode_msgpack(handover)};
}

keyed_record claim_record(const owner_claim& claim) {
  return {.key = std::string{claim_key}, .value = encode_msgpack(claim)};
}

keyed_record layout_record(const fleet_layout& layout) {
  return {.key = std::string{layout_key}, .value = encode_msgpack(layout)};
}

keyed_record transfer_record(const worker_transfer& transfer) {
  return {.key = std::string{transfer_prefix} + transfer.worker.value,
          .value = encode_msgpack(transfer)};
}

keyed_record witness_record(const std::set<worker_life>& witnesses) {
  return {.key = std::string{witnesses_key}, .value = encode_msgpack(witnesses)};
}

bool is_transfer(const keyed_record& record) {
  return record.key.starts_with(transfer_prefix);
}

bool is_caller_record(const keyed_record& record) {
  return record.key.starts_with(acceptance_prefix) || record.key.starts_with(cancellation_prefix);
}

std::vector<keyed_record> removal_records(const job& j) {
  const auto& id = j.accepted.id;
  std::vector<keyed_record> records;
  records.reserve(j.handovers.size() + 3);
  for (const auto& [task, handover] : j.handovers) {
    records.push_back({.key = handover_key(id, task)});
  }
  records.push_back({.key = std::string{progress_prefix} + id.value});
  records.push_back(cancellation_removal(id));
  records.push_back({.key = acceptance_key(id)});
  return records;
}

tl::expected<applied_record, record_error> apply_record(const keyed_record& record,
                                                        journal_state& state,
                                                        const apply_options& options) {
  auto& table = state.table;
  if (record.key == claim_key) {
    auto decoded = decode_msgpack<owner_claim>(record.value);
    if (!decoded) return tl::unexpected(record_error{decoded.error().message});
    // Pages of a listing can be newer than the records that are read after them.
    if (decoded->fence >= state.claim.fence) state.claim = std::move(*decoded);
    return applied_record{.kind = record_kind::claim};
  }
  if (record.key == layout_key) {
    auto decoded = decode_msgpack<fleet_layout>(record.value);
    if (!decoded) return tl::unexpected(record_error{decoded.error().message});
    // Racks are only ever added.
    if (decoded->racks.size() >= state.layout.racks.size()) state.layout = std::move(*decoded);
    return applied_record{.kind = record_kind::layout};
  }
  if (record.key == witnesses_key) {
    auto decoded = decode_msgpack<std::set<worker_life>>(record.value);
    if (!decoded) return tl::unexpected(record_error{decoded.error().message});
    state.witnesses = std::move(*decoded);
    return applied_record{.kind = record_kind::witnesses};
  }
  if (const auto id = job_of(record.key, acceptance_prefix)) {
    if (record.value.empty()) {
      table.forget(*id);
      return applied_record{.kind = record_kind::acceptance, .job = *id};
    }
    auto decoded = decode_msgpack<accepted_job>(record.value);
    if (!decoded) return tl::unexpected(record_error{decoded.error().message});
    if (const auto fault = fault_of(*decoded)) return tl::unexpected(record_error{*fault});
    if (decoded->id != *id) return tl::unexpected(record_error{"key of another job"});
    table.accept(std::move(*decoded));
    return applied_record{.kind = record_kind::acceptance, .job = *id};
  }
  if (const auto id = job_of(record.key, cancellation_prefix)) {
    if (record.value.empty()) {
      table.drop_early_cancel(*id);
    } else {
      table.request_cancel(*id);
    }
    return applied_record{.kind = record_kind::cancellation, .job = *id};
  }
  if (const auto id = job_of(record.key, progress_prefix)) {
    auto* known = table.find(*id);
    if (known != nullptr && options.take_progress && !record.value.empty()) {
      if (const auto applied = apply_progress(record.value, *known); !applied) {
        return tl::unexpected(applied.error());
      }
    }
    return applied_record{.kind = record_kind::progress, .job = *id};
  }
  if (const auto name = handover_of(record.key)) return apply_handover(*name, record.value, table);
  if (is_transfer(record)) {
    auto decoded = decode_msgpack<worker_transfer>(record.value);
    if (!decoded) return tl::unexpected(record_error{decoded.error().message});
    auto& newest = state.transfers[decoded->worker];
    if (decoded->number > newest.number) newest = std::move(*decoded);
    return applied_record{.kind = record_kind::transfer};
  }
  return tl::unexpected(record_error{"unknown key"});
}

}  // namespace coltsfoot::jobs
