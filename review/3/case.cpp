// The state service lowers its limits, as the settings announce. A user cancels a job whose
// description nearly fills a value under the new limits; another user repeats the submission of a
// job that was accepted long ago.
#include "../common/controllers.hpp"
#include "../common/fleet.hpp"
#include "../common/state_service.hpp"
#include "../common/users.hpp"

using namespace review;

namespace {

constexpr int kStages = 150;

Verdict run(const Arguments& arguments) {
  Record record(arguments.record_path);
  record.line(std::string("TROUBLE=") + (arguments.trouble ? "1" : "0"));
  Facts facts;
  facts.zones = {"caerdydd"};
  facts.workers = {5, 29, 45, 4, 49};
  facts.state = {100, 30, 8, 12};
  const StateService::Limits next{100, 21, 2, 4};
  facts.state_next = "[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 21.0\n";
  facts.gpus = 70;
  facts.gpus_max = 700;
  facts.cloud_rps = 5;
  Network network;
  StateService state(record, facts.state);
  Cloud cloud(record, {{"derwen", 96, 8, 768, 27.84, 10.28, 45, {"caerdydd"}}});
  Controllers controllers(record, arguments.run, {"caerdydd", "caerdydd", "caerdydd"});
  controllers.write_settings(cloud.address(), state.address(), facts.text());
  controllers.start_all();
  for (int i = 0; i < 2; ++i) {
    cloud.add(std::make_shared<Worker>(
        record, network, facts.workers,
        Worker::Place{"n-00000" + std::to_string(i + 1), "derwen", "caerdydd", 96, 8, 768},
        controllers.ports(), i));
  }
  if (!controllers.wait_until_ready(15)) return Verdict::could_not_run;
  std::vector<std::unique_ptr<User>> users;
  for (const auto& node : controllers.nodes())
    users.push_back(std::make_unique<User>(record, node.name, node.port));

  std::vector<std::string> stages;
  for (int i = 1; i <= kStages; ++i) stages.push_back(job_id(i));
  std::vector<std::thread> threads;
  std::atomic<int> refused{0};
  for (std::size_t user = 0; user < users.size(); ++user) {
    threads.emplace_back([&, user] {
      for (std::size_t i = user; i < stages.size(); i += users.size()) {
        Submission stage;
        stage.id = stages[i];
        stage.rank = "best_effort";
        stage.expect_s = 300;
        {
          const std::lock_guard lock(network.mutex);
          network.uploaded[stage.id] = {stage.id, stage.shape, 1, 1, 0, 4, 300, 0.2};
        }
        const int status = users[user]->submit(stage);
        if (status != 201 && status != 200) ++refused;
      }
    });
  }
  for (auto& thread : threads) thread.join();
  if (refused > 0) return Verdict::could_not_run;

  const auto pipeline_end = [&](int number, std::size_t count) {
    Submission last;
    last.id = job_id(number);
    last.gear = "crynhoi";
    last.cast = "models/crynhoi/2026-12@sha256:" + std::string(64, '7');
    last.waits_on.assign(stages.begin(), stages.begin() + static_cast<long>(count));
    return last;
  };
  const auto accept = [&](const Submission& submission) {
    const int status = users[0]->submit(submission);
    return status == 200 || status == 201;
  };
  const auto repeated = pipeline_end(901, 90);
  if (!accept(repeated)) return Verdict::could_not_run;
  // Each further job that it waits on adds 11 bytes to what is stored.
  const std::size_t bytes = state.value_bytes("jobs/" + repeated.id);
  const std::size_t count = 90 + (2048 - bytes) / 11;
  const auto cancelled = pipeline_end(902, count);
  if (count > stages.size() || !accept(cancelled)) return Verdict::could_not_run;
  record.line(cancelled.id + " waits on " + std::to_string(count) + " jobs, stored in " +
              std::to_string(state.value_bytes("jobs/" + cancelled.id)) + " bytes; " + repeated.id +
              " in " + std::to_string(bytes));
  if (users[0]->submit(repeated) != 200) return Verdict::could_not_run;

  if (arguments.trouble) {
    record.line("TROUBLE: the state service now has the limits of state.next");
    state.set_limits(next);
  }
  int withdrawn = 0;
  const double until = now() + 10;
  while ((withdrawn = users[0]->withdraw(cancelled.id)) != 200 && now() < until) sleep_s(1);
  record.line("the cancellation of " + cancelled.id + " was " +
              (withdrawn == 200 ? "confirmed" : "not confirmed within 10 s"));
  for (std::size_t i = 1; i < users.size(); ++i) users[i]->withdraw(cancelled.id);
  const int again = users[0]->submit(repeated);
  users[0]->poll(repeated.id);
  record.line("the repeated submission of " + repeated.id + " got " + std::to_string(again));
  const bool broken = again == 400 || again == 422;
  record.line(broken ? "BROKEN: a repeated submission of an accepted job got 400" : "HELD");
  return broken ? Verdict::broken : again == 200 ? Verdict::held : Verdict::could_not_run;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = read_arguments(argc, argv);
  if (arguments.run.empty()) return 2;
  return static_cast<int>(run(arguments));
}
