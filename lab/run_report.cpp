// Evaluation and report of a lab run. The field names of the report are a stable interface for
// tools that read it.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "lab/run.hpp"

namespace cranklock::lab {
namespace {

double percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

void write_percentiles(wire::JsonWriter& writer, const char* name, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  writer.key(name).begin_object().key("count").count(values.size());
  for (const auto& [key, share] :
       {std::pair("least", 0.0), {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"max", 1.0}}) {
    writer.key(key).amount(percentile(values, share));
  }
  writer.end_object();
}

}  // namespace

// ---- evaluation ----

std::string Run::failure_reason() const {
  if (!finished_) return "it was not played to its end";
  if (!rules_.violations.empty()) {
    const auto& [rule, detail] = *rules_.violations.begin();
    return "the rule " + rule + " broke: " + detail;
  }
  std::string fragments = fragmentation_ ? fragmentation_->failure_reason() : "";
  if (!fragments.empty() || passed()) return fragments;
  if (!is_memory_within_limit()) return "a controller held more memory than ram_mb";
  return "a submission was not accepted, a controller ended, or shares don't add up";
}

bool Run::is_memory_within_limit() const {
  return std::all_of(controller_usage_.begin(), controller_usage_.end(),
                     [this](const auto& usage) { return usage.memory_mb <= plan_.ram_mb; });
}

bool Run::passed() const {
  if (fragmentation_ && !fragmentation_->failure_reason().empty()) return false;
  const bool all_accepted = std::all_of(
      counts_by_class_.begin(), counts_by_class_.end(),
      [](const auto& entry) { return entry.second.accepted == entry.second.submitted; });
  const bool all_alive = std::all_of(controller_usage_.begin(), controller_usage_.end(),
                                     [](const auto& usage) { return usage.alive; });
  return finished_ && quota_audit_.teams_with_wrong_sums == 0 && all_accepted && all_alive &&
         is_memory_within_limit() && rules_.violations.empty() &&
         faults_injected_ == static_cast<int>(plan_.faults.size());
}

std::string Run::summary() const {
  int accepted = 0, starts = 0;
  std::vector<double> start_delays_s;
  for (const auto& [name, counts] : counts_by_class_) {
    accepted += counts.accepted;
    starts += counts.task_starts;
    start_delays_s.insert(start_delays_s.end(), counts.start_delays_s.begin(),
                          counts.start_delays_s.end());
  }
  std::sort(start_delays_s.begin(), start_delays_s.end());
  return (fragmentation_ ? fragmentation_->summary() + "; " : "") +
         fmt::format(
             "{} regions, {} controllers: {} jobs accepted, {} task starts (half within {:.1f} s, "
             "99% within {:.1f} s), {} faults played, {} rules broken",
             regions_.size(), controller_usage_.size(), accepted, starts,
             percentile(start_delays_s, 0.5), percentile(start_delays_s, 0.99), faults_injected_,
             rules_.violations.size());
}

// ---- the report ----

std::string Run::report() const {
  wire::JsonWriter writer;
  writer.begin_object();
  writer.key("kind").text("lab run with stand-ins on loopback").key("passed").flag(passed());
  writer.key("played_s").amount(plan_.settle_s + plan_.duration_s + plan_.drain_s);
  writer.key("teams").integer(plan_.teams).key("faults_played").integer(faults_injected_);
  writer.key("seed").count(plan_.seed);
  if (fragmentation_) fragmentation_->report(writer);
  writer.key("broken").begin_object();
  for (const auto& [rule, detail] : rules_.violations) writer.key(rule).text(detail);
  writer.end_object();
  write_classes(writer);
  write_starts(writer);
  write_regions(writer);
  write_controllers(writer);
  writer.end_object();
  return writer.take();
}

void Run::write_classes(wire::JsonWriter& writer) const {
  writer.key("classes").begin_object();
  for (const auto& [name, counts] : counts_by_class_) {
    writer.key(name).begin_object().key("submitted").integer(counts.submitted);
    writer.key("accepted").integer(counts.accepted).key("done").integer(counts.done);
    writer.key("cancelled").integer(counts.cancelled);
    writer.key("task_starts").integer(counts.task_starts);
    write_percentiles(writer, "start_s", counts.start_delays_s);
    writer.end_object();
  }
  writer.end_object();
}

void Run::write_starts(wire::JsonWriter& writer) const {
  int busiest = 0, starts_in_peak = 0;
  const double peak_start_s = plan_.settle_s + plan_.peak_from_s;
  for (const auto& [second, starts] : task_starts_by_second_) {
    busiest = std::max(busiest, starts);
    if (second >= peak_start_s && second < peak_start_s + plan_.peak_for_s)
      starts_in_peak += starts;
  }
  writer.key("starts_in_busiest_second").integer(busiest);
  writer.key("starts_a_second_in_peak").amount(starts_in_peak / std::max(plan_.peak_for_s, 1.0));
  writer.key("most_tasks").count(max_held_tasks_);
}

void Run::write_regions(wire::JsonWriter& writer) const {
  std::vector<double> seconds, requests;
  for (const auto& shortage : controllers_.quota_shortages()) {
    seconds.push_back(shortage.seconds);
    requests.push_back(shortage.requests);
  }
  write_percentiles(writer, "takeover_s", takeover_s_);
  write_percentiles(writer, "shortage_s", seconds);
  write_percentiles(writer, "shortage_requests", requests);
  writer.key("teams_with_wrong_sums").integer(quota_audit_.teams_with_wrong_sums);
  writer.key("bytes_between_regions").count(controllers_.bytes_between_regions());
  writer.key("regions").begin_object();
  for (const auto& region : regions_) {
    const auto& state = region->state();
    writer.key(region->plan().name).begin_object().key("workers").integer(region->workers());
    writer.key("state_requests").count(state.requests).key("state_writes").count(state.writes);
    writer.key("state_writes_refused").integer(state.refused_writes);
    writer.key("state_keys").count(state.values.size());
    write_percentiles(writer, "report_s", region->heartbeat_latencies_s());
    writer.key("reports").count(region->heartbeat_latencies_s().size());
    writer.key("reports_not_answered").integer(region->failed_heartbeats());
    writer.key("leases_ended").integer(region->expired_leases());
    const auto held = quota_audit_.held_gpus.find(region->plan().name);
    if (held != quota_audit_.held_gpus.end()) write_percentiles(writer, "share_gpus", held->second);
    writer.end_object();
  }
  writer.end_object();
}

void Run::write_controllers(wire::JsonWriter& writer) const {
  writer.key("controllers").begin_array();
  for (const auto& usage : controller_usage_) {
    writer.begin_object().key("member").text(usage.member).key("led").flag(usage.led);
    writer.key("alive").flag(usage.alive).key("cpu_s").amount(usage.cpu_s);
    writer.key("memory_mb")
        .amount(usage.memory_mb)
        .key("sockets")
        .integer(usage.sockets)
        .end_object();
  }
  writer.end_array();
}

}  // namespace cranklock::lab
