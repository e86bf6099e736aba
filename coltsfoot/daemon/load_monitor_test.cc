#include "coltsfoot/daemon/load_monitor.h"

#include <gtest/gtest.h>

#include <vector>

#include "coltsfoot/transport/internal/test_support.h"

namespace coltsfoot {
namespace {

constexpr time_point start{duration{10'000}};

void send_and_wait(http_client& client, const std::string& address, std::string_view kind) {
  internal::result_box<http_result> box;
  client.send({.method = "POST",
               .url = "http://" + address + "/",
               .body = std::string(1'000, 'x'),
               .timeout = duration{2'000},
               .kind = kind},
              box.callback());
  static_cast<void>(box.get());
}

// Without the bytes of each kind of call, nobody can tell what fills the link of a node.
TEST(load_monitor_test, shows_the_traffic_of_each_kind_of_call_since_the_last_second) {
  internal::scripted_server server{
      internal::answer_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")};
  http_client client{{}};
  load_monitor monitor;
  ASSERT_TRUE(monitor.sample({&client}, start));
  send_and_wait(client, server.address(), "worker_start");
  EXPECT_FALSE(monitor.sample({&client}, start + duration{999})) << "one line a second";
  const auto line = monitor.sample({&client}, start + duration{1'000});
  ASSERT_TRUE(line);
  EXPECT_NE(line->find(" worker_start=1/0/1/1"), std::string::npos) << *line;
  const auto next = monitor.sample({&client}, start + duration{2'000});
  EXPECT_EQ(next->find("worker_start"), std::string::npos) << *next;
  send_and_wait(client, internal::closed_address(), "worker_poll");
  const auto failed = monitor.sample({&client}, start + duration{3'000});
  EXPECT_NE(failed->find(" worker_poll=1/1/"), std::string::npos) << *failed;
}

TEST(load_monitor_test, shows_how_late_the_control_thread_was_at_most) {
  http_client client{{}};
  load_monitor monitor;
  monitor.note_tick(start, start + duration{30});
  monitor.note_tick(start, start + duration{7});
  EXPECT_EQ(monitor.own_delay(), duration{30});
  const auto line = monitor.sample({&client}, start);
  EXPECT_EQ(monitor.own_delay(), duration{30}) << "of the second before";
  ASSERT_TRUE(line);
  EXPECT_NE(line->find("control_late_ms=30 "), std::string::npos) << *line;
  exposition page;
  monitor.add_metrics(page);
  EXPECT_NE(page.text().find("coltsfoot_control_thread_late_seconds 0.03"), std::string::npos);
}

}  // namespace
}  // namespace coltsfoot
