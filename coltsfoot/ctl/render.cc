#include "coltsfoot/ctl/render.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace coltsfoot {
namespace {

exit_code code_of(change_status status) {
  switch (status) {
    case change_status::accepted:
      return exit_code::ok;
    case change_status::conflict:
      return exit_code::conflict;
    case change_status::invalid:
      return exit_code::bad_input;
    case change_status::not_run:
      return exit_code::refused;
    case change_status::unknown:
      break;
  }
  return exit_code::unknown;
}

exit_code code_of(submit_status status) {
  switch (status) {
    case submit_status::accepted:
      return exit_code::ok;
    case submit_status::not_run:
      return exit_code::refused;
    case submit_status::conflict:
      return exit_code::conflict;
    case submit_status::unknown:
      break;
  }
  return exit_code::unknown;
}

// Of several results the one counts that needs most attention: unknown, conflict, refused.
exit_code code_of(const std::vector<submit_result>& results) {
  exit_code worst = exit_code::ok;
  const auto rank = [](exit_code code) {
    if (code == exit_code::unknown) return 3;
    if (code == exit_code::conflict) return 2;
    return code == exit_code::ok ? 0 : 1;
  };
  for (const submit_result& result : results) {
    worst = std::max(worst, code_of(result.status),
                     [rank](exit_code a, exit_code b) { return rank(a) < rank(b); });
  }
  return worst;
}

std::string utc(wall_time time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)));
}

std::string size_text(const resources& size) {
  return fmt::format("processors={:.3f} memory={}MB accelerators={}",
                     static_cast<double>(size.millicores) / 1000, size.memory_mb,
                     size.accelerators);
}

struct text_renderer {
  const std::vector<std::string>& words;

  bool verb_is(std::string_view verb) const { return words.size() > 1 && words[1] == verb; }

  std::string operator()(const change_reply& reply) const {
    return fmt::format("{} version={}{}{}\n", name_of(reply.status), reply.version,
                       reply.detail.empty() ? "" : " ", reply.detail);
  }
  std::string operator()(const show_config_reply& reply) const {
    std::string out;
    if (verb_is("history")) {
      for (const config_change& change : reply.history) {
        out += fmt::format("{} version={} {} by {}: {}\n", utc(change.written_at), change.version,
                           change.kind, change.author, change.result);
      }
      return out;
    }
    out = fmt::format("version {}\n", reply.config.version);
    for (const auto& [id, p] : reply.config.plans) {
      out += fmt::format("plan {} {} urgency={}\n", id, size_text(p.limit),
                         name_of(p.highest_urgency));
    }
    for (const auto& [id, c] : reply.config.customers) {
      out += fmt::format("customer {} plan={}\n", id, c.plan.value);
    }
    for (const std::string& id : reply.config.leaving) out += fmt::format("leaving {}\n", id);
    return out;
  }
  std::string operator()(const list_hosts_reply& reply) const {
    std::string out;
    for (const worker_info& host : reply.hosts) {
      out +=
          fmt::format("{} rack={} address={} {} {}\n", host.id.value, host.rack.value, host.address,
                      size_text(host.capacity), host.leaving ? "leaving" : "in_use");
    }
    return out;
  }
  std::string operator()(const show_node_reply& reply) const {
    std::string out = fmt::format("node {} {} config_version={}\n", reply.node.value,
                                  reply.ready ? "ready" : "not_ready", reply.config_version);
    for (const member_entry& member : reply.members) {
      out += fmt::format("member {} address={} zone={} leaving={} log_readable={}\n",
                         member.node.value, member.address, member.zone.value, member.leaving,
                         member.log_readable);
    }
    for (const unit_entry& unit : reply.units) {
      out += fmt::format("unit {} owner={} epoch={} {}\n", unit.unit.value, unit.owner.value,
                         unit.unit_epoch, unit.ready ? "ready" : "recovering");
    }
    return out;
  }
  std::string operator()(const submit_tasks_reply& reply) const { return lines(reply.results); }
  std::string operator()(const cancel_tasks_reply& reply) const { return lines(reply.results); }
  std::string operator()(const query_status_reply& reply) const {
    std::string out;
    for (const task_status& task : reply.tasks) {
      if (verb_is("explain")) {
        out += fmt::format("{} is {}: {}\n", task.id.value, name_of(task.phase),
                           task.reason.empty() ? "no reason is recorded" : task.reason);
        continue;
      }
      out += fmt::format("{} {} attempt={}.{} rack={} worker={} reason=\"{}\"\n", task.id.value,
                         name_of(task.phase), task.attempt.customer_epoch, task.attempt.counter,
                         task.rack.value, task.worker.value, task.reason);
    }
    return out;
  }
  std::string operator()(const operator_error& reply) const {
    return fmt::format("{}: {}\n", reply.not_run ? "not_run" : "unknown", reply.reason);
  }

  static std::string lines(const std::vector<submit_result>& results) {
    std::string out;
    for (const submit_result& result : results) {
      out += fmt::format("{} {}", result.task.value, name_of(result.status));
      if (!result.reason.empty()) out += ": " + result.reason;
      if (result.retry_after.count() > 0) {
        out += fmt::format(" retry_after={}ms", result.retry_after.count());
      }
      out += '\n';
    }
    return out;
  }
};

struct code_finder {
  const std::vector<std::string>& words;

  exit_code operator()(const change_reply& reply) const { return code_of(reply.status); }
  exit_code operator()(const submit_tasks_reply& reply) const { return code_of(reply.results); }
  exit_code operator()(const cancel_tasks_reply& reply) const { return code_of(reply.results); }
  // Tasks that are not known are missing in the reply.
  exit_code operator()(const query_status_reply& reply) const {
    return words.size() > 2 && reply.tasks.size() < words.size() - 2 ? exit_code::refused
                                                                     : exit_code::ok;
  }
  exit_code operator()(const operator_error& reply) const {
    return reply.not_run ? exit_code::refused : exit_code::unknown;
  }
  template <typename Reply>
  exit_code operator()(const Reply& /*reply*/) const {
    return exit_code::ok;
  }
};

}  // namespace

rendered_reply render(const operator_reply& reply, output_format format,
                      const std::vector<std::string>& words) {
  rendered_reply out{.code = std::visit(code_finder{words}, reply)};
  if (format == output_format::json) {
    out.text = nlohmann::json(reply).dump(2) + "\n";
  } else {
    out.text = std::visit(text_renderer{words}, reply);
  }
  return out;
}

}  // namespace coltsfoot
