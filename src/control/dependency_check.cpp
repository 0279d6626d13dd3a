#include "control/dependency_check.hpp"

#include <set>
#include <utility>

namespace cranklock::control {

using net::Task;

namespace {

/// Jobs read for one request. What was read is trusted for a while, so a client that asks again
/// gets further.
constexpr int kMaxReads = 32;

}  // namespace

Task<DependencyCheck::Finding> DependencyCheck::check_one(std::string id, ReadBudget& budget) {
  if (const JobOutcome* outcome = lookup_.known_outcome(id)) {
    const bool done = outcome->state == wire::JobState::done;
    co_return Finding{done ? Verdict::clear : Verdict::cancelled, {}};
  }
  const double sent = reactor_.now();
  if (const LiveJob* live = live_.find(id); live != nullptr && sent < live->as_of + trusted_s_) {
    co_return Finding{Verdict::clear, live->dependencies};
  }
  if (--budget.reads_left < 0 || sent >= budget.deadline) {
    co_return Finding{Verdict::undetermined, {}};
  }
  auto finding = lookup_.find(id);
  const auto found = co_await finding;
  co_return judge(id, found, sent);
}

DependencyCheck::Finding DependencyCheck::judge(const std::string& id,
                                                const base::Result<StoredJob, LookupError>& found,
                                                double sent) {
  if (!found) return {Verdict::undetermined, {}};
  if (found->state == StoredJob::State::absent) return {Verdict::never_accepted, {}};
  if (found->cancelled()) return {Verdict::cancelled, {}};
  if (found->state == StoredJob::State::ended) return {Verdict::clear, {}};
  Finding finding{Verdict::clear, {}};
  if (!found->started()) finding.dependencies = found->job.spec.dependencies;
  live_.put(id, {sent, finding.dependencies});
  return finding;
}

Task<DependencyCheck::Verdict> DependencyCheck::check(std::vector<std::string> dependencies) {
  ReadBudget budget{kMaxReads, reactor_.now() + kUserTimeout};
  bool cancelled = false;
  std::set<std::string> seen(dependencies.begin(), dependencies.end());
  // First the direct dependencies, all of them: one that was never accepted outweighs a cancelled
  // one. The indirect ones follow behind them in the same list.
  const std::size_t direct = dependencies.size();
  for (std::size_t next = 0; next < dependencies.size(); ++next) {
    const bool is_direct = next < direct;
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
  co_return cancelled ? Verdict::cancelled : Verdict::clear;
}

}  // namespace cranklock::control
