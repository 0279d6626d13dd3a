#include "lab/controllers.hpp"

#include <fcntl.h>
#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>

#include "base/event_log.hpp"
#include "lab/chats.hpp"

namespace cranklock::lab {
namespace {

enum Listener { users = 0, peers = 1, regions_listener = 2 };

std::string member_name(const std::string& region, int index) {
  return region + "-" + std::to_string(index);
}

/// Where controllers of region `from` reach controller `index` of region `to`.
std::string bridge_address(int from, int to, int index) {
  constexpr int kFirstPort = 25000, kPerRegion = 400, kPerTarget = 20;
  return "127.0.0.1:" + std::to_string(kFirstPort + from * kPerRegion + to * kPerTarget + index);
}

/// The most memory that a process has used since it was executed; 0: it is gone.
double peak_memory_mb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  constexpr std::string_view kField = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) return std::stod(line.substr(kField.size())) / 1024;
  }
  return 0;
}

}  // namespace

void Controllers::write_settings(const Region& region, int index, int regions) const {
  const RegionPlan& own = region.plan();
  const auto zone = [&](int i) {
    return own.zones[static_cast<std::size_t>(i) % own.zones.size()];
  };
  std::string others, teams;
  for (int i = 0; i < own.controllers; ++i) {
    if (i == index) continue;
    others += fmt::format("[[others]]\nmember = \"{}\"\nzone = \"{}\"\naddress = \"{}\"\n",
                          member_name(own.name, i), zone(i), region.controller_address(i, peers));
  }
  std::string joined = own.zones[0];
  for (std::size_t i = 1; i < own.zones.size(); ++i) joined += "\",\"" + own.zones[i];
  const double part = regions > 1 ? 1 : own.initial_share;  // alone, a region has its part for good
  for (int i = 0; i < plan_.teams; ++i) {
    teams += fmt::format(
        "[[facts.teams]]\nname = \"team-{}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {}\n"
        "gpus_max = {}\n",
        i, plan_.guarantee_gpus * part, plan_.limit_gpus * part);
  }
  std::ofstream(path(member_name(own.name, index), ".toml")) << fmt::format(
      R"(member = "{}"
zone = "{}"
listen = "{}"
peer_listen = "{}"
{}[external]
cloud = "{}"
state = "{}"
[facts]
nodes = {}
zones = ["{}"]
clock_error_ms = 5.0
{}[facts.workers]
report_s = {}
lease_s = {}
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = {}
[facts.state]
rps = 1000.0
write_rps = {}
value_kb = 8.0
txn_ops = 24
[facts.cloud]
rps = 12.0
list_lag_s = 1.0
[facts.resources]
fd_limit = {}
ram_mb = {}
)",
      member_name(own.name, index), zone(index), region.controller_address(index, users),
      region.controller_address(index, peers), others, region.cloud_address(),
      region.state_address(), own.controllers, joined, teams, plan_.heartbeat_interval_s,
      plan_.lease_s, plan_.cancel_s, plan_.state_write_rps, plan_.fd_limit, plan_.ram_mb);
}

void Controllers::write_operator_file(const std::vector<std::unique_ptr<Region>>& regions,
                                      int region, const std::string& member) const {
  const auto& own = regions[static_cast<std::size_t>(region)]->plan();
  std::string named;
  for (int to = 0; to < static_cast<int>(regions.size()); ++to) {
    const Region& other = *regions[static_cast<std::size_t>(to)];
    named +=
        fmt::format("<region name='{}' share='{}'>", other.plan().name, other.plan().initial_share);
    for (int i = 0; i < other.plan().controllers; ++i) {
      named +=
          fmt::format("<controller member='{}' address='{}'/>", member_name(other.plan().name, i),
                      to == region ? other.controller_address(i, regions_listener)
                                   : bridge_address(region, to, i));
    }
    named += "</region>";
  }
  if (regions.size() < 2) {
    named.clear();
  } else {
    named = fmt::format("<regions self='{}' founder='{}'>{}</regions>", own.name,
                        regions[0]->plan().name, named);
  }
  if (plan_.fragments && plan_.fragments->moves) {
    named += fmt::format("<defrag moves='on' drain='http://{}/drains'/>", Chats::router_address());
  }
  // The fleet is kept whole, so that a run has as many workers as its plan.
  std::ofstream(path(member, ".xml"))
      << fmt::format("<cranklock><scaler least_machines='{}' most_machines='{}'/>{}</cranklock>\n",
                     own.workers, 2 * own.workers, named);
}

bool Controllers::start(net::EvReactor& reactor,
                        const std::vector<std::unique_ptr<Region>>& regions, net::Scope& scope) {
  const int count = static_cast<int>(regions.size());
  for (int from = 0; from < count; ++from) {
    const Region& own = *regions[static_cast<std::size_t>(from)];
    for (int i = 0; i < own.plan().controllers; ++i) {
      write_settings(own, i, count);
      write_operator_file(regions, from, member_name(own.plan().name, i));
      controllers_.push_back({own.plan().name, {member_name(own.plan().name, i)}});
    }
    for (int to = 0; to < count; ++to) {
      const Region& other = *regions[static_cast<std::size_t>(to)];
      for (int i = 0; from != to && i < other.plan().controllers; ++i) {
        auto relay = std::make_unique<Relay>(reactor, bridge_address(from, to, i),
                                             other.controller_address(i, regions_listener));
        if (!relay->start(scope)) return false;
        bridges_.push_back({own.plan().name, other.plan().name, std::move(relay)});
      }
    }
  }
  for (auto& controller : controllers_) launch(controller);
  return true;
}

void Controllers::launch(Controller& controller) const {
  const std::string config = path(controller.usage.member, ".toml");
  const std::string operators = path(controller.usage.member, ".xml");
  const std::string log = path(controller.usage.member, ".log");
  controller.pid = ::fork();
  if (controller.pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives a run that is broken off
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(fd, STDERR_FILENO);
  ::execl(program_.c_str(), program_.c_str(), "--config", config.c_str(), "--operator",
          operators.c_str(), nullptr);
  ::_exit(127);
}

void Controllers::end(Controller& controller, int signal) {
  if (controller.pid <= 0) return;
  Usage& usage = controller.usage;
  rusage used{};
  const std::string descriptors = "/proc/" + std::to_string(controller.pid) + "/fd";
  // Not the maximum that wait4 tells: it counts this process before the other was executed.
  usage.memory_mb = std::max(usage.memory_mb, peak_memory_mb(controller.pid));
  usage.alive = ::wait4(controller.pid, nullptr, WNOHANG, &used) == 0;
  if (usage.alive) {
    usage.sockets = static_cast<int>(std::distance(std::filesystem::directory_iterator(descriptors),
                                                   std::filesystem::directory_iterator()));
    ::kill(controller.pid, signal);
    ::wait4(controller.pid, nullptr, 0, &used);
  }
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  usage.cpu_s += seconds(used.ru_utime) + seconds(used.ru_stime);
  controller.pid = -1;
}

void Controllers::crash(const std::string& region) {
  const auto leading = serving_fencing_token(region);
  for (auto& controller : controllers_) {
    if (controller.region == region && serving_fencing_token(controller) == leading) {
      return end(controller, SIGKILL);
    }
  }
}

void Controllers::restart(const std::string& region) {
  for (auto& controller : controllers_) {
    if (controller.region == region && controller.pid <= 0) launch(controller);
  }
}

void Controllers::set_apart(const std::string& region, bool apart) {
  for (const auto& bridge : bridges_) {
    if (bridge.from == region || bridge.to == region) bridge.relay->cut(apart);
  }
}

void Controllers::end_all() {
  for (auto& controller : controllers_) end(controller, SIGTERM);
}

// ---- what they did and used ----

std::string Controllers::log_of(const Controller& controller) const {
  std::ifstream in(path(controller.usage.member, ".log"));
  return {std::istreambuf_iterator<char>(in), {}};
}

std::uint64_t Controllers::serving_fencing_token(const Controller& controller) const {
  std::istringstream log(log_of(controller));
  std::uint64_t fencing_token = 0;
  for (std::string line; std::getline(log, line);) {
    const auto served = base::read_log_field(line, base::kLeadershipServing, "fencing_token");
    if (served) fencing_token = std::max<std::uint64_t>(fencing_token, std::stoull(*served));
  }
  return fencing_token;
}

std::uint64_t Controllers::serving_fencing_token(const std::string& region) const {
  std::uint64_t fencing_token = 0;
  for (const auto& controller : controllers_) {
    if (controller.region == region)
      fencing_token = std::max(fencing_token, serving_fencing_token(controller));
  }
  return fencing_token;
}

std::vector<Controllers::Usage> Controllers::usage() const {
  std::vector<Usage> out;
  for (const auto& controller : controllers_) {
    out.push_back(controller.usage);
    out.back().led = serving_fencing_token(controller) != 0;
  }
  return out;
}

std::vector<Controllers::Shortage> Controllers::shortages() const {
  std::vector<Shortage> shortages;
  for (const auto& controller : controllers_) {
    std::istringstream log(log_of(controller));
    for (std::string line; std::getline(log, line);) {
      const auto seconds = base::read_log_field(line, base::kQuotaShortageOver, "seconds");
      const auto requests = base::read_log_field(line, base::kQuotaShortageOver, "requests");
      if (seconds && requests) shortages.push_back({std::stod(*seconds), std::stoi(*requests)});
    }
  }
  return shortages;
}

Controllers::Moves Controllers::moves(const std::string& region) const {
  Moves moves;
  for (const auto& controller : controllers_) {
    if (controller.region != region) continue;
    std::istringstream log(log_of(controller));
    for (std::string line; std::getline(log, line);) {
      if (base::read_log_field(line, base::kPlanBegun, "plan")) ++moves.plans_begun;
      if (base::read_log_field(line, base::kMoveDone, "task")) ++moves.done;
      const auto undone = base::read_log_field(line, base::kPlanDropped, "moves_undone");
      if (undone) moves.dropped += std::stoi(*undone);
    }
  }
  return moves;
}

std::uint64_t Controllers::bytes_between_regions() const {
  std::uint64_t bytes = 0;
  for (const auto& bridge : bridges_) bytes += bridge.relay->bytes();
  return bytes;
}

}  // namespace cranklock::lab
