// Plays one case of the review: review_case NUMBER RECORD-FILE, in the root of the repository. The
// numbers above 5 are findings that REPORT.md lists beside the cases.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 in
// the environment the disruption is left out.
#include <curl/curl.h>
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>

#include "review/standin/deployment.h"

namespace review {
namespace {

enum class verdict { held = 0, broken = 1, not_run = 2 };

constexpr std::int64_t contact_timeout_ms = 3'000;
constexpr std::int64_t gang_timeout_ms = 3'000;
constexpr std::int64_t visible_ms = 3'000;
constexpr std::int64_t cancel_ms = 3'000;

bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

// Six or more runners of 64 cores, so that one of them is at most 0.17 of them.
std::vector<runner_options> runners_of_kinds(const std::string& kinds) {
  std::vector<runner_options> out;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    out.push_back({.id = fmt::format("i-7f3a91c{}", i),
                   .kind = std::string(1, kinds[i]),
                   .rack = fmt::format("r1-{}", i % 2)});
  }
  return out;
}

verdict conclude(recorder& record, bool broken, const std::string& text) {
  record.note((broken ? "BROKEN " : "HELD ") + text);
  std::cout << (broken ? "broken: " : "held: ") << text << '\n';
  return broken ? verdict::broken : verdict::held;
}

verdict not_run(recorder& record, const std::string& reason) {
  record.note("NOT RUN " + reason);
  std::cout << "not run: " << reason << '\n';
  return verdict::not_run;
}

// TWICE: more than 500 tasks end on a runner that is cut off for 3.5 s.
verdict many_ends(recorder& record) {
  deployment fleet{record, 1};
  if (!fleet.start(runners_of_kinds("abbbbb"))) return not_run(record, "the nodes did not start");
  const std::string id = "5c0e7a21d94b36f8";
  const auto answer = fleet.submit(
      id,
      R"({"specification":"{\"workMs\":[4000],\"cpu\":[100]}","steps":[{"count":620,"cpu":100,"memMb":64,"estimatedMs":4000,"requirements":"a"}]})");
  if (answer.status != 200) return not_run(record, "the job was not accepted");
  if (!wait_for(10'000, [&] { return fleet.runners().starts().size() >= 600; })) {
    return not_run(record, "the tasks did not start");
  }
  sleep_ms(1'000);
  if (with_trouble()) {
    fleet.runners().cut("i-7f3a91c0");
    sleep_ms(3'500);
    fleet.runners().heal("i-7f3a91c0");
  }
  wait_for(20'000, [&] { return fleet.state_of(id) == "completed" || !(sleep_ms(500), true); });
  sleep_ms(2'000);
  // The first noted `done` end of each task, and starts after it.
  std::map<std::string, std::int64_t> done_at;
  for (const auto& e : fleet.runners().ends()) {
    if (e.how == "done" && e.noted_at_ms && !e.lease_lapsed_before_note) {
      done_at.try_emplace(e.task, e.at_ms);
    }
  }
  std::size_t again = 0;
  for (const auto& s : fleet.runners().starts()) {
    const auto found = done_at.find(s.task);
    if (found != done_at.end() && s.at_ms > found->second) ++again;
  }
  return conclude(record, again > 0,
                  fmt::format("starts={} tasks_done={} starts_after_a_noted_done_end={}",
                              fleet.runners().starts().size(), done_at.size(), again));
}

// GANG: a runner of a gang is cut off for 5.5 s; the next run's members carry unlike checkpoints.
verdict gang_checkpoints(recorder& record) {
  deployment fleet{record, 1};
  if (!fleet.start(runners_of_kinds("aaaaaa"))) return not_run(record, "the nodes did not start");
  const std::string id = "5c0e7a21d94b36f8";
  const auto answer = fleet.submit(
      id,
      R"({"specification":"{\"workMs\":[15000],\"cpu\":[40000],\"gang\":[2]}","steps":[{"count":2,"cpu":40000,"memMb":1024,"estimatedMs":15000,"gangScheduled":true,"checkpointing":true}]})");
  if (answer.status != 200) return not_run(record, "the job was not accepted");
  if (!wait_for(10'000, [&] { return fleet.runners().starts().size() >= 2; })) {
    return not_run(record, "the tasks did not start");
  }
  sleep_ms(4'000);
  std::int64_t calm_from = record.now_ms();
  if (with_trouble()) {
    const auto cut = fleet.runners().runner_of(id + ".0.0.0");
    fleet.runners().cut(cut);
    sleep_ms(5'500);
    fleet.runners().heal(cut);
    calm_from = record.now_ms() + contact_timeout_ms;
  }
  wait_for(40'000, [&] { return fleet.state_of(id) == "completed" || !(sleep_ms(500), true); });
  const auto state = fleet.state_of(id);
  const auto starts = fleet.runners().starts();
  std::size_t alone = 0;
  for (const auto& e : fleet.runners().ends()) {
    const auto start = std::find_if(starts.begin(), starts.end(), [&](const auto& s) {
      return s.task == e.task && s.run == e.run;
    });
    const bool calm = start != starts.end() && start->at_ms >= calm_from;
    if (e.how == "alone" && calm) ++alone;
  }
  std::map<std::uint32_t, std::set<std::string>> checkpoints;
  for (const auto& s : starts) checkpoints[s.run].insert(s.checkpoint);
  const auto unlike = std::count_if(checkpoints.begin(), checkpoints.end(),
                                    [](const auto& entry) { return entry.second.size() > 1; });
  return conclude(record, alone > 0,
                  fmt::format("state={} starts={} runs_with_unlike_checkpoints={} "
                              "ends_alone_of_starts_in_calm={}",
                              state, starts.size(), unlike, alone));
}

// LOST: a runner is cut off while its gang ends; the next owner never goes on with the job.
verdict gang_then_owner(recorder& record) {
  deployment fleet{record, 2};
  if (!fleet.start(runners_of_kinds("aaaaaa"))) return not_run(record, "the nodes did not start");
  const std::string id = "5c0e7a21d94b36f8";
  const auto answer = fleet.submit(
      id,
      R"({"specification":"{\"workMs\":[4000,20000,500],\"cpu\":[40000,5000,1000],\"gang\":[2,0,0]}","steps":[{"count":2,"cpu":40000,"memMb":1024,"estimatedMs":4000,"gangScheduled":true},{"count":1,"cpu":5000,"memMb":1024,"estimatedMs":20000,"dependencies":[0]},{"count":1,"cpu":1000,"memMb":1024,"estimatedMs":500,"dependencies":[0,1]}]})");
  if (answer.status != 200) return not_run(record, "the job was not accepted");
  if (!wait_for(10'000, [&] { return fleet.runners().starts().size() >= 2; })) {
    return not_run(record, "the tasks did not start");
  }
  sleep_ms(2'500);
  if (with_trouble()) {
    const auto cut = fleet.runners().runner_of(id + ".0.0.0");
    fleet.runners().cut(cut);
    sleep_ms(5'500);
    fleet.runners().heal(cut);
  } else {
    sleep_ms(5'500);
  }
  sleep_ms(4'000);
  // Planned work, with and without the cut: the owner is stopped and started again.
  const auto owner = fleet.owner();
  const auto other = 1 - owner;
  fleet.node(owner).end(SIGTERM);
  fleet.node(owner).start();
  const auto last_done = [&] {
    const auto ends = fleet.runners().ends();
    return std::any_of(ends.begin(), ends.end(),
                       [&](const auto& e) { return e.task == id + ".0.1.0" && e.how == "done"; });
  };
  if (!wait_for(40'000, last_done)) return not_run(record, "step 1 did not end");
  const auto ended_at = record.now_ms();
  wait_for(20'000,
           [&] { return fleet.state_of(id, other) == "completed" || !(sleep_ms(500), true); });
  const auto state = fleet.state_of(id, other);
  const auto starts = fleet.runners().starts();
  const bool last_started = std::any_of(starts.begin(), starts.end(),
                                        [&](const auto& s) { return s.task == id + ".0.2.0"; });
  return conclude(record, !last_started && state != "completed",
                  fmt::format("state={} last_step_started={} waited_ms={}", state, last_started,
                              record.now_ms() - ended_at));
}

// ROUTE: a runner crashes and starts again under its id as another kind.
verdict other_kind(recorder& record) {
  deployment fleet{record, 1};
  if (!fleet.start(runners_of_kinds("aabbbbbb"))) return not_run(record, "the nodes did not start");
  const std::string id = "5c0e7a21d94b36f8";
  const auto answer = fleet.submit(
      id,
      R"({"specification":"{\"workMs\":[4000],\"cpu\":[30000]}","steps":[{"count":12,"cpu":30000,"memMb":1024,"estimatedMs":4000,"requirements":"a"}]})");
  if (answer.status != 200) return not_run(record, "the job was not accepted");
  if (!wait_for(10'000, [&] { return fleet.runners().starts().size() >= 4; })) {
    return not_run(record, "the tasks did not start");
  }
  sleep_ms(2'000);
  if (with_trouble()) {
    fleet.runners().crash("i-7f3a91c0");
    sleep_ms(500);
    fleet.runners().revive("i-7f3a91c0", "b");
  }
  wait_for(40'000, [&] { return fleet.state_of(id) == "completed" || !(sleep_ms(500), true); });
  const auto starts = fleet.runners().starts();
  const auto wrong =
      std::count_if(starts.begin(), starts.end(), [](const auto& s) { return s.kind != "a"; });
  return conclude(
      record, wrong > 0,
      fmt::format("starts={} starts_without_the_required_label={}", starts.size(), wrong));
}

// MIXED: more large gangs come at once than there is room for.
verdict waiting_gangs(recorder& record) {
  deployment fleet{record, 1};
  if (!fleet.start(runners_of_kinds("aaaaaaa"))) return not_run(record, "the nodes did not start");
  const std::size_t jobs = with_trouble() ? 7 : 3;
  std::map<std::string, std::int64_t> accepted;
  for (std::size_t i = 0; i < jobs; ++i) {
    const auto id = fmt::format("5c0e7a21d94b36f{}", i);
    const auto answer = fleet.submit(
        id,
        R"({"specification":"{\"workMs\":[9000],\"cpu\":[60000],\"gang\":[2]}","steps":[{"count":2,"cpu":60000,"memMb":1024,"estimatedMs":9000,"gangScheduled":true}]})");
    if (answer.status != 200) return not_run(record, "a job was not accepted");
    accepted[id] = record.now_ms();
  }
  std::size_t asked = 0;
  std::size_t wrong = 0;
  const auto end = record.now_ms() + 15'000;
  while (record.now_ms() < end) {
    std::set<std::string> begun;
    for (const auto& s : fleet.runners().starts()) begun.insert(s.task.substr(0, s.task.find('.')));
    const auto waiting = std::count_if(accepted.begin(), accepted.end(), [&](const auto& job) {
      return !begun.contains(job.first) && record.now_ms() - job.second > visible_ms + 2'000;
    });
    const auto count = fleet.pending_count();
    ++asked;
    if (count >= 0 && 2 * count < waiting) {
      ++wrong;
      record.note(fmt::format("pending_count={} jobs_that_have_not_begun={}", count, waiting));
    }
    sleep_ms(250);
  }
  return conclude(record, wrong > 0,
                  fmt::format("counts_asked={} counts_under_half={}", asked, wrong));
}

// UNASKED: answers of the store are lost while a job is handed in; its cancelling is acknowledged.
verdict cancelled_then_recorded(recorder& record) {
  deployment fleet{record, 1};
  if (!fleet.start(runners_of_kinds("aaaaaa"))) return not_run(record, "the nodes did not start");
  const std::string id = "5c0e7a21d94b36f8";
  const auto before = fleet.store().appends();
  if (with_trouble()) fleet.store().delay_caller_appends(6'000);
  const auto handed_in = fleet.submit(
      id,
      R"({"specification":"{\"workMs\":[2000,2000,2000],\"cpu\":[5000,5000,5000]}","steps":[{"count":2,"cpu":5000,"memMb":1024,"estimatedMs":2000},{"count":2,"cpu":5000,"memMb":1024,"estimatedMs":2000,"dependencies":[0]},{"count":2,"cpu":5000,"memMb":1024,"estimatedMs":2000,"dependencies":[1]}]})");
  fleet.store().delay_caller_appends(0);
  const auto after = fleet.store().appends();
  const auto cancelled = fleet.cancel(id);
  const auto cancelled_at = record.now_ms();
  if (cancelled.status != 200 && cancelled.status != 410) {
    return not_run(record, "the cancelling was not acknowledged");
  }
  sleep_ms(15'000);
  const auto state = fleet.state_of(id);
  const auto starts = fleet.runners().starts();
  const auto late = std::count_if(starts.begin(), starts.end(), [&](const auto& s) {
    return s.at_ms > cancelled_at + cancel_ms;
  });
  return conclude(record, late > 0,
                  fmt::format("handed_in={} cancelled={} state={} starts={} starts_too_late={} "
                              "appends={} appends_without_answer={}",
                              handed_in.status, cancelled.status, state, starts.size(), late,
                              after.first - before.first, after.second - before.second));
}

// LOST: a lasting task asks for nearly all of a runner.
verdict large_lasting_task(recorder& record) {
  deployment fleet{record, 1};
  if (!fleet.start(runners_of_kinds("aaaaaa"))) return not_run(record, "the nodes did not start");
  const std::string id = "5c0e7a21d94b36f8";
  const int cpu = with_trouble() ? 60'000 : 20'000;
  const auto answer = fleet.submit(
      id,
      fmt::format(
          R"({{"specification":"{{\"workMs\":[0],\"cpu\":[{0}]}}","steps":[{{"count":1,"cpu":{0},"memMb":1024,"estimatedMs":500,"longRunning":true}}]}})",
          cpu));
  if (answer.status != 200) return not_run(record, "the job was not accepted");
  wait_for(20'000, [&] { return !fleet.runners().starts().empty(); });
  const auto starts = fleet.runners().starts().size();
  const auto state = fleet.state_of(id);
  return conclude(record, starts == 0,
                  fmt::format("cpu={} state={} starts={}", cpu, state, starts));
}

// Fault: one of twenty jobs has 2^64 tasks. Processes that end are started again, as the platform
// does.
verdict countless_tasks(recorder& record) {
  deployment fleet{record, 2};
  if (!fleet.start(runners_of_kinds("aaaaaa"))) return not_run(record, "the nodes did not start");
  std::vector<std::string> accepted;
  const auto first = record.now_ms();
  for (int i = 0; i < 19; ++i) {
    const auto id = fmt::format("5c0e7a21d94b36{:02x}", i);
    const auto answer = fleet.submit(
        id,
        R"({"specification":"{\"workMs\":[4000],\"cpu\":[5000]}","steps":[{"count":1,"cpu":5000,"memMb":1024,"estimatedMs":4000}]})",
        static_cast<std::size_t>(i % 2));
    if (answer.status != 200) return not_run(record, "a job was not accepted");
    accepted.push_back(id);
  }
  if (with_trouble()) {
    // 128 steps of 2^26 tasks, 2^31 times.
    std::string steps;
    for (int i = 0; i < 128; ++i) {
      steps += R"({"count":67108864,"cpu":1000,"memMb":1024,"estimatedMs":500},)";
    }
    steps.pop_back();
    fleet.submit(
        "5c0e7a21d94b36ff",
        R"({"specification":"{}","repetitions":2147483648,"startTimeMs":1,"intervalMs":1,"steps":[)" +
            steps + "]}");
  }
  const auto handed_in_ms = record.now_ms() - first;
  std::vector<int> ends(fleet.node_count(), 0);
  const auto until = record.now_ms() + 20'000;
  while (record.now_ms() < until) {
    for (std::size_t i = 0; i < fleet.node_count(); ++i) {
      if (!fleet.node(i).has_ended()) continue;
      ++ends[i];
      record.note("process_ended_by_itself node=" + fleet.node(i).name());
      fleet.node(i).start();
    }
    sleep_ms(500);
  }
  const auto completed = std::count_if(accepted.begin(), accepted.end(), [&](const auto& id) {
    return fleet.state_of(id, 0) == "completed";
  });
  const bool broken = std::all_of(ends.begin(), ends.end(), [](int n) { return n >= 3; });
  return conclude(
      record, broken,
      fmt::format("processes_ended_by_themselves={},{} accepted={} shown_as_completed={} "
                  "handed_in_within_ms={}",
                  ends[0], ends[1], accepted.size(), completed, handed_in_ms));
}

verdict play(int number, recorder& record) {
  switch (number) {
    case 1:
      return many_ends(record);
    case 2:
      return gang_then_owner(record);
    case 3:
      return gang_checkpoints(record);
    case 4:
      return cancelled_then_recorded(record);
    case 5:
      return countless_tasks(record);
    case 6:
      return waiting_gangs(record);
    case 7:
      return large_lasting_task(record);
    case 8:
      return other_kind(record);
    default:
      return not_run(record, "no such case");
  }
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: review_case NUMBER RECORD-FILE\n";
    return static_cast<int>(review::verdict::not_run);
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  review::recorder record{argv[2]};
  return static_cast<int>(review::play(std::atoi(argv[1]), record));
}
