#include "coltsfoot/rack/worker_quarantine.h"

#include <algorithm>

namespace coltsfoot {

bool worker_quarantine::admits(const worker_id& worker, time_point now) const {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.quarantined) return true;
  return !found->second.probing && now >= found->second.until;
}

bool worker_quarantine::quarantined(const worker_id& worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && found->second.quarantined;
}

void worker_quarantine::on_started(const worker_id& worker, const task_key& task, time_point now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.quarantined || now < found->second.until) return;
  found->second.probing = true;
  found->second.probe = task;
}

void worker_quarantine::on_success(const worker_id& worker, const task_key& task) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  const auto& record = found->second;
  // While quarantined, only the probe tells: other tasks started before the fault.
  if (record.quarantined && (!record.probing || record.probe != task)) return;
  workers_.erase(found);
}

bool worker_quarantine::on_failure(const worker_id& worker, const task_key& task, time_point now) {
  auto& record = workers_[worker];
  if (record.quarantined) {
    if (!record.probing || record.probe != task) return false;
    record.probing = false;
    record.back_off = std::min(record.back_off * 2, options_.longest_back_off);
    record.until = now + record.back_off;
    return true;
  }
  record.failed.insert(task);
  if (record.failed.size() < options_.failures) return false;
  record.quarantined = true;
  record.back_off = options_.first_back_off;
  record.until = now + record.back_off;
  return true;
}

void worker_quarantine::on_inconclusive(const worker_id& worker, const task_key& task) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  if (found->second.probing && found->second.probe == task) found->second.probing = false;
}

}  // namespace coltsfoot
