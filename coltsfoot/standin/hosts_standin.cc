#include "coltsfoot/standin/hosts_standin.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace coltsfoot {
namespace {

using internal::json_answer;
using internal::rest_request;
using internal::rest_responder;
using internal::status_answer;

nlohmann::json to_json(const YAML::Node& node) {
  if (node.IsMap()) {
    auto out = nlohmann::json::object();
    for (const auto& entry : node) out[entry.first.as<std::string>()] = to_json(entry.second);
    return out;
  }
  if (node.IsSequence()) {
    auto out = nlohmann::json::array();
    for (const auto& entry : node) out.push_back(to_json(entry));
    return out;
  }
  if (node.IsNull()) return nullptr;
  if (node.Tag() == "!") return node.as<std::string>();  // quoted
  bool flag = false;
  if (YAML::convert<bool>::decode(node, flag)) return flag;
  std::int64_t number = 0;
  if (YAML::convert<std::int64_t>::decode(node, number)) return number;
  return node.as<std::string>();
}

void set_leaving(host_list& hosts, const std::vector<std::string>& ids, bool leaving) {
  for (auto& worker : hosts.workers) {
    if (std::find(ids.begin(), ids.end(), worker.id.value) != ids.end()) worker.leaving = leaving;
  }
}

// Applies "add", "remove", "leaving" and "not_leaving".
void change(host_list& hosts, const nlohmann::json& changes) {
  const std::vector<std::string> none;
  const auto removed = changes.value("remove", none);
  auto added = changes.value("add", std::vector<worker_info>{});
  std::erase_if(hosts.workers, [&](const worker_info& worker) {
    const bool is_replaced = std::any_of(added.begin(), added.end(),
                                         [&](const auto& other) { return other.id == worker.id; });
    return is_replaced ||
           std::find(removed.begin(), removed.end(), worker.id.value) != removed.end();
  });
  for (auto& worker : added) hosts.workers.push_back(std::move(worker));
  set_leaving(hosts, changes.value("leaving", none), true);
  set_leaving(hosts, changes.value("not_leaving", none), false);
}

}  // namespace

tl::expected<host_list, transport_error> load_host_list(const std::string& path) {
  try {
    return to_json(YAML::LoadFile(path)).get<host_list>();
  } catch (const std::exception& error) {
    return tl::unexpected(transport_error{path + ": " + error.what()});
  }
}

hosts_standin::hosts_standin(hosts_standin_options options)
    : switches_(options.switches),
      server_(options.port, [this](const rest_request& request, const rest_responder& respond) {
        handle(request, respond);
      }) {
  versions_.emplace_back(internal::monotonic_now(), std::move(options.hosts));
}

const host_list& hosts_standin::listed() const {
  const auto as_of = internal::monotonic_now() - duration{switches_.lag_ms};
  const auto newer = std::find_if(versions_.begin() + 1, versions_.end(),
                                  [&](const auto& version) { return version.first > as_of; });
  return std::prev(newer)->second;
}

void hosts_standin::handle(const rest_request& request, const rest_responder& respond) {
  if (request.target == "/control") return control(request, respond);
  if (request.target != "/v1/hosts") return respond(status_answer(404));
  auto answer = switches_.down ? status_answer(503, "down") : json_answer(listed());
  if (switches_.slow_ms <= 0) return respond(std::move(answer));
  server_.after(duration{switches_.slow_ms}, [respond, answer] { respond(answer); });
}

void hosts_standin::control(const rest_request& request, const rest_responder& respond) {
  if (request.method == "POST") {
    if (!internal::update_switches(switches_, request.body)) {
      return respond(status_answer(400, "invalid switches"));
    }
    auto hosts = versions_.back().second;
    try {
      change(hosts, nlohmann::json::parse(request.body));
    } catch (const nlohmann::json::exception& error) {
      return respond(status_answer(400, error.what()));
    }
    versions_.emplace_back(internal::monotonic_now(), std::move(hosts));
  }
  respond(json_answer({{"switches", switches_}, {"hosts", versions_.back().second}}));
}

}  // namespace coltsfoot
