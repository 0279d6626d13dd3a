#include "stored_placements.hpp"

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::testing {

std::map<std::string, wire::Resources> StoredPlacements::use_by_team(const Values& values) {
  std::map<std::string, wire::Resources> use;
  const std::string prefix = control::kJobsPrefix;
  for (auto stored = values.lower_bound(prefix); stored != values.end(); ++stored) {
    const auto& [key, value] = *stored;
    if (!key.starts_with(prefix)) break;
    Record& record = records_[key];
    if (record.revision != value.revision) record = read(control::job_id_from_key(key), values);
    use[record.team] += record.use;
  }
  return use;
}

StoredPlacements::Record StoredPlacements::read(const std::string& id, const Values& values) {
  const auto& main_value = values.at(control::job_key(id));
  auto job = control::read_record(main_value.data);
  if (!job) return {main_value.revision, "", {}};
  job->record.revision = main_value.revision;
  for (int part = 0; part < job->record.parts; ++part) {
    const auto found = values.find(control::part_key(id, part));
    if (found != values.end()) control::add_part(found->second.data, found->second.revision, *job);
  }
  const auto placements = job->cancelled() ? 0 : job->placements.size();
  return {main_value.revision, job->spec.team,
          job->spec.resources * static_cast<double>(placements)};
}

}  // namespace cranklock::testing
