// The users of a lab run: submit jobs at the plan's rate, poll them until they end, cancel some.
#include "lab/run.hpp"

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {

/// The request body of a job submission.
std::string to_json(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

}  // namespace

double Run::submission_rate_factor() const {
  const double submitting_for_s = elapsed_s() - plan_.settle_s;
  if (submitting_for_s < 0 || submitting_for_s > plan_.duration_s) return 0;
  const bool peak = submitting_for_s >= plan_.peak_from_s &&
                    submitting_for_s < plan_.peak_from_s + plan_.peak_for_s;
  return peak ? plan_.peak_factor : 1;
}

int Run::pick_region() {
  std::vector<double> weights;
  for (const auto& region : plan_.regions) weights.push_back(region.workers);
  return std::discrete_distribution<>(weights.begin(), weights.end())(random_);
}

wire::JobSpec Run::make_job(const ClassPlan& plan) {
  const auto team = std::uniform_int_distribution<>(0, plan_.teams - 1)(random_);
  wire::JobSpec spec = plan.spec;
  spec.id = "j-" + std::to_string(++last_job_number_);
  spec.team = "team-" + std::to_string(team);
  return spec;
}

std::string Run::submit(const ClassPlan& plan, int region) {
  auto spec = make_job(plan);
  std::string id = spec.id;
  Job& job = jobs_[id];
  job.plan = &plan;
  job.submitted_at = elapsed_s();
  ++counts_by_class_[plan.spec.job_class].submitted;
  scope_.spawn(follow_job(std::move(spec), plan, region));
  return id;
}

Task<void> Run::submit_jobs(const ClassPlan& plan) {
  constexpr double kTickS = 0.05;
  double initial_left = plan.initial, jobs_due = 0;
  Sleep settle(reactor_, plan_.settle_s);
  co_await settle;
  while (elapsed_s() < plan_.settle_s + plan_.duration_s) {
    const double initial_per_tick =
        plan_.ramp_s > 0 ? kTickS * plan.initial / plan_.ramp_s : plan.initial;
    const double initial_due = std::min(initial_left, initial_per_tick);
    initial_left -= initial_due;
    jobs_due += initial_due;
    constexpr double kDueThreshold = 1 - 1e-6;  // tolerates rounding errors in sums of fractions
    for (; jobs_due >= kDueThreshold; --jobs_due) {
      submit(plan, pick_region());
    }
    jobs_due += kTickS * plan.jobs_per_s * submission_rate_factor();
    Sleep pause(reactor_, kTickS);
    co_await pause;
  }
}

Task<int> Run::send_request(int region, std::string method, std::string path, std::string body,
                            std::string* state) {
  constexpr double kTimeoutS = 5;
  const auto tracked_request = rules_.on_request(method, path, body);
  const Region& target = *regions_[static_cast<std::size_t>(region)];
  const int controller_index =
      std::uniform_int_distribution<>(0, target.plan().controllers - 1)(random_);
  net::Request request{std::move(method), std::move(path), "", std::move(body), true};
  auto calling =
      client_.call(target.controller_address(controller_index, 0), std::move(request), kTimeoutS);
  const auto reply = co_await calling;
  if (!reply.answered()) co_return 0;
  rules_.on_response(tracked_request, reply.status(), reply.response.body, reactor_.now());
  const wire::JsonDocument document(reply.response.body);
  *state = wire::read_text(document.root(), "Stance").value_or("");
  co_return reply.status();
}

Task<void> Run::follow_job(wire::JobSpec spec, const ClassPlan& plan, int region) {
  Counts& counts = counts_by_class_[plan.spec.job_class];
  const std::string path = "/v1/jobs/" + spec.id;
  std::string state;
  const auto random_fraction = [this] { return std::uniform_real_distribution<>(0, 1)(random_); };
  const bool will_cancel = random_fraction() < plan.cancelled_share;
  const double cancel_at =
      elapsed_s() + random_fraction() * (plan_.settle_s + plan_.duration_s - elapsed_s());
  for (;;) {  // retries until the job is accepted or rejected as invalid
    auto requesting = send_request(region, "POST", "/v1/jobs", to_json(spec), &state);
    const int status = co_await requesting;
    if (status == 200 || status == 201) break;
    if (status == 400 || status == 422) co_return;
    Sleep pause(reactor_, 1);
    co_await pause;
  }
  ++counts.accepted;
  while (state != "done" && state != "withdrawn") {
    constexpr double kPollIntervalS = 5, kCancelRetryS = 1;
    const bool cancel = will_cancel && elapsed_s() >= cancel_at;
    auto requesting = send_request(region, cancel ? "POST" : "GET",
                                   cancel ? path + "/withdraw" : path, "", &state);
    co_await requesting;
    Sleep pause(reactor_, cancel ? kCancelRetryS : kPollIntervalS);
    co_await pause;
  }
  ++(state == "done" ? counts.done : counts.cancelled);
}

}  // namespace cranklock::lab
