#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "coltsfoot/config/settings.h"
#include "coltsfoot/ctl/command_line.h"
#include "tests/support/project_paths.h"

namespace coltsfoot {
namespace {

const std::filesystem::path source_dir{testing::source_dir()};

std::string text_of(const std::filesystem::path& path) {
  std::ifstream in{path};
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string page() {
  return text_of(source_dir / "docs" / "operators.md");
}

// The pages of both daemons.
std::string pages() {
  return page() + text_of(source_dir / "docs" / "OPERATIONS.md");
}

// Returns the first group of each match of `pattern` in the sources that are not tests.
std::set<std::string> names_in_sources(const std::string& pattern) {
  std::set<std::string> names;
  const std::regex expression{pattern};
  for (const auto* folder : {"coltsfoot", "platform"}) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator{source_dir / folder}) {
      const auto file = entry.path().filename().string();
      if (!file.ends_with(".cc") || file.ends_with("_test.cc")) continue;
      const std::string text = text_of(entry.path());
      for (std::sregex_iterator at{text.begin(), text.end(), expression}, end; at != end; ++at) {
        names.insert((*at)[1].str());
      }
    }
  }
  return names;
}

// Guards against a table of settings that differs from what the daemon accepts.
TEST(operators_page_test, holds_the_table_of_settings) {
  EXPECT_NE(page().find(settings_reference()), std::string::npos)
      << "replace the table of docs/operators.md by `coltsfootd --print-settings-reference`";
}

// Guards against commands and exit codes that differ from those of the operator tool.
TEST(operators_page_test, holds_the_summary_of_commands) {
  EXPECT_NE(page().find(command_summary()), std::string::npos)
      << "replace the summary of docs/operators.md by that of `coltsfootctl --help`";
}

// Guards against counters that operators can't look up.
TEST(operators_page_test, names_each_counter) {
  const auto names = names_in_sources(R"re("([a-z_]+_total)")re");
  EXPECT_GT(names.size(), 40U);
  const std::string text = pages();
  for (const std::string& name : names) {
    EXPECT_NE(text.find("`" + name + "`"), std::string::npos) << name;
  }
}

// Guards against histograms and headers that operators and callers can't look up.
TEST(operators_page_test, names_each_histogram_and_header) {
  const auto histograms = names_in_sources(R"re(add_histogram\("([a-z_]+)")re");
  EXPECT_FALSE(histograms.empty());
  const auto headers = names_in_sources(R"re("(coltsfoot-[a-z-]+[a-z])")re");
  EXPECT_GT(headers.size(), 6U);
  const std::string text = page();
  for (const auto& names : {histograms, headers}) {
    for (const std::string& name : names) {
      EXPECT_NE(text.find("`" + name + "`"), std::string::npos) << name;
    }
  }
}

// Guards against log lines that operators can't look up.
TEST(operators_page_test, names_each_log_event) {
  const auto names = names_in_sources("event=([a-z_]+)[ \"]");
  EXPECT_GT(names.size(), 30U);
  const std::string text = pages();
  for (const std::string& name : names) {
    EXPECT_NE(text.find("`" + name + "`"), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace coltsfoot
