#include "tests/process/support/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <regex>
#include <sstream>
#include <stdexcept>

#include "tests/support/project_paths.h"

extern char** environ;

namespace coltsfoot::testing {

std::string program_path(const std::string& name) {
  return program_dir() + "/" + name;
}

reserved_port::reserved_port() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int enabled = 1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool bound =
      socket_ >= 0 &&
      setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) == 0 &&
      bind(socket_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!bound) {
    if (socket_ >= 0) close(socket_);
    throw std::runtime_error("no free port");
  }
  number_ = ntohs(address.sin_port);
}

reserved_port::~reserved_port() {
  if (socket_ >= 0) close(socket_);
}

child_process::child_process(const std::string& program, std::vector<std::string> arguments,
                             const std::string& directory, const std::string& name)
    : log_path_(directory + "/" + name + ".log") {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  arguments.insert(arguments.begin(), program);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (auto& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const int result = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0)
    throw std::runtime_error(fmt::format("can't start {}: error {}", program, result));
}

child_process::~child_process() {
  kill_now();
}

std::uint16_t child_process::wait_for_port() const {
  static const std::regex pattern{R"(listening on 127\.0\.0\.1:(\d+))"};
  std::smatch match;
  std::string text;
  const bool found = wait_until([&] {
    text = output();
    return std::regex_search(text, match, pattern);
  });
  if (!found) throw std::runtime_error("no port announced in " + log_path_ + ": " + text);
  return static_cast<std::uint16_t>(std::stoul(match[1].str()));
}

void child_process::signal(int number) const {
  if (!status_) ::kill(pid_, number);
}

void child_process::limit_descriptors(std::uint64_t count) const {
  rlimit limit{};
  if (prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit) == 0) {
    limit.rlim_cur = count;
    if (prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0) return;
  }
  throw std::runtime_error("can't limit the descriptors of " + log_path_);
}

void child_process::kill_now() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  wait_for_exit();
}

std::optional<int> child_process::wait_for_exit(std::chrono::milliseconds limit) {
  wait_until([this] { return !running(); }, limit);
  return status_;
}

bool child_process::running() {
  if (status_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return false;
}

std::string child_process::output() const {
  std::ifstream file{log_path_};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace coltsfoot::testing
