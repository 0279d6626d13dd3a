// A gang of many tasks: does it run once it was accepted?
#include "../world-2.hpp"

using namespace world;

static int play(const std::vector<std::string>& command, bool trouble) {
  const double kBoundS = 90;
  Deployment& deployment = *new Deployment(Settings{}, 15);
  running = &deployment;
  deployment.start(command);
  if (!deployment.wait_ready(20)) return not_run;
  record("all controllers are ready and all machines report");
  Job job;
  job.id = job_id(1);
  job.kind = "ensemble";
  job.tasks = trouble ? 1300 : 1000;
  job.cpus = 1, job.gpus = 0, job.memory_gb = 4, job.run_s = 20;
  const Response accepted = deployment.submit(job);
  record("submission of %s, a gang of %d tasks of 1 CPU: %d %s", job.id.c_str(), job.tasks, accepted.status,
         accepted.body.c_str());
  if (accepted.status == 422 || accepted.status == 400) return held;
  if (accepted.status != 201 && accepted.status != 200) return not_run;
  const double since = now();
  int started = 0;
  while (now() < since + kBoundS + 2 && started < job.tasks) {
    sleep_s(5);
    const Response poll = deployment.poll(job.id);
    {
      const std::lock_guard lock(deployment.jobs.mutex);
      started = deployment.jobs.started[job.id];
    }
    std::size_t up = 0;
    for (const auto& worker : deployment.cloud.workers) up += !worker->gone;
    record("poll of %s: %d %s; %d tasks have been started; %zu machines of 96 CPUs up", job.id.c_str(), poll.status,
           poll.body.c_str(), started, up);
    deployment.any_ended();
  }
  record("%s: waited %.1f s, %d of %d tasks started", job.id.c_str(), now() - since, started, job.tasks);
  return started < job.tasks ? broken : held;
}

int main(int argc, char** argv) { return run_case(argc, argv, play); }
