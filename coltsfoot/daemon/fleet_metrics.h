// Renders the /metrics page of a job node.
#pragma once

#include <string>

#include "coltsfoot/daemon/load_monitor.h"
#include "coltsfoot/jobs/job_node.h"
#include "coltsfoot/transport/client_budget.h"

namespace coltsfoot {

std::string fleet_metrics_page(const jobs::job_node& node, const load_monitor& load,
                               const client_budget_stats& clients);

}  // namespace coltsfoot
