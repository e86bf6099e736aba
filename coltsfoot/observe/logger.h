// Log lines as key=value pairs on standard output, one line per event. A reader that is
// slow or gone delays nothing: see line_writer.h.
//
//   start_logging({.node = "n1", .level = severity::info});
//   log_line(severity::info, "event=place task=t1 worker=w7");
//   // time=2026-12-04T09:44:25.113Z level=info node=n1 event=place task=t1 worker=w7
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coltsfoot/base/log_text.h"
#include "coltsfoot/node/commands.h"

namespace coltsfoot {

struct logging_options {
  std::string node;
  severity level = severity::info;  // lines below it are dropped
};

// Must be called once before other threads log.
void start_logging(const logging_options& options);

// Writes one line. Control characters in `text` are escaped. May be called from any thread.
void log_line(severity level, std::string_view text);

// Lines that were dropped because nobody read the output fast enough.
std::uint64_t dropped_log_lines();

}  // namespace coltsfoot
