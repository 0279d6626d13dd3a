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

enum Listener { client_listener = 0, peer_listener = 1, region_listener = 2 };

std::string member_name(const std::string& region, int index) {
  return region + "-" + std::to_string(index);
}

/// The relay address at which region `from` reaches controller `index` of region `to`.
std::string relay_address(int from, int to, int index) {
  constexpr int kFirstPort = 25000, kPortsPerRegion = 400, kPortsPerTarget = 20;
  return "127.0.0.1:" +
         std::to_string(kFirstPort + from * kPortsPerRegion + to * kPortsPerTarget + index);
}

/// Peak resident memory of the process since its exec; 0 if it has exited.
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
    others +=
        fmt::format("[[others]]\nmember = \"{}\"\nzone = \"{}\"\naddress = \"{}\"\n",
                    member_name(own.name, i), zone(i), region.controller_address(i, peer_listener));
  }
  std::string zone_list = own.zones[0];
  for (std::size_t i = 1; i < own.zones.size(); ++i) zone_list += "\",\"" + own.zones[i];
  // A single region keeps its share of the limits for the whole run.
  const double share = regions > 1 ? 1 : own.initial_share;
  for (int i = 0; i < plan_.teams; ++i) {
    teams += fmt::format(
        "[[facts.teams]]\nname = \"team-{}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {}\n"
        "gpus_max = {}\n",
        i, plan_.guarantee_gpus * share, plan_.limit_gpus * share);
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
gang_wait_s = {}
gang_peer_s = {}
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
      member_name(own.name, index), zone(index), region.controller_address(index, client_listener),
      region.controller_address(index, peer_listener), others, region.cloud_address(),
      region.state_address(), own.controllers, zone_list, teams, plan_.heartbeat_interval_s,
      plan_.lease_s, plan_.gang_wait_s, plan_.gang_peer_s, plan_.cancel_s, plan_.state_write_rps,
      plan_.fd_limit, plan_.ram_mb);
}

void Controllers::write_operator_file(const std::vector<std::unique_ptr<Region>>& regions,
                                      int region, const std::string& member) const {
  const auto& own = regions[static_cast<std::size_t>(region)]->plan();
  std::string sections;
  for (int to = 0; to < static_cast<int>(regions.size()); ++to) {
    const Region& other = *regions[static_cast<std::size_t>(to)];
    sections +=
        fmt::format("<region name='{}' share='{}'>", other.plan().name, other.plan().initial_share);
    for (int i = 0; i < other.plan().controllers; ++i) {
      sections +=
          fmt::format("<controller member='{}' address='{}'/>", member_name(other.plan().name, i),
                      to == region ? other.controller_address(i, region_listener)
                                   : relay_address(region, to, i));
    }
    sections += "</region>";
  }
  if (regions.size() < 2) {
    sections.clear();
  } else {
    sections = fmt::format("<regions self='{}' founder='{}'>{}</regions>", own.name,
                           regions[0]->plan().name, sections);
  }
  if (plan_.fragments && plan_.fragments->moves) {
    sections +=
        fmt::format("<defrag moves='on' drain='http://{}/drains'/>", Chats::router_address());
  }
  // The scaler's lower limit keeps the fleet from shrinking below the plan's number of workers.
  std::ofstream(path(member, ".xml"))
      << fmt::format("<cranklock><scaler least_machines='{}' most_machines='{}'/>{}</cranklock>\n",
                     own.workers, 2 * own.workers, sections);
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
        auto relay = std::make_unique<Relay>(reactor, relay_address(from, to, i),
                                             other.controller_address(i, region_listener));
        if (!relay->start(scope)) return false;
        region_links_.push_back({own.plan().name, other.plan().name, std::move(relay)});
      }
    }
  }
  for (auto& controller : controllers_) launch(controller);
  return true;
}

void Controllers::launch(Controller& controller) const {
  const std::string config = path(controller.usage.member, ".toml");
  const std::string operator_file = path(controller.usage.member, ".xml");
  const std::string log = path(controller.usage.member, ".log");
  controller.pid = ::fork();
  if (controller.pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // controllers exit with the lab, also when it is interrupted
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(fd, STDERR_FILENO);
  ::execl(program_.c_str(), program_.c_str(), "--config", config.c_str(), "--operator",
          operator_file.c_str(), nullptr);
  ::_exit(127);
}

void Controllers::stop(Controller& controller, int signal) {
  if (controller.pid <= 0) return;
  Usage& usage = controller.usage;
  rusage used{};
  const std::string fd_folder = "/proc/" + std::to_string(controller.pid) + "/fd";
  // ru_maxrss from wait4 is not used: it includes the memory of the forked lab before exec.
  usage.memory_mb = std::max(usage.memory_mb, peak_memory_mb(controller.pid));
  usage.alive = ::wait4(controller.pid, nullptr, WNOHANG, &used) == 0;
  if (usage.alive) {
    usage.sockets = static_cast<int>(std::distance(std::filesystem::directory_iterator(fd_folder),
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

void Controllers::crash_leader(const std::string& region) {
  const auto leader_token = serving_fencing_token(region);
  for (auto& controller : controllers_) {
    if (controller.region == region && serving_fencing_token(controller) == leader_token) {
      return stop(controller, SIGKILL);
    }
  }
}

void Controllers::crash_all(const std::string& region) {
  for (auto& controller : controllers_) {
    if (controller.region == region) stop(controller, SIGKILL);
  }
}

void Controllers::restart_stopped(const std::string& region) {
  for (auto& controller : controllers_) {
    if (controller.region == region && controller.pid <= 0) launch(controller);
  }
}

void Controllers::set_partitioned(const std::string& region, bool partitioned) {
  for (const auto& link : region_links_) {
    if (link.from == region || link.to == region) link.relay->set_partitioned(partitioned);
  }
}

void Controllers::stop_all() {
  for (auto& controller : controllers_) stop(controller, SIGTERM);
}

// ---- logs and resource usage ----

std::string Controllers::read_log(const Controller& controller) const {
  std::ifstream in(path(controller.usage.member, ".log"));
  return {std::istreambuf_iterator<char>(in), {}};
}

std::uint64_t Controllers::serving_fencing_token(const Controller& controller) const {
  std::istringstream log(read_log(controller));
  std::uint64_t fencing_token = 0;
  for (std::string line; std::getline(log, line);) {
    const auto token = base::read_log_field(line, base::kLeadershipServing, "fencing_token");
    if (token) fencing_token = std::max<std::uint64_t>(fencing_token, std::stoull(*token));
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

std::vector<Controllers::QuotaShortage> Controllers::quota_shortages() const {
  std::vector<QuotaShortage> quota_shortages;
  for (const auto& controller : controllers_) {
    std::istringstream log(read_log(controller));
    for (std::string line; std::getline(log, line);) {
      const auto seconds = base::read_log_field(line, base::kQuotaShortageOver, "seconds");
      const auto requests = base::read_log_field(line, base::kQuotaShortageOver, "requests");
      if (seconds && requests)
        quota_shortages.push_back({std::stod(*seconds), std::stoi(*requests)});
    }
  }
  return quota_shortages;
}

Controllers::MoveCounts Controllers::move_counts(const std::string& region) const {
  MoveCounts moves;
  for (const auto& controller : controllers_) {
    if (controller.region != region) continue;
    std::istringstream log(read_log(controller));
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
  for (const auto& link : region_links_) bytes += link.relay->bytes();
  return bytes;
}

}  // namespace cranklock::lab
