#include "coltsfoot/platform/http_host_list.h"

#include <utility>

#include "coltsfoot/base/log_text.h"

namespace coltsfoot {
namespace {

tl::expected<host_list, host_list_protocol_error> decode_hosts(const http_response& response) {
  if (response.status != 200) {
    return tl::unexpected(host_list_protocol_error{"status " + std::to_string(response.status)});
  }
  auto hosts = decode_json<host_list>(response.body);
  if (!hosts) return tl::unexpected(host_list_protocol_error{hosts.error().message});
  return std::move(*hosts);
}

}  // namespace

http_host_list::http_host_list(http_client& client, http_host_list_options options, log_sink log)
    : client_(client), options_(std::move(options)), log_(std::move(log)) {}

void http_host_list::read(host_list_callback done) {
  http_request request{
      .method = "GET", .url = options_.url + "/v1/hosts", .timeout = options_.timeout};
  client_.send(std::move(request), [log = log_, done = std::move(done)](const http_result& result) {
    const auto fail = [&](platform_failure failure, const std::string& detail) {
      if (log) {
        log(severity::warning, "event=host_list_read_failed failure=" +
                                   std::string{name_of(failure)} + " error=" + log_value(detail));
      }
      done(tl::unexpected(failure));
    };
    if (!result) {
      const bool not_sent = result.error().kind == http_failure::not_sent;
      return fail(not_sent ? platform_failure::not_reached : platform_failure::unknown,
                  result.error().detail);
    }
    auto hosts = decode_hosts(*result);
    if (!hosts) return fail(platform_failure::unknown, hosts.error().message);
    done(std::move(*hosts));
  });
}

}  // namespace coltsfoot
