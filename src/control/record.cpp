#include "control/record.hpp"

#include <cstdlib>

namespace cranklock::control {

using wire::Json;
using wire::JsonDocument;
using wire::JsonWriter;

std::string job_key(const std::string& id) {
  return kJobsPrefix + id;
}
std::string job_of_key(const std::string& key) {
  return key.substr(std::string_view(kJobsPrefix).size());
}
std::string outcome_key(const std::string& id) {
  return "ended/" + id;
}
std::string part_key(const std::string& id, int part) {
  return "parts/" + id + "/" + std::to_string(part);
}

namespace {

constexpr const char* kJobName = "job";                 ///< of what was submitted, in a record
constexpr const char* kDependentJobName = "dependent";  ///< the same for a job that needs others

bool read_lists(const Json& o, sched::Job& job) {
  const Json* done = wire::find(o, "d");
  const Json* placements = wire::find(o, "p");
  if (done != nullptr) {
    if (!done->IsArray()) return false;
    for (const auto& r : done->GetArray()) {
      if (!r.IsArray() || r.Size() != 2 || !r[0].IsUint() || !r[1].IsUint()) return false;
      job.done.add_range({r[0].GetUint(), r[1].GetUint()});
    }
  }
  if (placements == nullptr) return true;
  if (!placements->IsArray()) return false;
  for (const auto& p : placements->GetArray()) {
    if (!p.IsArray() || p.Size() != 3 || !p[0].IsUint() || !p[1].IsUint64() || !p[2].IsString()) {
      return false;
    }
    sched::Placement placement;
    placement.task = p[0].GetUint();
    placement.attempt = p[1].GetUint64();
    placement.machine = p[2].GetString();
    placement.durable = true;
    job.placements.push_back(std::move(placement));
  }
  return true;
}

}  // namespace

std::vector<std::string> write_record(const sched::Job& job, std::size_t max_bytes) {
  std::vector<std::string> done, placements;
  for (const auto& [from, to] : job.done.ranges()) {
    done.push_back("[" + std::to_string(from) + "," + std::to_string(to) + "]");
  }
  for (const auto& p : job.placements) {
    if (p.ended || p.abandoned) continue;
    placements.push_back("[" + std::to_string(p.task) + "," + std::to_string(p.attempt) + ",\"" +
                         p.machine + "\"]");
  }
  JsonWriter head;
  head.begin().key(job.spec.dependencies.empty() ? kJobName : kDependentJobName);
  wire::write_job(head, job.spec);
  head.key("at").integer(job.created_ms).key("w").integer(job.cancelled_at_ms);
  // A write succeeds once for each revision that it is conditional on.
  head.key("n").count(job.last_attempt).key("g").count(job.revision).end();
  std::string main = head.take();
  main.pop_back();  // its closing brace, put back below

  constexpr std::size_t kFrame = 64;  // brackets, names, the count of parts, a cancellation's time
  std::size_t next_done = 0, next_place = 0;
  const auto fill = [&](std::string text, bool first) {
    const auto add = [&](const char* name, const std::vector<std::string>& from,
                         std::size_t& next) {
      if (!first) text += ",";
      first = false;
      text.append("\"").append(name).append("\":[");
      bool begun = false;
      while (next < from.size() && text.size() + from[next].size() + kFrame < max_bytes) {
        if (begun) text += ",";
        begun = true;
        text += from[next++];
      }
      text += "]";
    };
    add("d", done, next_done);
    add("p", placements, next_place);
    return text;
  };
  std::vector<std::string> out;
  out.push_back(fill(std::move(main), false));
  while (next_done < done.size() || next_place < placements.size()) {
    out.push_back(fill("{\"g\":" + std::to_string(job.revision), false) + "}");
  }
  out.front() += ",\"parts\":" + std::to_string(out.size() - 1) + "}";
  return out;
}

std::optional<sched::Job> read_record(const std::string& text, int& parts) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const Json& o = document.root();
  const Json* spec = wire::find(o, kJobName);
  if (spec == nullptr) spec = wire::find(o, kDependentJobName);
  const auto at = wire::read_amount(o, "at"), cancelled = wire::read_amount(o, "w");
  const auto attempt = wire::read_count(o, "n"), count = wire::read_count(o, "parts");
  if (spec == nullptr || !at || !cancelled || !attempt || !count || *count > 64) {
    return std::nullopt;
  }
  auto parsed = wire::parse_job(*spec);
  if (!std::holds_alternative<wire::JobSpec>(parsed)) return std::nullopt;
  sched::Job job;
  job.spec = std::move(std::get<wire::JobSpec>(parsed));
  job.created_ms = static_cast<std::int64_t>(*at);
  job.cancelled_at_ms = static_cast<std::int64_t>(*cancelled);
  job.last_attempt = *attempt;
  job.generation = wire::read_count(o, "g").value_or(0);
  job.stored_parts = parts = static_cast<int>(*count);
  if (!read_lists(o, job)) return std::nullopt;
  return job;
}

bool read_part(const std::string& text, bool same_revision, sched::Job& job) {
  const JsonDocument document(text);
  if (!document.is_object()) return false;
  // A cancellation changes the main value alone, and with it that one's revision.
  const auto generation = wire::read_count(document.root(), "g").value_or(0);
  const bool same = generation != 0 ? generation == job.generation : same_revision;
  return same && read_lists(document.root(), job);
}

std::int64_t read_cancelled_at_ms(const std::string& text) {
  // By its text, as it is looked for in every change; quotes inside of strings are escaped.
  constexpr std::string_view kName = "\"w\":";
  const auto at = text.rfind(kName);
  if (at == std::string::npos) return 0;
  return std::strtoll(text.c_str() + at + kName.size(), nullptr, 10);
}

std::string write_outcome(const JobOutcome& outcome) {
  JsonWriter w;
  w.begin().key("s").text(outcome.state == wire::JobState::done ? "done" : "withdrawn");
  w.key("n").count(outcome.tasks);
  if (outcome.ended_ms != 0) w.key("t").integer(outcome.ended_ms);
  w.end();
  return w.take();
}

std::optional<JobOutcome> read_outcome(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const auto state = wire::read_text(document.root(), "s");
  const auto tasks = wire::read_count(document.root(), "n");
  if (!state || !tasks || (*state != "done" && *state != "withdrawn")) return std::nullopt;
  return JobOutcome{*state == "done" ? wire::JobState::done : wire::JobState::cancelled,
                    static_cast<std::uint32_t>(*tasks),
                    static_cast<std::int64_t>(wire::read_amount(document.root(), "t").value_or(0))};
}

std::string write_leader(const LeaderRecord& leader) {
  JsonWriter w;
  w.begin().key("node").text(leader.name).key("nonce").text(leader.nonce).end();
  return w.take();
}

std::optional<LeaderRecord> read_leader(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const auto name = wire::read_text(document.root(), "node");
  const auto nonce = wire::read_text(document.root(), "nonce");
  if (!name || !nonce) return std::nullopt;
  return LeaderRecord{*name, *nonce};
}

}  // namespace cranklock::control
