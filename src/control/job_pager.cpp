#include "control/job_pager.hpp"

#include <algorithm>
#include <utility>

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using store::Status;

JobPager::JobPager(LeaderContext& context, RecordReloader& reloader, JobWindow& window,
                   std::function<void(sched::Job)> upsert_job)
    : context_(context), reloader_(reloader), window_(window), upsert_job_(std::move(upsert_job)) {}

Task<void> JobPager::run() {
  // Leaves most of a small processor's time to heartbeats and placement passes.
  constexpr double kPausePerPageTime = 10;  ///< multiple of the time that the last page took
  const double min_pause_s = context_.services.settings.heartbeat_interval_s / 4;
  for (;;) {
    Sleep pause(context_.services.reactor, std::max(min_pause_s, kPausePerPageTime * page_took_s_));
    co_await pause;
    if (window_.is_complete()) continue;
    auto reading = read_page();
    co_await reading;
  }
}

void JobPager::note_change(const std::string& job_id) {
  if (reading_) changed_while_reading_.insert(job_id);
}

Task<void> JobPager::read_page() {
  if (after_.empty()) change_count_at_round_start_ = window_.change_count();
  reading_ = true;
  auto reading =
      context_.services.store.read_page(kJobsPrefix, after_, store::kPageItems, kStoreTimeoutS);
  const auto read = co_await reading;
  reading_ = false;
  const auto changed = std::exchange(changed_while_reading_, {});
  if (read.status != Status::ok) co_return;
  const double began_at = context_.now();
  hold_page(read.page, changed);
  page_took_s_ = context_.now() - began_at;
}

void JobPager::hold_page(const wire::RangePage& page, const std::set<std::string>& changed) {
  for (const auto& value : page.items) {
    const bool is_stale = changed.contains(job_id_from_key(value.key));
    if (!is_stale && !hold(value)) {
      window_.request_rotation();
      context_.state_changed.set();
      return;  // the next page begins with this job
    }
    after_ = value.key;
  }
  if (page.more && !page.items.empty()) return;
  after_.clear();
  window_.mark_complete(change_count_at_round_start_);
}

bool JobPager::hold(const wire::StoredValue& value) {
  const std::string id = job_id_from_key(value.key);
  if (context_.cluster.job(id) != nullptr || reloader_.is_requested(id)) return true;
  auto job = read_record(value.data);
  if (!job) return true;  // left unchanged, as by JobWatcher
  if (!window_.admit(*job)) return false;
  job->record.revision = value.revision;
  if (job->record.parts > 0) {
    reloader_.request(id);
  } else {
    upsert_job_(std::move(*job));
    context_.state_changed.set();
  }
  return true;
}

}  // namespace cranklock::control
