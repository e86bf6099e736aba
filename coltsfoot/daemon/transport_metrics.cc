#include "coltsfoot/daemon/transport_metrics.h"

#include <array>

namespace coltsfoot {
namespace {

template <typename Stats>
struct counter_row {
  std::string_view name;
  std::uint64_t Stats::* value;
  std::string_view help;
};

constexpr std::array http_rows{
    counter_row<http_server_stats>{"http_caller_requests_total",
                                   &http_server_stats::caller_requests,
                                   "requests of callers that were passed to the router"},
    counter_row<http_server_stats>{"http_operator_requests_total",
                                   &http_server_stats::operator_requests,
                                   "requests of operators that were passed to the node"},
    counter_row<http_server_stats>{"http_malformed_total", &http_server_stats::malformed,
                                   "HTTP requests answered 400, 404, 405 or 413"},
    counter_row<http_server_stats>{"http_refused_total", &http_server_stats::refused_draining,
                                   "requests of callers refused because the node shuts down"},
    counter_row<http_server_stats>{"http_connections_total", &http_server_stats::connections,
                                   "HTTP connections accepted"},
    counter_row<http_server_stats>{"http_rejected_connections_total",
                                   &http_server_stats::rejected_connections,
                                   "HTTP connections closed at once because too many are open"},
    counter_row<http_server_stats>{"http_received_body_bytes_total",
                                   &http_server_stats::received_body_bytes,
                                   "bytes of the bodies of HTTP requests"},
    counter_row<http_server_stats>{"http_sent_body_bytes_total",
                                   &http_server_stats::sent_body_bytes,
                                   "bytes of the bodies of HTTP answers"}};

constexpr std::array peer_server_rows{
    counter_row<peer_server_stats>{"peer_server_requests_total", &peer_server_stats::requests,
                                   "requests of other nodes that were passed to the node"},
    counter_row<peer_server_stats>{"peer_server_malformed_total", &peer_server_stats::malformed,
                                   "requests of other nodes answered 400 or 404"},
    counter_row<peer_server_stats>{"peer_server_oversized_total", &peer_server_stats::oversized,
                                   "requests of other nodes answered 413"},
    counter_row<peer_server_stats>{"peer_server_refused_total", &peer_server_stats::refused,
                                   "requests of other nodes refused as certainly not run"},
    counter_row<peer_server_stats>{"peer_server_connections_total", &peer_server_stats::connections,
                                   "connections of other nodes accepted"},
    counter_row<peer_server_stats>{
        "peer_server_rejected_connections_total", &peer_server_stats::rejected_connections,
        "connections of other nodes closed at once because too many are open"},
    counter_row<peer_server_stats>{"peer_server_received_bytes_total",
                                   &peer_server_stats::received_bytes,
                                   "bytes received on connections of other nodes"},
    counter_row<peer_server_stats>{"peer_server_sent_bytes_total", &peer_server_stats::sent_bytes,
                                   "bytes sent on connections of other nodes"}};

constexpr std::array peer_client_rows{
    counter_row<peer_client_stats>{"peer_client_requests_total", &peer_client_stats::requests,
                                   "requests to other nodes"},
    counter_row<peer_client_stats>{"peer_client_not_processed_total",
                                   &peer_client_stats::not_processed,
                                   "requests to other nodes that were certainly not run"},
    counter_row<peer_client_stats>{"peer_client_unknown_total", &peer_client_stats::unknown,
                                   "requests to other nodes whose outcome is unknown"},
    counter_row<peer_client_stats>{"peer_client_malformed_total", &peer_client_stats::malformed,
                                   "replies of other nodes that are malformed or too large"},
    counter_row<peer_client_stats>{"peer_client_connections_total", &peer_client_stats::connections,
                                   "connections made to other nodes"},
    counter_row<peer_client_stats>{"peer_client_connect_failures_total",
                                   &peer_client_stats::connect_failures,
                                   "connections to other nodes that could not be made"},
    counter_row<peer_client_stats>{"peer_client_received_bytes_total",
                                   &peer_client_stats::received_bytes,
                                   "bytes received on connections to other nodes"},
    counter_row<peer_client_stats>{"peer_client_sent_bytes_total", &peer_client_stats::sent_bytes,
                                   "bytes sent on connections to other nodes"}};

template <typename Rows, typename Stats>
void add_rows(exposition& page, const Rows& rows, const Stats& stats) {
  for (const auto& row : rows) {
    page.add_help(row.name, row.help);
    page.add_counter(row.name, stats.*row.value);
  }
}

}  // namespace

void add_transport_metrics(exposition& page, const transport_stats& stats) {
  add_rows(page, http_rows, stats.http);
  add_rows(page, peer_server_rows, stats.peer_server);
  add_rows(page, peer_client_rows, stats.peer_client);
}

}  // namespace coltsfoot
