// Six arrays of the largest size: do the controllers stay within the memory that the settings give them?
#include "../world-2.hpp"

using namespace world;

static double peak_mb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("VmHWM:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
  return 0;
}

static int play(const std::vector<std::string>& command, bool trouble) {
  static const double kRamMb = 40;    // facts.resources.ram_mb
  static const double kBackAfterS = 8;  // "back about 8 s after an end"
  const double kBoundS = 90;
  Deployment& deployment = *new Deployment(Settings{}, 3);
  running = &deployment;
  deployment.start(command);
  if (!deployment.wait_ready(20)) return not_run;
  record("all controllers are ready and all machines report");

  // The platform: ends a process that is past its memory limit, and starts it again.
  static std::atomic<int> ended_for_memory{0};
  static std::atomic<bool> over{false}, platform_ended{false};
  std::thread([&deployment] {
    std::vector<double> back_at(deployment.nodes.size(), 0);
    while (!over) {
      for (std::size_t i = 0; i < deployment.nodes.size(); ++i) {
        const pid_t pid = deployment.nodes[i].pid;
        if (pid > 0) {
          const double peak = peak_mb(pid);
          if (peak <= kRamMb) continue;
          record("controller %s has held %.1f MB of %.0f", deployment.nodes[i].name.c_str(), peak, kRamMb);
          deployment.kill_node(i);
          ++ended_for_memory;
          back_at[i] = now() + kBackAfterS;
        } else if (back_at[i] > 0 && now() > back_at[i]) {
          deployment.start_node(i);
          back_at[i] = 0;
        }
      }
      sleep_s(0.02);
    }
    platform_ended = true;
    for (;;) sleep_s(3600);  // the processes that it started end with it
  }).detach();

  Job replica;
  replica.id = job_id(500);
  replica.kind = "standing", replica.rank = "production", replica.gear = "gwalch", replica.team = "tim-archebu-01";
  replica.cpus = 67, replica.gpus = 8, replica.memory_gb = 400;
  Response answer = deployment.submit(replica);
  record("submission of %s, a production replica: %d", replica.id.c_str(), answer.status);
  sleep_s(8);
  const auto running_replicas = [&] {
    const std::lock_guard lock(deployment.jobs.mutex);
    return deployment.jobs.running[replica.id];
  };
  if (running_replicas() != 1) return not_run;
  for (int i = 0; i < 6; ++i) {
    Job job;
    job.id = job_id(1 + i);
    job.gear = "rhes-fawr";
    job.rank = "best_effort";
    job.tasks = trouble ? 100000 : 100;
    job.cpus = 64, job.gpus = 0, job.memory_gb = 50, job.run_s = 20;
    answer = deployment.submit(job);
    record("submission of %s, an array of %d tasks of 64 CPUs: %d %s", job.id.c_str(), job.tasks, answer.status,
           answer.body.c_str());
    if (answer.status == 422 || answer.status == 400) return held;
  }
  const double since = now();
  int without_replica = 0, samples = 0, unanswered = 0;
  while (now() < since + kBoundS) {
    sleep_s(5);
    const Response poll = deployment.poll(replica.id);
    ++samples;
    without_replica += running_replicas() == 0;
    unanswered += poll.status != 200;
    std::size_t sessions = 0;
    for (const auto& worker : deployment.cloud.workers) sessions += static_cast<std::size_t>(worker->sessions - 1);
    record("replica: %d running, poll %d %s; %d controllers ended for memory; %zu leases of workers have run out",
           running_replicas(), poll.status, poll.body.c_str(), ended_for_memory.load(), sessions);
  }
  over = true;
  while (!platform_ended) sleep_s(0.01);
  for (const auto& node : deployment.nodes)
    if (node.pid > 0) record("%s: peak %.1f MB", node.name.c_str(), peak_mb(node.pid));
  record("%d controllers ended for memory in %.0f s; the replica did not run at %d of %d looks, %d polls not answered",
         ended_for_memory.load(), now() - since, without_replica, samples, unanswered);
  return ended_for_memory >= 2 && without_replica > 0 ? broken : held;
}

int main(int argc, char** argv) { return run_case(argc, argv, play); }
