#include "control/dependency_check.hpp"

#include <set>

namespace cranklock::control {

using net::Task;

namespace {
/// Jobs read for one request. What was read is trusted for a while, so a user who asks again gets
/// further.
constexpr int kMaxReads = 32;
}  // namespace

Task<DependencyCheck::Verdict> DependencyCheck::look_at(std::string id, Progress& progress,
                                                        std::vector<std::string>& dependencies) {
  if (const JobOutcome* outcome = lookup_.known_outcome(id)) {
    co_return outcome->state == wire::JobState::done ? Verdict::clear : Verdict::cancelled;
  }
  const double sent = reactor_.now();
  if (const Live* live = live_.find(id); live != nullptr && sent < live->as_of + trusted_s_) {
    dependencies = live->dependencies;
    co_return Verdict::clear;
  }
  if (++progress.reads > kMaxReads || sent >= progress.until) co_return Verdict::unclear;
  auto finding = lookup_.find(id);
  const auto found = co_await finding;
  switch (found.kind) {
    case StoredJob::Kind::unclear:
      co_return Verdict::unclear;
    case StoredJob::Kind::absent:
      co_return Verdict::never_accepted;
    case StoredJob::Kind::ended:
      co_return found.cancelled() ? Verdict::cancelled : Verdict::clear;
    case StoredJob::Kind::live:
      break;
  }
  if (found.cancelled()) co_return Verdict::cancelled;
  if (!found.started()) dependencies = found.job.spec.dependencies;
  live_.put(id, {sent, dependencies});
  co_return Verdict::clear;
}

Task<DependencyCheck::Verdict> DependencyCheck::check(std::vector<std::string> dependencies) {
  Progress progress{0, reactor_.now() + kUserTimeout};
  bool cancelled = false;
  std::set<std::string> seen(dependencies.begin(), dependencies.end());
  // First the needs themselves, all of them: one that was never accepted outweighs a cancelled one.
  const std::size_t direct = dependencies.size();
  for (std::size_t next = 0; next < dependencies.size(); ++next) {
    if (next == direct && cancelled) break;
    std::vector<std::string> further;
    auto looking = look_at(dependencies[next], progress, further);
    const Verdict verdict = co_await looking;
    if (verdict == Verdict::unclear) co_return verdict;
    if (verdict == Verdict::never_accepted && next < direct) co_return verdict;
    if (verdict == Verdict::cancelled) cancelled = true;
    if (cancelled && next >= direct) break;
    for (auto& id : further) {
      if (seen.insert(id).second) dependencies.push_back(std::move(id));
    }
  }
  co_return cancelled ? Verdict::cancelled : Verdict::clear;
}

}  // namespace cranklock::control
