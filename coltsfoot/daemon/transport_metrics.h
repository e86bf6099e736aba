// Exports the transport's counters on /metrics.
//
//   exposition page;
//   add_transport_metrics(page, {http.stats(), peer_requests.stats(), peers.stats()});
#pragma once

#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/transport/http_server.h"
#include "coltsfoot/transport/peer_client.h"
#include "coltsfoot/transport/peer_server.h"

namespace coltsfoot {

struct transport_stats {
  http_server_stats http;
  peer_server_stats peer_server;
  peer_client_stats peer_client;
};

// Adds every counter with its help text, including counters that are 0.
void add_transport_metrics(exposition& page, const transport_stats& stats);

}  // namespace coltsfoot
