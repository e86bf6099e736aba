#include "coltsfoot/daemon/transport_metrics.h"

#include <gtest/gtest.h>

#include <regex>

#include "coltsfoot/transport/http_client.h"
#include "coltsfoot/transport/internal/test_support.h"

namespace coltsfoot {
namespace {

using internal::closed_address;
using internal::fetch;
using internal::result_box;
using internal::wait_until;

// Runs a peer server, a peer client and an HTTP server whose counters are read from the page.
class transport_metrics_test : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(peers_.start());
    ASSERT_TRUE(http_.start());
  }

  std::string page() const {
    exposition out;
    add_transport_metrics(
        out,
        {.http = http_.stats(), .peer_server = peers_.stats(), .peer_client = client_.stats()});
    return out.text();
  }

  // Returns the value of a counter on the page, or -1 if it is missing.
  long counter_value(const std::string& name) const {
    const std::string text = page();
    std::smatch match;
    if (!std::regex_search(text, match, std::regex{"\ncoltsfoot_" + name + " (\\d+)\n"})) return -1;
    return std::stol(match[1].str());
  }

  void send(const std::string& address) {
    result_box<peer_result> box;
    client_.send(address, gossip{}, duration{15'000}, box.callback());
    box.get();
  }

  peer_server peers_{{}, [this](call_id call, const peer_request&) {
                       if (++received_ == 1) return peers_.reply(call, gossip_reply{});
                       peers_.refuse(call);
                     }};
  int received_ = 0;
  peer_client client_;
  http_server http_{{.share_listener = true},
                    {.on_caller =
                         [this](call_id call, const service_request&) {
                           http_.answer_caller(call,
                                               {.answered = true, .status = 200, .body = "answer"});
                         },
                     .on_operator = {},
                     .metrics = {}}};
};

// Guards against counters that stay 0 on the page although the transport incremented them.
TEST_F(transport_metrics_test, page_follows_the_traffic) {
  const std::string address = "127.0.0.1:" + std::to_string(peers_.port());
  send(address);           // answered
  send(address);           // refused
  send(closed_address());  // not connected
  http_client caller;
  const std::string url = "http://127.0.0.1:" + std::to_string(http_.caller_port());
  const auto answer = fetch(caller, {.method = "POST",
                                     .url = url + "/v1/services/pricing/",
                                     .headers = {{.name = "coltsfoot-customer", .value = "acme"},
                                                 {.name = "coltsfoot-request-id", .value = "r-1"}},
                                     .body = "body"});
  ASSERT_TRUE(answer) << answer.error().detail;
  ASSERT_TRUE(fetch(caller, {.url = url + "/nowhere"}));

  EXPECT_EQ(counter_value("peer_client_requests_total"), 3);
  EXPECT_EQ(counter_value("peer_client_not_processed_total"), 2);
  EXPECT_EQ(counter_value("peer_client_unknown_total"), 0);
  EXPECT_EQ(counter_value("peer_client_connections_total"), 1);
  EXPECT_EQ(counter_value("peer_client_connect_failures_total"), 1);
  EXPECT_EQ(counter_value("peer_server_requests_total"), 2);
  EXPECT_EQ(counter_value("peer_server_refused_total"), 1);
  EXPECT_EQ(counter_value("peer_server_connections_total"), 1);
  // Bytes sent by one side equal those received by the other once the last frames are read.
  EXPECT_GT(counter_value("peer_client_sent_bytes_total"), 0);
  EXPECT_TRUE(wait_until([&] {
    return counter_value("peer_server_received_bytes_total") ==
               counter_value("peer_client_sent_bytes_total") &&
           counter_value("peer_client_received_bytes_total") ==
               counter_value("peer_server_sent_bytes_total");
  })) << page();
  EXPECT_EQ(counter_value("http_caller_requests_total"), 1);
  EXPECT_EQ(counter_value("http_malformed_total"), 1);
  EXPECT_GE(counter_value("http_connections_total"), 1);
  EXPECT_EQ(counter_value("http_received_body_bytes_total"), 4);
  EXPECT_GT(counter_value("http_sent_body_bytes_total"), 6);
}

// Guards against a page that a scraper rejects: each counter has one help and one type line, in
// this order and before its sample.
TEST_F(transport_metrics_test, each_counter_has_its_help_and_type) {
  std::istringstream lines{page()};
  int counters = 0;
  for (std::string help; std::getline(lines, help); ++counters) {
    std::string type;
    std::string sample;
    ASSERT_TRUE(std::getline(lines, type) && std::getline(lines, sample));
    const std::string name = sample.substr(0, sample.find(' '));
    EXPECT_TRUE(help.starts_with("# HELP " + name + " ")) << help;
    EXPECT_EQ(type, "# TYPE " + name + " counter");
    EXPECT_EQ(sample, name + " 0");
  }
  EXPECT_EQ(counters, 24);
}

}  // namespace
}  // namespace coltsfoot
