#include "control/dependency_check.hpp"

#include <set>
#include <utility>

namespace cranklock::control {

using net::Task;

namespace {

/// Jobs read for one request. The results are cached, so a retry by the client checks further
/// dependencies.
constexpr int kMaxReads = 32;

}  // namespace

Task<DependencyCheck::Finding> DependencyCheck::check_one(std::string id, ReadBudget& budget) {
  if (const JobOutcome* outcome = lookup_.known_outcome(id)) {
    const bool done = outcome->state == wire::JobState::done;
    co_return Finding{done ? Verdict::not_cancelled : Verdict::cancelled, {}};
  }
  const double sent = reactor_.now();
  if (const LiveJob* live = live_jobs_.find(id);
      live != nullptr && sent < live->read_sent_at + max_cache_age_s_) {
    co_return Finding{Verdict::not_cancelled, live->dependencies};
  }
  if (--budget.reads_left < 0 || sent >= budget.deadline) {
    co_return Finding{Verdict::undetermined, {}};
  }
  auto finding = lookup_.find(id);
  const auto found = co_await finding;
  co_return evaluate(id, found, sent);
}

DependencyCheck::Finding DependencyCheck::evaluate(
    const std::string& id, const base::Result<StoredJob, LookupError>& found, double sent) {
  if (!found) return {Verdict::undetermined, {}};
  if (found->state == StoredJob::State::absent) return {Verdict::never_accepted, {}};
  if (found->cancelled()) return {Verdict::cancelled, {}};
  if (found->state == StoredJob::State::ended) return {Verdict::not_cancelled, {}};
  Finding finding{Verdict::not_cancelled, {}};
  if (!found->started()) finding.dependencies = found->job.spec.dependencies;
  live_jobs_.put(id, {sent, finding.dependencies});
  return finding;
}

Task<DependencyCheck::Verdict> DependencyCheck::check(std::vector<std::string> dependencies) {
  ReadBudget budget{kMaxReads, reactor_.now() + kClientRequestTimeoutS};
  bool cancelled = false;
  std::set<std::string> seen(dependencies.begin(), dependencies.end());
  // Checks all direct dependencies first, because one that was never accepted takes precedence over
  // a cancelled one. Indirect dependencies are appended to the same list.
  const std::size_t direct_count = dependencies.size();
  for (std::size_t next = 0; next < dependencies.size(); ++next) {
    const bool is_direct = next < direct_count;
    if (!is_direct && cancelled) break;
    auto checking = check_one(dependencies[next], budget);
    auto finding = co_await checking;
    if (finding.verdict == Verdict::undetermined) co_return finding.verdict;
    if (finding.verdict == Verdict::never_accepted && is_direct) co_return finding.verdict;
    if (finding.verdict == Verdict::cancelled) cancelled = true;
    for (auto& id : finding.dependencies) {
      if (seen.insert(id).second) dependencies.push_back(std::move(id));
    }
  }
  co_return cancelled ? Verdict::cancelled : Verdict::not_cancelled;
}

}  // namespace cranklock::control
