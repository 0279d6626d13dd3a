// A large job waits where replicas stand: do small jobs still get the room beside them?
#include "../world-2.hpp"

using namespace world;

static int play(const std::vector<std::string>& command, bool trouble) {
  const double kBoundS = 90;
  Settings settings;
  settings.ready_s = 10;
  Deployment& deployment = *new Deployment(settings, 1);
  running = &deployment;
  deployment.start(command);
  if (!deployment.wait_ready(12)) return not_run;
  record("all controllers are ready; one machine of 96 CPUs and 8 GPUs reports, and the cloud has no other");
  const auto submit = [&](const Job& job, const char* what) {
    const Response answer = deployment.submit(job);
    record("submission of %s, %s: %d %s", job.id.c_str(), what, answer.status, answer.body.c_str());
    return answer.status == 201 || answer.status == 200;
  };
  Job replicas;
  replicas.id = job_id(500);
  replicas.kind = "standing", replicas.rank = "production", replicas.gear = "bunya", replicas.team = "tim-archebu-01";
  replicas.tasks = 3, replicas.cpus = 8, replicas.gpus = 1, replicas.memory_gb = 25;
  if (!submit(replicas, "three production replicas of 8 CPUs and 1 GPU")) return not_run;
  sleep_s(4);
  if (trouble) {
    Job large;
    large.id = job_id(1);
    large.kind = "ensemble", large.rank = "high", large.gear = "cassowary", large.team = "tim-archebu-02";
    large.cpus = 86, large.gpus = 8, large.memory_gb = 310;
    if (!submit(large, "a gang of one task of 86 CPUs and 8 GPUs")) return not_run;
  }
  sleep_s(settings.ready_s + 2);
  Job small;
  small.id = job_id(2);
  small.rank = "best_effort", small.gear = "mango";
  small.tasks = 2, small.cpus = 8, small.gpus = 1, small.memory_gb = 25, small.run_s = 20;
  if (!submit(small, "an array of two tasks of 8 CPUs and 1 GPU")) return not_run;
  const double since = now();
  int started = 0;
  while (now() < since + kBoundS + 1 && started < small.tasks) {
    sleep_s(std::min(5.0, since + kBoundS + 1 - now()));
    const Response poll = deployment.poll(small.id);
    {
      const std::lock_guard lock(deployment.jobs.mutex);
      started = deployment.jobs.started[small.id];
      record("poll of %s: %d %s; %d of its tasks started; replicas running: %d of 3", small.id.c_str(), poll.status,
             poll.body.c_str(), started, deployment.jobs.running[replicas.id]);
    }
    deployment.any_ended();
  }
  record("%s: waited %.1f s beside 5 free GPUs and 72 free CPUs, %d of %d tasks started", small.id.c_str(), now() - since,
         started, small.tasks);
  return started < small.tasks ? broken : held;
}

int main(int argc, char** argv) { return run_case(argc, argv, play); }
