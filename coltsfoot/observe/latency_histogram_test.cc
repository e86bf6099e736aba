#include "coltsfoot/observe/latency_histogram.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "coltsfoot/observe/exposition.h"
#include "coltsfoot/observe/logger.h"

namespace coltsfoot {
namespace {

using us = std::chrono::microseconds;

// Guards against quantiles below the true value or far above it.
TEST(latency_histogram_test, quantiles_are_near_and_never_low) {
  latency_histogram a;
  latency_histogram b;
  for (int i = 1; i <= 10'000; ++i) (i % 2 == 0 ? a : b).record(us{i});
  a.merge(b);
  EXPECT_EQ(a.count(), 10'000U);
  for (const int rank : {5'000, 9'900, 9'990}) {
    const auto value = a.quantile(rank / 10'000.0).count();
    EXPECT_GE(value, rank);
    EXPECT_LE(value, rank * 1.091);
  }
  EXPECT_EQ(latency_histogram{}.quantile(0.5), us{0});
  a.record(us::max());
  EXPECT_GT(a.quantile(1).count(), 0);
}

// Guards against a page that a scraper refuses.
TEST(exposition_test, samples_follow_the_text_format) {
  exposition page;
  page.add_counter("tasks_total", 3, exposition_label("kind", "a\"b\n"));
  page.add_counter("tasks_total", 4);
  latency_histogram waits;
  waits.record(us{300});
  page.add_histogram("wait_seconds", "", waits);
  EXPECT_TRUE(
      page.text().starts_with("# TYPE coltsfoot_tasks_total counter\n"
                              "coltsfoot_tasks_total{kind=\"a\\\"b\\n\"} 3\n"
                              "coltsfoot_tasks_total 4\n"
                              "# TYPE coltsfoot_wait_seconds histogram\n"
                              "coltsfoot_wait_seconds_bucket{le=\"0.0001\"} 0\n"))
      << page.text();
  EXPECT_NE(page.text().find("_bucket{le=\"0.0005\"} 1\n"), std::string::npos);
  EXPECT_NE(page.text().find("_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
  EXPECT_NE(page.text().find("coltsfoot_wait_seconds_sum 0.0003\n"), std::string::npos);
}

// Guards against a value that forges a line or a pair, and against lines below the level.
TEST(logger_test, lines_hold_the_pairs_and_cannot_be_forged) {
  testing::internal::CaptureStdout();
  start_logging({.node = "n 1", .level = severity::debug});
  log_line(severity::debug, "event=low");
  log_line(severity::warning, "event=a\nb text=" + log_value("x=1 \"y\"") + " %v");
  start_logging({.node = "n1", .level = severity::error});
  log_line(severity::info, "event=dropped");
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_NE(text.find(" level=debug node=\"n 1\" event=low\n"), std::string::npos) << text;
  EXPECT_NE(text.find(R"( level=warning node="n 1" event=a\nb text="x=1 \"y\"" %v)"),
            std::string::npos)
      << text;
  EXPECT_EQ(text.find("dropped"), std::string::npos);
  EXPECT_EQ(std::ranges::count(text, '\n'), 2);
}

}  // namespace
}  // namespace coltsfoot
