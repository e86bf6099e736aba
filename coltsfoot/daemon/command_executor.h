// Executes the core's commands with the platform adapters and the transport. Results are pushed to
// the mailbox as events.
//
//   command_executor executor{{.log = log, ...}, events};
//   executor.execute(std::move(command));
#pragma once

#include <functional>
#include <utility>

#include "coltsfoot/daemon/mailbox.h"
#include "coltsfoot/node/commands.h"
#include "coltsfoot/observe/logger.h"
#include "coltsfoot/platform/concepts.h"
#include "coltsfoot/transport/http_server.h"
#include "coltsfoot/transport/peer_client.h"
#include "coltsfoot/transport/peer_server.h"

namespace coltsfoot {

// The services that execute the commands. All must outlive the executor.
template <log_service Log, host_list_service Hosts, worker_service Workers,
          backend_service Backends>
struct executor_services {
  Log& log;
  Hosts& hosts;
  Workers& workers;
  Backends& backends;
  peer_client& peers;
  peer_server& peer_requests;
  http_server& http;
};

template <log_service Log, host_list_service Hosts, worker_service Workers,
          backend_service Backends>
class command_executor {
 public:
  using services = executor_services<Log, Hosts, Workers, Backends>;

  command_executor(services s, mailbox& events) : services_(s), events_(events) {}

  void execute(command c) {
    std::visit([this](auto& body) { run(std::move(body)); }, c);
  }

  // Returns whether the core has requested that the process exit.
  bool stopped() const { return stopped_; }

 private:
  void run(const send_peer_request& c) {
    services_.peers.send(c.address, c.request, c.timeout,
                         [this, call = c.call](tl::expected<peer_reply, peer_failure> reply) {
                           events_.push(peer_replied{.call = call, .reply = std::move(reply)});
                         });
  }
  void run(append_log c) {
    services_.log.append(c.stream, std::move(c.payload),
                         [this, call = c.call](append_result result) {
                           events_.push(log_appended{.call = call, .offset = result});
                         });
  }
  void run(const read_log& c) {
    services_.log.read(c.stream, c.from, c.max_entries, [this, call = c.call](read_result result) {
      events_.push(log_read{.call = call, .page = std::move(result)});
    });
  }
  void run(read_host_list c) {
    services_.hosts.read([this, call = c.call](host_list_result result) {
      events_.push(host_list_read{.call = call, .hosts = std::move(result)});
    });
  }
  void run(const sync_worker& c) {
    services_.workers.sync(c.address, c.request, c.timeout,
                           [this, call = c.call](sync_result result) {
                             events_.push(worker_synced{.call = call, .reply = std::move(result)});
                           });
  }
  void run(call_backend c) {
    services_.backends.call(
        c.address, std::move(c.request), c.timeout, [this, call = c.call](service_answer answer) {
          events_.push(backend_answered{.call = call, .answer = std::move(answer)});
        });
  }
  void run(const send_peer_reply& c) { services_.peer_requests.reply(c.call, c.reply); }
  void run(refuse_peer_request c) { services_.peer_requests.refuse(c.call); }
  void run(const answer_caller& c) { services_.http.answer_caller(c.call, c.answer); }
  void run(const answer_operator& c) { services_.http.answer_operator(c.call, c.reply); }
  void run(const write_log_line& c) { log_line(c.level, c.text); }
  void run(set_ready c) { services_.http.set_ready(c.ready); }
  void run(stop_process /*c*/) { stopped_ = true; }

  services services_;
  mailbox& events_;
  bool stopped_ = false;
};

}  // namespace coltsfoot
