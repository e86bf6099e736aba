// Turns a reply into text and an exit code.
//
//   const rendered_reply out = render(reply, output_format::text, {"config", "show"});
#pragma once

#include <string>
#include <vector>

#include "coltsfoot/ctl/exit_code.h"
#include "coltsfoot/model/operator_messages.h"

namespace coltsfoot {

enum class output_format { text, json };

struct rendered_reply {
  std::string text;  // ends with a line feed unless empty
  exit_code code = exit_code::ok;
};

// `words` is the command that was run.
rendered_reply render(const operator_reply& reply, output_format format,
                      const std::vector<std::string>& words);

}  // namespace coltsfoot
