// The users of a lab run: they submit jobs at the rate of the plan, follow them, and cancel some.
#include "lab/run.hpp"

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {

/// The body of a submission.
std::string to_json(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

}  // namespace

double Run::rate_factor() const {
  const double at = now() - plan_.settle_s;
  if (at < 0 || at > plan_.duration_s) return 0;
  const bool peak = at >= plan_.peak_from_s && at < plan_.peak_from_s + plan_.peak_for_s;
  return peak ? plan_.peak_factor : 1;
}

int Run::pick_region() {
  std::vector<double> weights;
  for (const auto& region : plan_.regions) weights.push_back(region.workers);
  return std::discrete_distribution<>(weights.begin(), weights.end())(random_);
}

wire::JobSpec Run::next_job(const ClassPlan& plan) {
  const auto team = std::uniform_int_distribution<>(0, plan_.teams - 1)(random_);
  wire::JobSpec spec = plan.spec;
  spec.id = "j-" + std::to_string(++next_id_);
  spec.team = "team-" + std::to_string(team);
  return spec;
}

std::string Run::submit(const ClassPlan& plan, int region) {
  auto spec = next_job(plan);
  std::string id = spec.id;
  Job& job = jobs_[id];
  job.plan = &plan;
  job.submitted_at = now();
  ++counts_[plan.spec.job_class].submitted;
  scope_.spawn(use(std::move(spec), plan, region));
  return id;
}

Task<void> Run::submit_jobs(const ClassPlan& plan) {
  constexpr double kTick = 0.05;
  double initial_left = plan.initial, due = 0;
  Sleep settle(reactor_, plan_.settle_s);
  co_await settle;
  while (now() < plan_.settle_s + plan_.duration_s) {
    const double ramped = plan_.ramp_s > 0 ? kTick * plan.initial / plan_.ramp_s : plan.initial;
    const double first = std::min(initial_left, ramped);
    initial_left -= first;
    due += first;
    constexpr double kWhole = 1 - 1e-6;  // sums of parts
    for (; due >= kWhole; --due) {
      submit(plan, pick_region());
    }
    due += kTick * plan.jobs_per_s * rate_factor();
    Sleep pause(reactor_, kTick);
    co_await pause;
  }
}

Task<int> Run::ask(int region, std::string method, std::string path, std::string body,
                   std::string* state) {
  constexpr double kTimeout = 5;
  const auto question = rules_.on_request(method, path, body);
  const Region& asked = *regions_[static_cast<std::size_t>(region)];
  const int node = std::uniform_int_distribution<>(0, asked.plan().controllers - 1)(random_);
  net::Request request{std::move(method), std::move(path), "", std::move(body), true};
  auto calling = client_.call(asked.controller_address(node, 0), std::move(request), kTimeout);
  const auto reply = co_await calling;
  if (!reply.answered()) co_return 0;
  rules_.on_response(question, reply.status(), reply.response.body, reactor_.now());
  const wire::JsonDocument document(reply.response.body);
  *state = wire::read_text(document.root(), "Stance").value_or("");
  co_return reply.status();
}

Task<void> Run::use(wire::JobSpec spec, const ClassPlan& plan, int region) {
  Counts& counts = counts_[plan.spec.job_class];
  const std::string path = "/v1/jobs/" + spec.id;
  std::string state;
  const auto chance = [this] { return std::uniform_real_distribution<>(0, 1)(random_); };
  const bool cancels = chance() < plan.cancelled_share;
  const double cancel_at = now() + chance() * (plan_.settle_s + plan_.duration_s - now());
  for (;;) {  // until it is accepted
    auto asking = ask(region, "POST", "/v1/jobs", to_json(spec), &state);
    const int status = co_await asking;
    if (status == 200 || status == 201) break;
    if (status == 400 || status == 422) co_return;
    Sleep pause(reactor_, 1);
    co_await pause;
  }
  ++counts.accepted;
  while (state != "done" && state != "withdrawn") {
    constexpr double kPollEvery = 5, kRetryAfter = 1;
    const bool cancel = cancels && now() >= cancel_at;
    auto asking =
        ask(region, cancel ? "POST" : "GET", cancel ? path + "/withdraw" : path, "", &state);
    co_await asking;
    Sleep pause(reactor_, cancel ? kRetryAfter : kPollEvery);
    co_await pause;
  }
  ++(state == "done" ? counts.done : counts.cancelled);
}

}  // namespace cranklock::lab
