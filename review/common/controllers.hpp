// The controllers of a test: the project's own program, one process each, on loopback.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "http.hpp"
#include "record.hpp"

namespace review {

/// A port of the loopback interface that is free now.
inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(0);
  socklen_t size = sizeof address;
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

class Controllers {
 public:
  struct Node {
    std::string name, zone;
    int port = 0, peer_port = 0;
    pid_t pid = -1;
  };

  /// `run`: the command of the deploy file, without the path of the settings. `facts`: the table
  /// [facts] of the settings files and those below it.
  Controllers(Record& record, std::vector<std::string> run, std::vector<std::string> zones)
      : record_(record), run_(std::move(run)) {
    char name[] = "/tmp/cranklock-review-XXXXXX";
    folder_ = ::mkdtemp(name);
    for (std::size_t i = 0; i < zones.size(); ++i) {
      nodes_.push_back({"winch-" + std::to_string(i), zones[i], free_port(), free_port()});
    }
  }
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;
  ~Controllers() {
    for (auto& node : nodes_) kill(node);
    if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder_);
  }

  std::vector<Node>& nodes() { return nodes_; }
  std::map<std::string, int> ports() const {
    std::map<std::string, int> ports;
    for (const auto& node : nodes_) ports[node.name] = node.port;
    return ports;
  }

  void write_settings(const std::string& cloud, const std::string& state,
                      const std::string& facts) {
    for (const auto& node : nodes_) {
      std::ofstream out(folder_ + "/" + node.name + ".toml");
      out << "member = \"" << node.name << "\"\nzone = \"" << node.zone
          << "\"\nlisten = \"127.0.0.1:" << node.port
          << "\"\npeer_listen = \"127.0.0.1:" << node.peer_port << "\"\n";
      for (const auto& other : nodes_) {
        if (other.name == node.name) continue;
        out << "[[others]]\nmember = \"" << other.name << "\"\nzone = \"" << other.zone
            << "\"\naddress = \"127.0.0.1:" << other.peer_port << "\"\n";
      }
      out << "[external]\ncloud = \"" << cloud << "\"\nstate = \"" << state << "\"\n" << facts;
    }
  }

  void start(Node& node) {
    std::vector<std::string> words = run_;
    words.push_back(folder_ + "/" + node.name + ".toml");
    const std::string log = folder_ + "/" + node.name + ".log";
    const pid_t parent = ::getpid();
    node.pid = ::fork();
    if (node.pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 2);
      std::vector<char*> arguments;
      for (auto& word : words) arguments.push_back(word.data());
      arguments.push_back(nullptr);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
    record_.line(node.name + " started");
  }
  void start_all() {
    for (auto& node : nodes_) start(node);
  }
  void kill(Node& node) {
    if (node.pid <= 0) return;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
    node.pid = -1;
  }
  /// Whether the process still runs; records the end of one that ended by itself.
  bool alive(Node& node) {
    int status = 0;
    if (node.pid <= 0 || ::waitpid(node.pid, &status, WNOHANG) == 0) return node.pid > 0;
    record_.line(node.name + " ended by itself, status " + std::to_string(status));
    node.pid = -1;
    return false;
  }
  /// Waits until all nodes are ready and one of them leads.
  bool wait_until_ready(double timeout_s) {
    const double deadline = now() + timeout_s;
    while (now() < deadline) {
      bool ready = !leader().empty();
      for (const auto& node : nodes_) {
        Client client(node.port);
        if (client.call("GET", "/ready", "", 1).status != 200) ready = false;
      }
      if (ready) return true;
      sleep_s(0.1);
    }
    return false;
  }
  /// The node that has logged the newest term that it serves; empty: none.
  std::string leader() const {
    std::string leader;
    unsigned long newest = 0;
    for (const auto& node : nodes_) {
      std::ifstream in(folder_ + "/" + node.name + ".log");
      std::string line;
      while (std::getline(in, line)) {
        const auto at = line.find("fencing_token=");
        if (line.find("leadership serving") == std::string::npos || at == std::string::npos)
          continue;
        const auto token = std::strtoul(line.c_str() + at + 14, nullptr, 10);
        if (token < newest) continue;
        newest = token;
        leader = node.name;
      }
    }
    return leader;
  }
  Node& named(const std::string& name) {
    for (auto& node : nodes_) {
      if (node.name == name) return node;
    }
    return nodes_.front();
  }
  const std::string& folder() const { return folder_; }

 private:
  Record& record_;
  std::vector<std::string> run_;
  std::string folder_;
  std::vector<Node> nodes_;
};

/// Outcome of a test: the exit status of its script.
enum class Verdict { held = 0, broken = 1, could_not_run = 2 };

struct Arguments {
  bool trouble = true;
  std::string record_path;
  std::vector<std::string> run;
};

/// usage: PROGRAM RECORD WORD...   the words of the deploy file's command
inline Arguments read_arguments(int argc, char** argv) {
  Arguments arguments;
  const char* trouble = std::getenv("TROUBLE");
  arguments.trouble = trouble == nullptr || std::string(trouble) != "0";
  if (argc > 1) arguments.record_path = argv[1];
  for (int i = 2; i < argc; ++i) arguments.run.emplace_back(argv[i]);
  ::signal(SIGPIPE, SIG_IGN);
  return arguments;
}

}  // namespace review
