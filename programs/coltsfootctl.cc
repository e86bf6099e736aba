// Operator tool: publishes lists, marks hosts, and queries nodes for task and node status.
#include <curl/curl.h>
#include <fmt/format.h>
#include <popt.h>

#include <chrono>
#include <cstdio>
#include <memory>

#include "coltsfoot/config/settings.h"
#include "coltsfoot/ctl/admin_client.h"
#include "coltsfoot/ctl/command_line.h"
#include "coltsfoot/ctl/render.h"

namespace coltsfoot {
namespace {

constexpr int default_timeout_ms = 15'000;  // longer than a node takes to answer `unknown`

enum option_value { option_node = 1, option_base, option_version, option_help };

struct arguments {
  std::vector<std::string> nodes;
  std::vector<std::string> words;
  ctl_flags flags;
  output_format format = output_format::text;
  duration timeout{default_timeout_ms};
};

struct raw_options {
  char* node = nullptr;
  char* output = nullptr;
  char* author = nullptr;
  char* customer = nullptr;
  char* processors = nullptr;
  char* memory = nullptr;
  char* accelerators = nullptr;
  char* kind = nullptr;
  char* urgency = nullptr;
  char* payload = nullptr;
  long long base = 0;
  int timeout_ms = default_timeout_ms;
  int non_idempotent = 0;
};

int finish(exit_code code) {
  return static_cast<int>(code);
}

int fail(exit_code code, std::string_view message) {
  fmt::print(stderr, "coltsfootctl: {}\n", message);
  return finish(code);
}

void set_if_given(std::string& out, const char* value) {
  if (value != nullptr) out = value;
}

// Validates the options and copies them to `out`. Returns an error message on failure.
std::optional<std::string> apply_options(const raw_options& raw, arguments& out) {
  const std::string output = raw.output == nullptr ? "text" : raw.output;
  if (output != "text" && output != "json") return "--output: expected text or json";
  out.format = output == "json" ? output_format::json : output_format::text;
  if (raw.timeout_ms <= 0) return "--timeout: expected milliseconds from 1 up";
  out.timeout = duration{raw.timeout_ms};
  for (const std::string& node : out.nodes) {
    if (!is_ip_port(node)) return "--node: expected ip:port: " + node;
  }
  set_if_given(out.flags.author, raw.author);
  set_if_given(out.flags.customer, raw.customer);
  set_if_given(out.flags.processors, raw.processors);
  set_if_given(out.flags.memory, raw.memory);
  set_if_given(out.flags.accelerators, raw.accelerators);
  set_if_given(out.flags.kind, raw.kind);
  set_if_given(out.flags.urgency, raw.urgency);
  set_if_given(out.flags.payload, raw.payload);
  out.flags.non_idempotent = raw.non_idempotent != 0;
  return std::nullopt;
}

int run(const arguments& args) {
  const auto& words = args.words;
  if (words.size() == 4 && words[0] == "config" && words[1] == "check") {
    const auto error = check_files(words[2], words[3]);
    if (error) return fail(exit_code::bad_input, *error);
    fmt::print("valid\n");
    return finish(exit_code::ok);
  }
  const wall_time now =
      std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto request = make_request(words, args.flags, now);
  if (!request) return fail(exit_code::bad_input, request.error());
  if (args.nodes.empty()) return fail(exit_code::bad_input, "--node is missing");
  const auto reply = ask_nodes(args.nodes, *request, args.timeout);
  if (!reply) {
    const bool outcome_unknown =
        reply.error().kind == client_failure::unknown && changes_state(*request);
    return fail(outcome_unknown ? exit_code::unknown : exit_code::not_reached,
                reply.error().message);
  }
  const rendered_reply out = render(*reply, args.format, words);
  fmt::print("{}", out.text);
  return finish(out.code);
}

int parse_and_run(int argc, const char** argv) {
  raw_options raw;
  arguments args;
  const poptOption table[] = {
      {"node", 'n', POPT_ARG_STRING, static_cast<void*>(&raw.node), option_node,
       "operator address of a node; the next one is tried if it is not reached", "IP:PORT"},
      {"output", 'o', POPT_ARG_STRING, static_cast<void*>(&raw.output), 0, "text or json",
       "FORMAT"},
      {"timeout", 't', POPT_ARG_INT, &raw.timeout_ms, 0, "limit of the call", "MILLISECONDS"},
      {"base", 'b', POPT_ARG_LONGLONG, &raw.base, option_base,
       "version that a publication is based on", "VERSION"},
      {"author", 'a', POPT_ARG_STRING, static_cast<void*>(&raw.author), 0, "who makes the change",
       "NAME"},
      {"customer", 'c', POPT_ARG_STRING, static_cast<void*>(&raw.customer), 0,
       "customer of the tasks", "ID"},
      {"processors", 0, POPT_ARG_STRING, static_cast<void*>(&raw.processors), 0, "size of the task",
       "CORES"},
      {"memory", 0, POPT_ARG_STRING, static_cast<void*>(&raw.memory), 0,
       "size of the task, with MB or GB", "SIZE"},
      {"accelerators", 0, POPT_ARG_STRING, static_cast<void*>(&raw.accelerators), 0,
       "size of the task", "COUNT"},
      {"kind", 0, POPT_ARG_STRING, static_cast<void*>(&raw.kind), 0, "batch or latency_critical",
       "KIND"},
      {"urgency", 0, POPT_ARG_STRING, static_cast<void*>(&raw.urgency), 0, "urgent or deferrable",
       "URGENCY"},
      {"payload", 0, POPT_ARG_STRING, static_cast<void*>(&raw.payload), 0, "passed to the worker",
       "TEXT"},
      {"non-idempotent", 0, POPT_ARG_NONE, &raw.non_idempotent, 0, "the task runs at most once",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, option_version, "print the version", nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, option_help, "print this help", nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context{
      poptGetContext("coltsfootctl", argc, argv, table, 0), &poptFreeContext};
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND");
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) > 0) {
    if (option == option_node) args.nodes.emplace_back(raw.node);
    if (option == option_base) {
      if (raw.base < 0) return fail(exit_code::bad_input, "--base: is negative");
      args.flags.base = static_cast<std::uint64_t>(raw.base);
    }
    if (option == option_version) {
      fmt::print("coltsfootctl {}\n", COLTSFOOT_VERSION);
      return finish(exit_code::ok);
    }
    if (option == option_help) {
      poptPrintHelp(context.get(), stdout, 0);
      std::fflush(stdout);
      fmt::print("\n{}", command_summary());
      return finish(exit_code::ok);
    }
  }
  if (option < -1) {
    return fail(exit_code::bad_input,
                fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(option)));
  }
  while (const char* word = poptGetArg(context.get())) args.words.emplace_back(word);
  if (const auto error = apply_options(raw, args)) return fail(exit_code::bad_input, *error);
  return run(args);
}

}  // namespace
}  // namespace coltsfoot

int main(int argc, const char** argv) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const int code = coltsfoot::parse_and_run(argc, argv);
  curl_global_cleanup();
  return code;
}
