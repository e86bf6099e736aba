// Exit codes of coltsfootctl.
#pragma once

namespace coltsfoot {

enum class exit_code {
  ok = 0,
  refused = 1,      // certainly not done
  bad_input = 2,    // usage, files or lists have an error
  not_reached = 3,  // no node answered
  unknown = 4,      // may have been done; ask by id or look at the history
  conflict = 5      // based on an older version, or the id is in use by a different task
};

}  // namespace coltsfoot
