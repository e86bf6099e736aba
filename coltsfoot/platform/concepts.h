// The four interfaces through which coltsfootlb accesses the platform. Calls are asynchronous: the
// callback gets exactly one result, on a thread of the adapter. docs/platform.md lists what is
// assumed of the services behind them.
//
//   template <log_service Log>
//   void execute(Log& log, append_log command) {
//     log.append(command.stream, command.payload, [](append_result result) { ... });
//   }
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "coltsfoot/node/commands.h"

namespace coltsfoot {

using append_result = tl::expected<log_offset, log_failure>;
using read_result = tl::expected<log_page, log_failure>;
using host_list_result = tl::expected<host_list, platform_failure>;
using sync_result = tl::expected<worker_sync_reply, platform_failure>;

using append_callback = std::function<void(append_result)>;
using read_callback = std::function<void(read_result)>;
using host_list_callback = std::function<void(host_list_result)>;
using sync_callback = std::function<void(sync_result)>;
using backend_callback = std::function<void(service_answer)>;

// An append-only log of named streams whose entries have consecutive offsets from 0.
template <typename T>
concept log_service =
    requires(T log, std::string stream, std::string payload, log_offset from,
             std::uint32_t max_entries, append_callback on_append, read_callback on_read) {
      { log.append(stream, payload, on_append) } -> std::same_as<void>;
      { log.read(stream, from, max_entries, on_read) } -> std::same_as<void>;
    };

// The list of live and leaving hosts; it may be out of date.
template <typename T>
concept host_list_service = requires(T hosts, host_list_callback done) {
  { hosts.read(done) } -> std::same_as<void>;
};

// Workers, addressed as "ip:port".
template <typename T>
concept worker_service = requires(T workers, std::string address, worker_sync_request request,
                                  duration timeout, sync_callback done) {
  { workers.sync(address, request, timeout, done) } -> std::same_as<void>;
};

// Backend servers, addressed as "ip:port". The answer's `answered` is set only if it is whole.
template <typename T>
concept backend_service = requires(T backends, std::string address, service_request request,
                                   duration timeout, backend_callback done) {
  { backends.call(address, request, timeout, done) } -> std::same_as<void>;
};

}  // namespace coltsfoot
