#include "coltsfoot/observe/logger.h"

#include <easylogging++.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <chrono>

#include "coltsfoot/observe/line_writer.h"

namespace coltsfoot {
namespace {

line_writer& output() {
  static line_writer writer{STDOUT_FILENO};
  return writer;
}

class output_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    output().write(data->logMessage()->message());
  }
};

constexpr const char* logger_name = "coltsfoot";
constexpr const char* callback_name = "coltsfoot_output";

std::atomic<severity> lowest{severity::info};
std::string node_name;  // written before other threads log

// Returns the present UTC time with milliseconds.
std::string present_time() {
  using namespace std::chrono;
  const auto now = floor<milliseconds>(system_clock::now());
  const auto seconds = floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(system_clock::to_time_t(seconds)),
                     (now - seconds).count());
}

}  // namespace

void start_logging(const logging_options& options) {
  node_name = log_value(options.node);
  lowest = options.level;
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
  // The standard output of the library is replaced by one that writes a line in one call.
  el::Configurations configuration;
  configuration.setGlobally(el::ConfigurationType::Enabled, "true");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Loggers::getLogger(logger_name);
  el::Loggers::reconfigureLogger(logger_name, configuration);
  el::Helpers::installLogDispatchCallback<output_callback>(callback_name);
}

std::uint64_t dropped_log_lines() {
  return output().dropped();
}

void log_line(severity level, std::string_view text) {
  if (level < lowest.load(std::memory_order_relaxed)) return;
  std::string line =
      fmt::format("time={} level={} node={} ", present_time(), name_of(level), node_name);
  append_escaped(line, text, "");
  el::Logger* logger = el::Loggers::getLogger(logger_name);
  switch (level) {
    case severity::debug:
      logger->debug(line);
      break;
    case severity::info:
      logger->info(line);
      break;
    case severity::warning:
      logger->warn(line);
      break;
    case severity::error:
      logger->error(line);
      break;
  }
}

}  // namespace coltsfoot
