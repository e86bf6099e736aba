#include "coltsfoot/daemon/fleet_metrics.h"

#include <algorithm>
#include <utility>

#include "coltsfoot/daemon/client_limits.h"
#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/observe/logger.h"

namespace coltsfoot {
namespace {

// Sums over the owned shards. Samples of one metric must be consecutive, so the page has totals
// instead of one sample per shard.
struct owned_shard_totals {
  jobs::job_owner_stats stats;
  std::size_t waiting_jobs = 0;
  std::size_t workers = 0;
  std::size_t start_window = 0;
  std::size_t starts_under_way = 0;
  std::size_t unsent_starts = 0;
  duration answer_time{0};  // the longest of the shards
};

owned_shard_totals sum_owned_shards(const jobs::job_node& node) {
  owned_shard_totals sum;
  for (const auto& shard : node.shards()) {
    const auto* owner = std::as_const(*shard).owner();
    if (owner == nullptr) continue;
    sum.stats += owner->stats();
    sum.waiting_jobs += owner->waiting_jobs();
    sum.workers += owner->links().size();
    sum.start_window += owner->window().size();
    sum.starts_under_way += owner->window().under_way();
    sum.unsent_starts += owner->unsent_starts();
    sum.answer_time = std::max(sum.answer_time, owner->answers().mean());
  }
  return sum;
}

void add_owner_metrics(exposition& page, const owned_shard_totals& totals) {
  const auto& stats = totals.stats;
  page.add_counter("task_starts_total", stats.starts);
  page.add_counter("task_ends_total", stats.ends_done, exposition_label("end", "done"));
  page.add_counter("task_ends_total", stats.ends_failed, exposition_label("end", "failed"));
  page.add_counter("task_ends_total", stats.ends_other, exposition_label("end", "other"));
  page.add_counter("task_paces_total", stats.paces);
  page.add_counter("worker_transfers_total", stats.transfers);
  page.add_counter("task_handovers_total", stats.handovers);
  page.add_counter("evacuation_moves_total", stats.evacuation_moves);
  page.add_counter("late_starts_total", stats.late_starts);
  page.add_counter("kept_tasks_total", stats.kept_tasks);
  page.add_counter("evacuation_starts_withdrawn_total", stats.starts_withdrawn);
  page.add_counter("slow_moves_total", stats.slow_moves);
  page.add_gauge("slow_move_gain_seconds",
                 std::chrono::duration<double>(stats.slow_move_gain).count());
  page.add_counter("runs_lost_total", stats.runs_lost);
  page.add_counter("starts_rejected_total", stats.rejected);
  page.add_counter("orders_unanswered_total", stats.unanswered);
  page.add_counter("jobs_ended_total", stats.completed, exposition_label("state", "completed"));
  page.add_counter("jobs_ended_total", stats.failed, exposition_label("state", "failed"));
  page.add_histogram("start_recorded_seconds", {}, stats.until_recorded);
  page.add_histogram("start_answered_seconds", {}, stats.until_answered);
  page.add_histogram("job_started_seconds", {}, stats.until_started);
  page.add_histogram("job_completed_seconds", {}, stats.job_age);
  page.add_gauge("waiting_jobs", static_cast<double>(totals.waiting_jobs));
  page.add_gauge("workers", static_cast<double>(totals.workers));
  page.add_gauge("start_window", static_cast<double>(totals.start_window));
  page.add_gauge("starts_under_way", static_cast<double>(totals.starts_under_way));
  page.add_gauge("unsent_starts", static_cast<double>(totals.unsent_starts));
  page.add_gauge("worker_answer_seconds",
                 std::chrono::duration<double>(totals.answer_time).count());
}

}  // namespace

std::string fleet_metrics_page(const jobs::job_node& node, const load_monitor& load,
                               const client_budget_stats& clients) {
  exposition page;
  const auto& stats = node.stats();
  page.add_gauge("owned_shards", static_cast<double>(node.owned_shards()));
  page.add_gauge("shards", static_cast<double>(node.shards().size()));
  page.add_gauge("jobs", static_cast<double>(node.jobs()));
  page.add_gauge("config_version", static_cast<double>(node.config_version()));
  page.add_gauge("evacuated_zones", static_cast<double>(node.evacuated_zones()));
  for (const auto& [verdict, count] : stats.answers) {
    page.add_counter("answers_total", count, exposition_label("verdict", name_of(verdict)));
  }
  page.add_counter("appends_total", stats.appends);
  page.add_counter("appends_failed_total", stats.appends_failed);
  page.add_counter("journal_reads_total", stats.journal_reads);
  page.add_counter("reads_failed_total", stats.reads_failed);
  page.add_counter("malformed_records_total", stats.malformed_records);
  page.add_counter("log_lines_dropped_total", dropped_log_lines());
  page.add_counter("claims_total", stats.claims);
  page.add_counter("takeovers_total", stats.takeovers);
  page.add_counter("step_downs_total", stats.step_downs);
  load.add_metrics(page);
  add_client_metrics(page, clients);
  if (node.owned_shards() > 0) add_owner_metrics(page, sum_owned_shards(node));
  return page.text();
}

}  // namespace coltsfoot
