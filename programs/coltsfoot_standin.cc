// Runs one of the stand-ins for the platform: log, hosts, worker or backend.
//
//   coltsfoot_standin worker --port 9200 --millicores 64000 --memory-mb 250000

#include <fmt/format.h>
#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfoot/standin/backend_standin.h"
#include "coltsfoot/standin/hosts_standin.h"
#include "coltsfoot/standin/log_standin.h"
#include "coltsfoot/standin/worker_standin.h"

namespace {

using coltsfoot::internal::update_switches;

struct options {
  int port = 0;
  char* switches = nullptr;  // JSON
  char* id = nullptr;
  char* file = nullptr;
  long millicores = 64'000;
  long memory_mb = 250'000;
  long accelerators = 0;
  long slots = 8;
};

int fail(const std::string& message) {
  fmt::print(stderr, "coltsfoot_standin: {}\n", message);
  return EXIT_FAILURE;
}

std::string string_or_empty(const char* text) {
  return text == nullptr ? std::string{} : std::string{text};
}

// Serves until SIGTERM or SIGINT, which the caller has blocked.
template <typename Standin>
int serve(Standin& standin, const sigset_t& signals) {
  if (const auto started = standin.start(); !started) return fail(started.error().message);
  fmt::print("listening on 127.0.0.1:{}\n", standin.port());
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  standin.stop();
  return EXIT_SUCCESS;
}

template <typename Switches>
bool apply_switches(Switches& switches, const options& given) {
  return given.switches == nullptr || update_switches(switches, given.switches);
}

int run(std::string_view kind, const options& given, const sigset_t& signals) {
  const auto port = static_cast<std::uint16_t>(given.port);
  constexpr const char* invalid_switches =
      "--switches: expected a JSON object of this stand-in's switches";
  if (kind == "log") {
    coltsfoot::log_standin_options settings{.port = port};
    if (!apply_switches(settings.switches, given)) return fail(invalid_switches);
    coltsfoot::log_standin log{settings};
    return serve(log, signals);
  }
  if (kind == "hosts") {
    coltsfoot::hosts_standin_options settings{.port = port};
    if (!apply_switches(settings.switches, given)) return fail(invalid_switches);
    if (given.file != nullptr) {
      auto hosts = coltsfoot::load_host_list(given.file);
      if (!hosts) return fail(hosts.error().message);
      settings.hosts = std::move(*hosts);
    }
    coltsfoot::hosts_standin hosts{std::move(settings)};
    return serve(hosts, signals);
  }
  if (kind == "worker") {
    coltsfoot::worker_standin_options settings{
        .port = port,
        .id = coltsfoot::worker_id{string_or_empty(given.id)},
        .capacity = {.millicores = given.millicores,
                     .memory_mb = given.memory_mb,
                     .accelerators = given.accelerators}};
    if (!apply_switches(settings.switches, given)) return fail(invalid_switches);
    coltsfoot::worker_standin worker{std::move(settings)};
    return serve(worker, signals);
  }
  if (kind == "backend") {
    coltsfoot::backend_standin_options settings{.port = port, .slots = given.slots};
    if (!apply_switches(settings.switches, given)) return fail(invalid_switches);
    coltsfoot::backend_standin backend{settings};
    return serve(backend, signals);
  }
  return fail("unknown stand-in: " + std::string{kind} + " (log, hosts, worker or backend)");
}

}  // namespace

int main(int argc, const char** argv) {
  options given;
  const std::vector<poptOption> table{
      {"port", 'p', POPT_ARG_INT, &given.port, 0, "port on 127.0.0.1; 0: any", "PORT"},
      {"switches", 's', POPT_ARG_STRING, static_cast<void*>(&given.switches), 0, "switches as JSON",
       "JSON"},
      {"id", 'i', POPT_ARG_STRING, static_cast<void*>(&given.id), 0, "worker: its id; empty: any",
       "ID"},
      {"file", 'f', POPT_ARG_STRING, static_cast<void*>(&given.file), 0,
       "hosts: list as YAML or JSON", "FILE"},
      {"millicores", 0, POPT_ARG_LONG, &given.millicores, 0, "worker: capacity", "N"},
      {"memory-mb", 0, POPT_ARG_LONG, &given.memory_mb, 0, "worker: capacity", "N"},
      {"accelerators", 0, POPT_ARG_LONG, &given.accelerators, 0, "worker: capacity", "N"},
      {"slots", 0, POPT_ARG_LONG, &given.slots, 0, "backend: requests at once", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
  poptSetOtherOptionHelp(context, "log|hosts|worker|backend [OPTION...]");
  const int parsed = poptGetNextOpt(context);
  const char* kind = poptGetArg(context);
  if (parsed < -1 || kind == nullptr || poptPeekArg(context) != nullptr || given.port < 0 ||
      given.port > 65'535) {
    poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    return EXIT_FAILURE;
  }
  // Blocks the signals before any thread starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const int status = run(kind, given, signals);
  poptFreeContext(context);
  return status;
}
