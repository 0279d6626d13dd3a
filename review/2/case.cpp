// A machine fails the tasks that it starts for a few seconds, while a replica that it started
// before runs on. No other machine has room and the cloud has none. Once the machine is well again,
// the jobs have to be started.
#include "../common/controllers.hpp"
#include "../common/fleet.hpp"
#include "../common/state_service.hpp"
#include "../common/users.hpp"

using namespace review;

namespace {

constexpr double kWaitingS =
    90;  // "no job is left waiting for 90 s while a machine that fits has room"

Verdict run(const Arguments& arguments) {
  Record record(arguments.record_path);
  record.line(std::string("TROUBLE=") + (arguments.trouble ? "1" : "0"));
  Facts facts;
  facts.zones = {"brisbane", "cairns", "townsville"};
  facts.state = {250, 30, 8, 24};
  Network network;
  StateService state(record, facts.state);
  Cloud cloud(record, {{"ironbark", 96, 8, 384, 30.14, 8.44, 30, {"brisbane", "cairns"}}});
  Controllers controllers(record, arguments.run, facts.zones);
  controllers.write_settings(cloud.address(), state.address(), facts.text());
  controllers.start_all();
  for (int i = 0; i < 2; ++i) {
    cloud.add(std::make_shared<Worker>(
        record, network, facts.workers,
        Worker::Place{"n-00000" + std::to_string(i + 1), "ironbark", facts.zones[i], 96, 8, 384},
        controllers.ports(), i));
  }
  if (!controllers.wait_until_ready(15)) return Verdict::could_not_run;
  auto& node = controllers.nodes()[0];
  User user(record, node.name, node.port);
  const auto submit = [&](Submission job, double run_s) {
    {
      const std::lock_guard lock(network.mutex);
      network.uploaded[job.id] = {job.id,   job.shape,     job.tasks, job.cpus,
                                  job.gpus, job.memory_gb, run_s,     0.2};
    }
    return user.submit(job) == 201;
  };
  const auto holder_of = [&](const std::string& id, double timeout_s) -> std::shared_ptr<Worker> {
    const double until = now() + timeout_s;
    while (now() < until) {
      for (const auto& machine : cloud.workers()) {
        if (machine->holds(id, "running")) return machine;
      }
      sleep_s(0.05);
    }
    return nullptr;
  };

  // One machine is full of replicas, the other one has a replica and room for five tasks.
  const double replica_gpus[] = {8, 3};
  std::vector<std::shared_ptr<Worker>> holders;
  for (int i = 0; i < 2; ++i) {
    Submission replica;
    replica.id = job_id(1 + i);
    replica.gear = "koala";
    replica.shape = "standing";
    replica.rank = "production";
    replica.cpus = replica_gpus[i] * 8;
    replica.gpus = replica_gpus[i];
    replica.memory_gb = replica_gpus[i] * 25;
    replica.expect_s = 0;
    if (!submit(replica, 0)) return Verdict::could_not_run;
    holders.push_back(holder_of(replica.id, 15));
    if (!holders.back()) return Verdict::could_not_run;
  }
  const auto& machine = holders[1];
  if (machine == holders[0]) return Verdict::could_not_run;

  std::vector<std::string> jobs;
  const auto submit_batch_job = [&] {
    Submission job;
    job.id = job_id(10 + static_cast<int>(jobs.size()));
    job.gear = "mango";
    job.cpus = 8;
    job.gpus = 1;
    job.memory_gb = 25;
    job.expect_s = 5;
    jobs.push_back(job.id);
    return submit(job, 5);
  };
  if (arguments.trouble) {
    record.line("TROUBLE: " + machine->place().id + " fails every task that it starts");
    machine->set_sick(true);
  }
  for (int i = 0; i < 2; ++i) {
    if (!submit_batch_job()) return Verdict::could_not_run;
  }
  sleep_s(8);
  if (arguments.trouble) {
    machine->set_sick(false);
    record.line("TROUBLE over: " + machine->place().id + " is well again");
  }
  Submission replica;
  replica.id = job_id(20);
  replica.gear = "koala";
  replica.crew = "team-01";
  replica.shape = "standing";
  replica.rank = "production";
  replica.cpus = 8;
  replica.gpus = 1;
  replica.memory_gb = 25;
  replica.expect_s = 0;
  jobs.push_back(replica.id);
  if (!submit(replica, 0)) return Verdict::could_not_run;
  const double over_at = now();
  std::set<std::string> waiting(jobs.begin(), jobs.end());
  while (!waiting.empty() && now() < over_at + kWaitingS) {
    const double round_at = now();
    for (const auto& id : jobs) {
      if (!waiting.contains(id)) continue;
      const Response response = user.poll(id);
      if (response.status == 200 && response.body.find("queued") == std::string::npos)
        waiting.erase(id);
    }
    for (auto& each : controllers.nodes()) {
      if (!controllers.alive(each)) return Verdict::could_not_run;
    }
    sleep_s(std::min(5.0, over_at + kWaitingS - now()) - (now() - round_at));
  }
  if (waiting.empty()) {
    record.line("HELD: no job was left waiting");
    return Verdict::held;
  }
  const bool rented = cloud.find(machine->place().id) != nullptr;
  record.line(machine->place().id + (rented ? " is rented" : " is gone") + " and holds " +
              (machine->holds(job_id(2), "running") ? "one replica of 3 GPUs of 8" : "nothing"));
  if (!rented) return Verdict::held;
  std::string ids;
  for (const auto& id : waiting) ids += " " + id;
  record.line("BROKEN: left waiting for 90 s, with room for them on a machine:" + ids);
  return Verdict::broken;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  if (arguments.run.empty()) return 2;
  return static_cast<int>(run(arguments));
}
