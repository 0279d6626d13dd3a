// A gang of two tasks completes while one of its two machines cannot report. The machine is cut off
// for longer than its lease and comes back. The job has to become done, or at least to run again.
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

  // One small replica a machine, so that both machines stay rented.
  Submission replicas;
  replicas.id = job_id(1);
  replicas.gear = "bunya";
  replicas.shape = "standing";
  replicas.rank = "production";
  replicas.tasks = 2;
  replicas.cpus = 24;
  replicas.gpus = 3;
  replicas.memory_gb = 75;
  replicas.apart = true;
  replicas.expect_s = 0;
  Submission gang;
  gang.id = job_id(2);
  gang.gear = "cassowary";
  gang.shape = "ensemble";
  gang.rank = "high";
  gang.tasks = 2;
  gang.cpus = 60;
  gang.gpus = 5;
  gang.memory_gb = 200;
  gang.expect_s = 6;
  {
    const std::lock_guard lock(network.mutex);
    network.uploaded[replicas.id] = {replicas.id, replicas.shape, 2, 24, 3, 75, 0, 0.2};
    network.uploaded[gang.id] = {gang.id, gang.shape, 2, 60, 5, 200, gang.expect_s, 0.2};
  }
  if (user.submit(replicas) != 201 || user.submit(gang) != 201) return Verdict::could_not_run;

  const auto machines = cloud.workers();
  const auto both_run = [&] {
    return machines.size() == 2 && machines[0]->holds(gang.id, "running") &&
           machines[1]->holds(gang.id, "running");
  };
  const double start_by = now() + 15;
  while (!both_run()) {
    if (now() > start_by) return Verdict::could_not_run;
    sleep_s(0.05);
  }
  sleep_s(2);
  const auto& cut_off = machines[1];
  if (arguments.trouble) {
    record.line("TROUBLE: " + cut_off->place().id + " can open no connection to any controller");
    cut_off->set_mute(true);
    const double give_up = now() + 2 * facts.workers.lease_s;
    while (cut_off->shift() == 1 && now() < give_up) sleep_s(0.05);
    sleep_s(0.5);
    cut_off->set_mute(false);
    record.line("TROUBLE over: " + cut_off->place().id + " reports again");
  }
  const double over_at = now();
  double last_run_at = 0;
  while (now() < over_at + kWaitingS) {
    const Response response = user.poll(gang.id);
    if (response.status == 200 && response.body.find("\"Stance\":\"done\"") != std::string::npos) {
      record.line("HELD: the job is done");
      return Verdict::held;
    }
    if (both_run()) last_run_at = now();
    for (auto& each : controllers.nodes()) {
      if (!controllers.alive(each)) return Verdict::could_not_run;
    }
    sleep_s(std::min(5.0, over_at + kWaitingS - now()));
  }
  if (last_run_at > 0) {
    record.line("HELD: the job did not wait all the time");
    return Verdict::held;
  }
  for (const auto& machine : machines) {
    record.line(machine->place().id +
                (cloud.find(machine->place().id) ? " is rented" : " is gone") + ", it runs " +
                (machine->holds(replicas.id, "running") ? "one replica" : "nothing") +
                " and has room for a task of the gang");
  }
  record.line("BROKEN: the job waits for 90 s and nothing of it runs");
  return Verdict::broken;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  if (arguments.run.empty()) return 2;
  return static_cast<int>(run(arguments));
}
