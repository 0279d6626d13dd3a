#include "lab/run.hpp"

#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <iostream>

#include "regions/records.hpp"

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {

base::Settings checked_settings(const LabPlan& plan) {
  base::Settings settings;
  settings.cancel_s = plan.cancel_s;
  settings.lease_s = plan.lease_s;
  for (int i = 0; i < plan.teams; ++i) {
    settings.teams.push_back(
        {"team-" + std::to_string(i), 0, 0, plan.guarantee_gpus, plan.limit_gpus});
  }
  return settings;
}

double percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

void write_percentiles(wire::JsonWriter& w, const char* name, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  w.key(name).begin().key("count").count(values.size());
  for (const auto& [key, share] :
       {std::pair("least", 0.0), {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"max", 1.0}}) {
    w.key(key).amount(percentile(values, share));
  }
  w.end();
}

std::string text_of(const wire::JobSpec& spec) {
  wire::JsonWriter w;
  wire::write_job(w, spec);
  return w.take();
}

}  // namespace

Run::Run(const LabPlan& plan, const std::string& program, const std::string& folder)
    : plan_(plan),
      settings_(checked_settings(plan)),
      rules_(settings_),
      client_(reactor_, std::size_t{1024} * 1024, 1024),
      random_(plan.seed),
      controllers_(plan, program, folder) {
  for (const auto& region : plan.regions) {
    const auto index = static_cast<int>(regions_.size());
    regions_.push_back(std::make_unique<Region>(reactor_, plan, region, index, *this,
                                                plan.seed + static_cast<unsigned>(index)));
  }
}

bool Run::play() {
  began_ = reactor_.now();
  for (const auto& region : regions_) {
    if (!region->start(scope_)) return false;
  }
  if (!controllers_.start(reactor_, regions_, scope_)) return false;
  for (const auto& plan : plan_.classes) scope_.spawn(submit_jobs(plan));
  for (const auto& fault : plan_.faults) scope_.spawn(play_fault(fault));
  fragments_ = make_fragments();
  if (fragments_ && !fragments_->start(scope_)) return false;
  scope_.spawn(watch_fleet());
  if (!fragments_) scope_.spawn(finish());
  reactor_.run();
  scope_.clear();
  if (fragments_) fragments_->stop();
  controllers_.end_all();
  usage_ = controllers_.usage();
  return played_;
}

Task<void> Run::finish() {
  Sleep pause(reactor_, plan_.settle_s + plan_.duration_s + plan_.drain_s);
  co_await pause;
  end();
}

void Run::end() {
  if (regions_.size() > 1) wrong_sums_ = count_wrong_sums();
  played_ = true;
  reactor_.stop();
}

std::unique_ptr<Fragments> Run::make_fragments() {
  if (!plan_.fragments) return nullptr;
  const Fragments::Host host{[this](const ClassPlan& plan) { return submit(plan, 0); },
                             [this] { end(); }};
  return std::make_unique<Fragments>(reactor_, plan_, *regions_[0], controllers_, host, plan_.seed);
}

// ---- users ----

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
  const auto question = rules_.ask(method, path, body);
  const Region& asked = *regions_[static_cast<std::size_t>(region)];
  const int node = std::uniform_int_distribution<>(0, asked.plan().controllers - 1)(random_);
  net::Request request{std::move(method), std::move(path), "", std::move(body), true};
  auto calling = client_.call(asked.controller_address(node, 0), std::move(request), kTimeout);
  const auto reply = co_await calling;
  if (!reply.answered()) co_return 0;
  rules_.answered(question, reply.status(), reply.response.body, reactor_.now());
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
    auto asking = ask(region, "POST", "/v1/jobs", text_of(spec), &state);
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

// ---- what the fleet does ----

bool Run::lease_over(const testing::WorkerStandIn& worker) const {
  return worker.lease_over(plan_.lease_s, reactor_.now());
}

double Run::run_s(const wire::TaskName& task) const {
  const auto& plan = *jobs_.at(task.job).plan;
  constexpr double kForEver = 1e9;
  return plan.spec.kind == wire::JobKind::service ? kForEver : plan.spec.estimate_s;
}

bool Run::starts(const testing::WorkerStandIn& worker, const wire::TaskName& task) {
  Job& job = jobs_.at(task.job);
  std::vector<testing::Seen> others;
  for (const auto* machine : job.machines) {
    if (lease_over(*machine)) continue;
    for (const auto& [name, held] : machine->tasks) {
      const auto other = *wire::parse_task(name);
      const bool there = held.state != wire::TaskState::exited &&
                         held.state != wire::TaskState::fetching && other.job == task.job;
      if (there) others.push_back({other.job, machine->id, other.index, machine->kind, true});
    }
  }
  rules_.starts({task.job, worker.id, task.index, worker.kind, true}, others, reactor_.now());
  job.machines.insert(&worker);
  Counts& counts = counts_[job.plan->spec.job_class];
  ++counts.task_starts;
  counts.start_s.push_back(now() - job.submitted_at);
  ++starts_by_second_[static_cast<int>(now())];
  if (job.plan->spec.kind != wire::JobKind::gang) return true;
  const auto attempt = worker.tasks.at(wire::to_string(task)).attempt;
  job.gathered[attempt].insert(task.index);
  return false;
}

bool Run::gang_complete(const wire::TaskName& task, std::uint64_t attempt) const {
  const Job& job = jobs_.at(task.job);
  const auto gathered = job.gathered.find(attempt);
  return gathered != job.gathered.end() && gathered->second.size() == job.plan->spec.tasks;
}

void Run::look() {
  std::vector<testing::Seen> held;
  for (const auto& region : regions_) {
    region->each_worker([&](const testing::WorkerStandIn& worker) {
      if (lease_over(worker)) return;
      for (const auto& [name, task] : worker.tasks) {
        if (task.state == wire::TaskState::exited) continue;
        const auto which = *wire::parse_task(name);
        held.push_back({which.job, worker.id, which.index, worker.kind,
                        task.state != wire::TaskState::fetching});
      }
    });
  }
  running_ = held.size();
  max_running_ = std::max(max_running_, running_);
  rules_.look(held, reactor_.now());
}

Task<void> Run::watch_fleet() {
  for (;;) {
    look();
    if (::isatty(STDERR_FILENO) != 0) show_progress();
    Sleep pause(reactor_, 1);
    co_await pause;
  }
}

void Run::show_progress() const {
  const auto second = starts_by_second_.find(static_cast<int>(now()) - 1);
  std::cerr << "\r" << static_cast<int>(now()) << " s of "
            << static_cast<int>(plan_.settle_s + plan_.duration_s + plan_.drain_s) << ": "
            << running_ << " tasks, " << (second == starts_by_second_.end() ? 0 : second->second)
            << " starts a second, " << jobs_.size() << " jobs, " << rules_.broken.size()
            << " rules broken   " << std::flush;
}

// ---- faults: add further kinds here and in FaultPlan ----

Task<void> Run::play_fault(const FaultPlan& fault) {
  Sleep until(reactor_, plan_.settle_s + fault.at_s);
  co_await until;
  const auto set = [&](bool on) {
    switch (fault.kind) {
      case FaultPlan::Kind::region_apart:
        return controllers_.set_apart(fault.region, on);
      case FaultPlan::Kind::controller_crash:
        return on ? controllers_.crash(fault.region) : controllers_.restart(fault.region);
      case FaultPlan::Kind::state_down:
        for (const auto& region : regions_) {
          if (region->plan().name == fault.region) region->set_state_down(on);
        }
    }
  };
  set(true);
  if (fault.kind == FaultPlan::Kind::controller_crash) scope_.spawn(time_takeover(fault.region));
  Sleep during(reactor_, fault.for_s);
  co_await during;
  set(false);
  ++faults_played_;
}

Task<void> Run::time_takeover(std::string region) {
  constexpr double kPoll = 0.02;
  const double crashed = now();
  const auto before = controllers_.serving_fencing_token(region);
  while (controllers_.serving_fencing_token(region) == before) {
    Sleep pause(reactor_, kPoll);
    co_await pause;
  }
  takeover_s_.push_back(now() - crashed);
}

// ---- shares ----

regions::Amounts Run::under_way_to(const std::string& region, const std::string& team) {
  regions::Amounts sum;
  const auto to = std::find_if(regions_.begin(), regions_.end(), [&](const auto& candidate) {
    return candidate->plan().name == region;
  });
  for (const auto& from : regions_) {
    const auto& received = (*to)->state().values;
    const auto counter = received.find(regions::received_key(from->plan().name));
    const auto through =
        counter == received.end() ? 0 : regions::read_counter(counter->second.data).value_or(0);
    const auto& sent = from->state().values;
    const std::string prefix = regions::kOutPrefix + region + "/";
    for (auto it = sent.lower_bound(prefix); it != sent.end(); ++it) {
      if (!it->first.starts_with(prefix)) break;
      const auto transfer = regions::read_transfer(it->second.data);
      if (transfer && transfer->team == team && transfer->sequence > through) {
        sum += transfer->amounts;
      }
    }
  }
  return sum;
}

int Run::count_wrong_sums() {
  int wrong = 0;
  for (const auto& team : settings_.teams) {
    regions::Amounts sum;
    for (const auto& region : regions_) {
      const auto& values = region->state().values;
      const auto stored = values.find(regions::share_key(team.name));
      const auto held = stored == values.end()
                            ? regions::Amounts{}
                            : regions::read_share(stored->second.data).value_or(regions::Amounts{});
      sum += held + under_way_to(region->plan().name, team.name);
      held_gpus_[region->plan().name].push_back(static_cast<double>(held[regions::Resource::gpus]) /
                                                regions::Amounts::kUnit);
    }
    wrong += sum == regions::whole_amounts(team) ? 0 : 1;
  }
  return wrong;
}

// ---- the report ----

std::string Run::fault() const {
  if (!played_) return "it was not played to its end";
  if (!rules_.broken.empty()) {
    const auto& [rule, how] = *rules_.broken.begin();
    return "the rule " + rule + " broke: " + how;
  }
  std::string fragments = fragments_ ? fragments_->fault() : "";
  if (!fragments.empty() || passed()) return fragments;
  return "a submission was not accepted, a controller ended, or shares don't add up";
}

bool Run::passed() const {
  if (fragments_ && !fragments_->fault().empty()) return false;
  const bool all_accepted = std::all_of(counts_.begin(), counts_.end(), [](const auto& entry) {
    return entry.second.accepted == entry.second.submitted;
  });
  const bool all_alive =
      std::all_of(usage_.begin(), usage_.end(), [](const auto& usage) { return usage.alive; });
  return played_ && wrong_sums_ == 0 && all_accepted && all_alive && rules_.broken.empty() &&
         faults_played_ == static_cast<int>(plan_.faults.size());
}

std::string Run::summary() const {
  int accepted = 0, starts = 0;
  std::vector<double> start_s;
  for (const auto& [name, counts] : counts_) {
    accepted += counts.accepted;
    starts += counts.task_starts;
    start_s.insert(start_s.end(), counts.start_s.begin(), counts.start_s.end());
  }
  std::sort(start_s.begin(), start_s.end());
  return (fragments_ ? fragments_->summary() + "; " : "") +
         fmt::format(
             "{} regions, {} controllers: {} jobs accepted, {} task starts (half within {:.1f} s, "
             "99% "
             "within {:.1f} s), {} faults played, {} rules broken",
             regions_.size(), usage_.size(), accepted, starts, percentile(start_s, 0.5),
             percentile(start_s, 0.99), faults_played_, rules_.broken.size());
}

std::string Run::report() const {
  wire::JsonWriter w;
  w.begin().key("kind").text("lab run with stand-ins on loopback").key("passed").flag(passed());
  w.key("played_s").amount(plan_.settle_s + plan_.duration_s + plan_.drain_s);
  w.key("teams").integer(plan_.teams).key("faults_played").integer(faults_played_);
  w.key("seed").count(plan_.seed);
  if (fragments_) fragments_->report(w);
  w.key("broken").begin();
  for (const auto& [rule, how] : rules_.broken) w.key(rule).text(how);
  w.end().key("classes").begin();
  for (const auto& [name, counts] : counts_) {
    w.key(name).begin().key("submitted").integer(counts.submitted);
    w.key("accepted").integer(counts.accepted).key("done").integer(counts.done);
    w.key("cancelled").integer(counts.cancelled).key("task_starts").integer(counts.task_starts);
    write_percentiles(w, "start_s", counts.start_s);
    w.end();
  }
  w.end();
  int most = 0, in_peak = 0;
  const double peak_from = plan_.settle_s + plan_.peak_from_s;
  for (const auto& [second, starts] : starts_by_second_) {
    most = std::max(most, starts);
    if (second >= peak_from && second < peak_from + plan_.peak_for_s) in_peak += starts;
  }
  w.key("starts_in_busiest_second").integer(most);
  w.key("starts_a_second_in_peak").amount(in_peak / std::max(plan_.peak_for_s, 1.0));
  w.key("most_tasks").count(max_running_);
  std::vector<double> seconds, requests;
  for (const auto& shortage : controllers_.shortages()) {
    seconds.push_back(shortage.seconds);
    requests.push_back(shortage.requests);
  }
  write_percentiles(w, "takeover_s", takeover_s_);
  write_percentiles(w, "shortage_s", seconds);
  write_percentiles(w, "shortage_requests", requests);
  w.key("teams_with_wrong_sums").integer(wrong_sums_);
  w.key("bytes_between_regions").count(controllers_.bytes_between_regions());
  w.key("regions").begin();
  for (const auto& region : regions_) {
    auto& state = region->state();
    w.key(region->plan().name).begin().key("workers").integer(region->workers());
    w.key("state_requests").count(state.requests).key("state_writes").count(state.writes);
    w.key("state_writes_refused").integer(state.refused_writes);
    w.key("state_keys").count(state.values.size());
    write_percentiles(w, "report_s", region->heartbeat_seconds());
    w.key("reports").count(region->heartbeat_seconds().size());
    w.key("reports_not_answered").integer(region->failed_heartbeats());
    w.key("leases_ended").integer(region->ended_leases());
    const auto held = held_gpus_.find(region->plan().name);
    if (held != held_gpus_.end()) write_percentiles(w, "share_gpus", held->second);
    w.end();
  }
  w.end().key("controllers").list();
  for (const auto& usage : usage_) {
    w.begin().key("member").text(usage.member).key("led").flag(usage.led);
    w.key("alive").flag(usage.alive).key("cpu_s").amount(usage.cpu_s);
    w.key("memory_mb").amount(usage.memory_mb).key("sockets").integer(usage.sockets).end();
  }
  w.list_end().end();
  return w.take();
}

}  // namespace cranklock::lab
