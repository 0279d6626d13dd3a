// Stand-ins for the cloud and the workers, as PROTOCOL describes them. Machines of one fleet share
// what users have uploaded and, for gangs, the network between their tasks.
#pragma once

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"
#include "record.hpp"
#include "state_service.hpp"

namespace review {

struct WorkerSettings {
  double report_s = 1, lease_s = 10, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 40;
};

struct MachineType {
  std::string label;
  double cpus = 0, gpus = 0, memory_gb = 0, price = 0, spot_price = 0, ready_s = 0;
  std::vector<std::string> zones;
};

/// A job as its user describes it.
struct Job {
  std::string id, shape = "batch";
  int tasks = 1;
  double cpus = 1, gpus = 0, memory_gb = 1;
  double run_s = 5;      ///< time that each task really runs; services run until they are stopped
  double fetch_s = 0.2;  ///< time to fetch its image
};

/// What machines know of each other: uploaded jobs, results, and the tasks of gangs.
class Network {
 public:
  std::mutex mutex;
  std::map<std::string, Job> uploaded;
  std::set<std::string> results;  ///< tasks that are done
  struct Gang {
    std::set<std::string> waiting, running;  ///< tasks
    double started_at = 0, broken_at = 0, done_at = 0;
  };
  std::map<std::string, Gang> gangs;  ///< by job and attempt
};

class Worker {
 public:
  struct Place {
    std::string id, type, zone;
    double cpus = 0, gpus = 0, memory_gb = 0;
  };

  /// `nodes`: addresses for workers and users, by controller name.
  Worker(Record& record, Network& network, WorkerSettings settings, Place place,
         std::map<std::string, int> nodes, unsigned seed)
      : record_(record),
        network_(network),
        settings_(settings),
        place_(std::move(place)),
        nodes_(std::move(nodes)),
        random_(seed),
        server_([this](const Request& request) { return handle(request); }) {
    for (const auto& [name, port] : nodes_) names_.push_back(name);
    node_ = seed % names_.size();
    last_answered_sent_ = now();
    runner_ = std::thread([this] { run(); });
    reporter_ = std::thread([this] { report_forever(); });
  }
  ~Worker() {
    stopping_ = true;
    runner_.join();
    reporter_.join();
  }
  const Place& place() const { return place_; }
  std::string address() const { return server_.address(); }
  /// While it is mute the worker can open no connection to any controller. Direct commands still
  /// reach it.
  void set_mute(bool mute) { mute_ = mute; }
  /// While it is sick the machine fails every task that it starts.
  void set_sick(bool sick) { sick_ = sick; }
  int shift() {
    const std::lock_guard lock(mutex_);
    return shift_;
  }
  /// Whether a task of this job is on the machine in this state.
  bool holds(const std::string& job, const std::string& state) {
    const std::lock_guard lock(mutex_);
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
      return entry.second.job.id == job && entry.second.state == state;
    });
  }

 private:
  struct Task {
    Job job;
    std::string name;  ///< j-000412/3
    std::uint64_t attempt = 0;
    std::string state = "fetching", cause;
    double since = 0;
    bool active() const { return state != "exited"; }
  };
  using Key = std::pair<std::string, std::uint64_t>;

  static std::string gang_key(const Task& task) {
    return task.job.id + "#" + std::to_string(task.attempt);
  }

  std::string report() {
    ++tick_;
    std::string teeth;
    for (const auto& [key, task] : tasks_) {
      teeth += std::string(teeth.empty() ? "" : ",") + "{\"Tooth\":\"" + task.name +
               "\",\"Crank\":" + std::to_string(task.attempt) + ",\"Stance\":\"" + task.state +
               "\"";
      if (!task.active()) teeth += ",\"Cause\":\"" + task.cause + "\"";
      teeth += "}";
    }
    return "{\"Rig\":\"" + place_.id + "\",\"Address\":\"" + server_.address() + "\",\"Frame\":\"" +
           place_.type + "\",\"Yard\":\"" + place_.zone +
           "\",\"Loaners\":false,\"Shift\":" + std::to_string(shift_) +
           ",\"Tick\":" + std::to_string(tick_) + ",\"KeyTurn\":" + std::to_string(key_turn_) +
           ",\"WarningS\":null,\"Teeth\":[" + teeth + "]}";
  }

  void exit_task(Task& task, const std::string& cause) {
    task.state = "exited";
    task.cause = cause;
    leave_gang(task);
    changed_ = true;
    record_.line(place_.id + ": " + task.name + " attempt " + std::to_string(task.attempt) +
                 " exited, " + cause);
  }
  void leave_gang(const Task& task) {
    if (task.job.shape != "ensemble") return;
    const std::lock_guard lock(network_.mutex);
    auto& gang = network_.gangs[gang_key(task)];
    gang.waiting.erase(task.name);
    if (gang.running.erase(task.name) > 0 && gang.done_at == 0 && gang.broken_at == 0)
      gang.broken_at = now();
  }

  void execute(const rapidjson::Value& orders) {
    for (const auto& order : orders.GetArray()) {
      const std::string verb = order["Verb"].GetString(), tooth = order["Tooth"].GetString();
      const std::uint64_t attempt = order["Crank"].GetUint64();
      const auto found = tasks_.find({tooth, attempt});
      if (verb == "start") {
        if (found == tasks_.end()) start(tooth, attempt);
      } else if (verb == "kill") {
        if (found != tasks_.end() && found->second.active()) exit_task(found->second, "halted");
      } else if (verb == "forget") {
        if (found != tasks_.end() && !found->second.active()) tasks_.erase(found);
      }
    }
  }

  void start(const std::string& tooth, std::uint64_t attempt) {
    Task task;
    task.name = tooth;
    task.attempt = attempt;
    task.since = now();
    changed_ = true;
    const std::string id = tooth.substr(0, tooth.find('/'));
    task.job.id = id;
    std::string refusal;
    {
      const std::lock_guard lock(network_.mutex);
      const auto found = network_.uploaded.find(id);
      if (found == network_.uploaded.end()) {
        refusal = "no_such";
      } else {
        task.job = found->second;
      }
    }
    double cpus = task.job.cpus, gpus = task.job.gpus, memory = task.job.memory_gb;
    for (const auto& [key, other] : tasks_) {
      if (!other.active()) continue;
      if (key.first == tooth) refusal = "busy";
      cpus += other.job.cpus;
      gpus += other.job.gpus;
      memory += other.job.memory_gb;
    }
    if (refusal.empty() && (cpus > place_.cpus + 1e-6 || gpus > place_.gpus + 1e-6 ||
                            memory > place_.memory_gb + 1e-6))
      refusal = "no_room";
    if (!refusal.empty()) {
      task.state = "exited";
      task.cause = refusal;
    }
    record_.line(place_.id + ": start " + tooth + " attempt " + std::to_string(attempt) +
                 (refusal.empty() ? "" : ", refused, " + refusal));
    tasks_[{tooth, attempt}] = task;
  }

  void advance(Task& task) {
    const double time = now();
    if (task.state == "fetching" && time >= task.since + task.job.fetch_s) {
      task.since = time;
      bool has_result = false;
      {
        const std::lock_guard lock(network_.mutex);
        has_result = network_.results.contains(task.name);
      }
      if (has_result) return exit_task(task, "done");
      if (sick_) return exit_task(task, "error");
      const bool gang = task.job.shape == "ensemble";
      task.state = gang ? "waiting" : "running";
      changed_ = true;
      record_.line(place_.id + ": " + task.name + " " + task.state);
      if (!gang) return;
      const std::lock_guard lock(network_.mutex);
      auto& entry = network_.gangs[gang_key(task)];
      entry.waiting.insert(task.name);
      if (static_cast<int>(entry.waiting.size()) == task.job.tasks) {
        entry.started_at = time;
        entry.running = entry.waiting;
      }
      return;
    }
    if (task.state == "waiting" || (task.state == "running" && task.job.shape == "ensemble")) {
      double started = 0, broken = 0, done = 0;
      {
        const std::lock_guard lock(network_.mutex);
        auto& gang = network_.gangs[gang_key(task)];
        if (gang.started_at > 0 && gang.broken_at == 0 && gang.done_at == 0 &&
            time >= gang.started_at + task.job.run_s) {
          gang.done_at = time;  // they complete together
          for (const auto& name : gang.running) network_.results.insert(name);
          record_.line("gang " + gang_key(task) + " is complete: all its tasks are done");
        }
        started = gang.started_at;
        broken = gang.broken_at;
        done = gang.done_at;
      }
      if (done > 0) return exit_task(task, "done");
      if (broken > 0 && time >= broken + settings_.gang_peer_s / 2) return exit_task(task, "peers");
      if (started == 0 && time >= task.since + settings_.gang_wait_s)
        return exit_task(task, "incomplete");
      if (started > 0 && task.state == "waiting") {
        task.state = "running";
        changed_ = true;
        record_.line(place_.id + ": " + task.name + " running");
      }
      return;
    }
    if (task.state == "running" && task.job.shape == "batch" &&
        time >= task.since + task.job.run_s) {
      {
        const std::lock_guard lock(network_.mutex);
        network_.results.insert(task.name);
      }
      exit_task(task, "done");
    }
  }

  void run() {
    while (!stopping_) {
      sleep_s(0.02);
      const std::lock_guard lock(mutex_);
      if (now() > last_answered_sent_ + settings_.lease_s) {
        for (const auto& [key, task] : tasks_) {
          if (task.active()) leave_gang(task);
        }
        record_.line(place_.id + ": lease expired, " + std::to_string(tasks_.size()) +
                     " tasks killed and forgotten, session " + std::to_string(shift_ + 1));
        tasks_.clear();
        ++shift_;
        last_answered_sent_ = now();
        changed_ = true;
      }
      for (auto& [key, task] : tasks_) advance(task);
    }
  }

  void report_forever() {
    std::map<std::string, std::unique_ptr<Client>> clients;
    for (const auto& [name, port] : nodes_) clients[name] = std::make_unique<Client>(port);
    while (!stopping_) {
      std::string body;
      int session = 0;
      {
        const std::lock_guard lock(mutex_);
        body = report();
        session = shift_;
        changed_ = false;
      }
      const double sent = now();
      const std::string node = names_[node_];
      const Response response =
          mute_ ? Response{0, ""} : clients[node]->call("POST", "/checkin", body, 4);
      double pause_s = settings_.report_s * std::uniform_real_distribution(0.75, 1.25)(random_);
      rapidjson::Document answer;
      answer.Parse(response.body.c_str());
      if (response.status == 200 && answer.IsObject() && answer.HasMember("KeyTurn")) {
        const std::lock_guard lock(mutex_);
        const std::uint64_t key_turn = answer["KeyTurn"].GetUint64();
        if (session == shift_ && key_turn >= key_turn_) {
          if (key_turn > key_turn_) changed_ = true;
          key_turn_ = key_turn;
          last_answered_sent_ = std::max(last_answered_sent_, sent);
          if (answer.HasMember("Orders")) execute(answer["Orders"]);
        }
      } else if (response.status == 421 && answer.IsObject() && answer.HasMember("Foreman") &&
                 nodes_.contains(answer["Foreman"].GetString()) &&
                 node != answer["Foreman"].GetString()) {
        const std::string foreman = answer["Foreman"].GetString();
        node_ = static_cast<std::size_t>(std::find(names_.begin(), names_.end(), foreman) -
                                         names_.begin());
        pause_s = 0.1;
      } else {
        node_ = (node_ + 1) % names_.size();
        pause_s = 1;
      }
      const double next = now() + pause_s;
      while (!stopping_ && now() < next) {
        sleep_s(0.02);
        if (changed_ && response.status == 200 && now() >= sent + 0.5) break;
      }
    }
  }

  Response handle(const Request& request) {
    const std::lock_guard lock(mutex_);
    if (request.path == "/status") return {200, report()};
    rapidjson::Document document;
    document.Parse(request.body.c_str());
    if (!document.IsObject() || !document.HasMember("KeyTurn") || !document.HasMember("Shift"))
      return {400, "{}"};
    const std::uint64_t key_turn = document["KeyTurn"].GetUint64();
    if (key_turn < key_turn_ || document["Shift"].GetInt() != shift_) return {409, report()};
    key_turn_ = key_turn;
    if (document.HasMember("Orders")) execute(document["Orders"]);
    return {200, report()};
  }

  Record& record_;
  Network& network_;
  WorkerSettings settings_;
  Place place_;
  std::map<std::string, int> nodes_;
  std::vector<std::string> names_;
  std::size_t node_ = 0;
  std::mt19937 random_;
  std::mutex mutex_;
  std::map<Key, Task> tasks_;
  int shift_ = 1;
  std::uint64_t tick_ = 0, key_turn_ = 0;
  double last_answered_sent_ = 0;
  std::atomic<bool> changed_{false}, mute_{false}, sick_{false}, stopping_{false};
  Server server_;
  std::thread runner_, reporter_;
};

/// The cloud: machines that are up from the start, and none to rent beyond them.
class Cloud {
 public:
  Cloud(Record& record, std::vector<MachineType> types)
      : record_(record),
        types_(std::move(types)),
        started_at_(now()),
        server_([this](const Request& request) { return handle(request); }) {}
  std::string address() const { return server_.address(); }
  void add(std::shared_ptr<Worker> worker) {
    const std::lock_guard lock(mutex_);
    const std::string id = worker->place().id;
    workers_[id] = std::move(worker);
  }
  std::shared_ptr<Worker> find(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second;
  }
  std::vector<std::shared_ptr<Worker>> workers() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<Worker>> all;
    for (const auto& [id, worker] : workers_) all.push_back(worker);
    return all;
  }
  void stop_all() {
    std::map<std::string, std::shared_ptr<Worker>> all;
    {
      const std::lock_guard lock(mutex_);
      all.swap(workers_);
    }
  }

 private:
  Response handle(const Request& request) {
    if (request.path == "/machine_types") return {200, type_list()};
    if (request.path == "/rentals/delete") return remove(request.body);
    if (request.path == "/rentals" && request.method == "POST")
      return {503, R"({"error":"no capacity"})"};
    if (request.path == "/rentals") return list();
    return {400, "{}"};
  }
  std::string type_list() const {
    std::string frames;
    for (const auto& type : types_) {
      std::string yards;
      for (const auto& zone : type.zones) yards += (yards.empty() ? "\"" : ",\"") + zone + "\"";
      frames += std::string(frames.empty() ? "" : ",") + "{\"Label\":\"" + type.label +
                "\",\"Cpus\":" + std::to_string(type.cpus) +
                ",\"Accelerators\":" + std::to_string(type.gpus) +
                ",\"MemGb\":" + std::to_string(type.memory_gb) +
                ",\"CacheGb\":400.0,\"PullGbPerS\":100.0,\"Price\":" + std::to_string(type.price) +
                ",\"SpotPrice\":" + std::to_string(type.spot_price) +
                ",\"ReadyS\":" + std::to_string(type.ready_s) + ",\"Yards\":[" + yards + "]}";
    }
    return "{\"Frames\":[" + frames + "]}";
  }
  Response list() {
    const std::lock_guard lock(mutex_);
    std::string rigs;
    for (const auto& [id, worker] : workers_) {
      rigs += std::string(rigs.empty() ? "" : ",") + "{\"Id\":\"" + id + "\",\"Address\":\"" +
              worker->address() + "\",\"Frame\":\"" + worker->place().type + "\",\"Yard\":\"" +
              worker->place().zone + "\",\"Loaners\":false,\"Stance\":\"running\",\"HeldS\":" +
              std::to_string(300 + now() - started_at_) + "}";
    }
    return {200, "{\"Rigs\":[" + rigs + "],\"HasNext\":false}"};
  }
  Response remove(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.c_str());
    std::vector<std::shared_ptr<Worker>> removed;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& rig : document["Rigs"].GetArray()) {
        const auto found = workers_.find(rig.GetString());
        if (found == workers_.end()) continue;
        removed.push_back(found->second);
        workers_.erase(found);
        record_.line(std::string("cloud: ") + rig.GetString() + " deleted");
      }
    }
    return {200, "{}"};
  }

  Record& record_;
  std::vector<MachineType> types_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Worker>> workers_;
  double started_at_;
  Server server_;
};

}  // namespace review
