// A job that waits for many others: is it still answered for?
#include "../world-2.hpp"

using namespace world;

static int play(const std::vector<std::string>& command, bool trouble) {
  const int needed = trouble ? 64 : 3;
  const double kPollS = 5, kWindowS = 96, kBoundS = 75;
  Deployment& deployment = *new Deployment(Settings{}, 3);
  running = &deployment;
  deployment.start(command);
  if (!deployment.wait_ready(20)) return not_run;
  record("all controllers are ready and all machines report");
  Job last;
  last.id = job_id(1000);
  last.gear = "crynhoi";
  for (int i = 0; i < needed; ++i) {
    Job job;
    job.id = job_id(1 + i);
    job.gear = "glanhau";
    job.cpus = 1, job.gpus = 0, job.memory_gb = 4, job.run_s = 600;
    const Response answer = deployment.submit(job);
    if (answer.status != 201 && answer.status != 200) {
      record("submission of %s: %d", job.id.c_str(), answer.status);
      return not_run;
    }
    last.needs.push_back(job.id);
  }
  record("%d jobs accepted, one task each", needed);
  const Response accepted = deployment.submit(last);
  record("submission of %s, which waits for them: %d %s", last.id.c_str(), accepted.status, accepted.body.c_str());
  if (accepted.status != 201 && accepted.status != 200) return not_run;
  int asked = 0, answered = 0, others_asked = 0, others_answered = 0;
  double unanswered_since = now(), longest = 0;
  for (const double until = now() + kWindowS; now() < until && longest <= kBoundS; sleep_s(kPollS)) {
    const Response poll = deployment.poll(last.id);
    ++asked;
    if (poll.status == 200) {
      ++answered;
      unanswered_since = now();
    }
    longest = std::max(longest, now() - unanswered_since);
    record("poll of %s: %d %s", last.id.c_str(), poll.status, poll.body.c_str());
    for (int i = 0; i < 3; ++i) {
      const Response other = deployment.poll(job_id(1 + i));
      ++others_asked;
      others_answered += other.status == 200;
      if (other.status != 200) record("poll of %s: %d", job_id(1 + i).c_str(), other.status);
    }
    deployment.any_ended();
  }
  longest = std::max(longest, now() - unanswered_since);
  record("%s: %d of %d polls answered, longest time without an answer %.1f s; other jobs: %d of %d answered",
         last.id.c_str(), answered, asked, longest, others_answered, others_asked);
  return longest > kBoundS ? broken : held;
}

int main(int argc, char** argv) { return run_case(argc, argv, play); }
