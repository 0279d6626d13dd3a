#include "sched/machine.hpp"

#include <algorithm>

namespace cranklock::sched {

bool allows(const wire::JobSpec& spec, const MachineKind& kind) {
  if (kind.spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != kind.zone) return false;
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), kind.type) != spec.types.end();
}

bool Machine::holds_image(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& cached) { return cached.name == image; });
}

void Machine::record_image_use(const wire::JobSpec& spec, std::optional<double> cache_gb) {
  std::erase_if(images, [&](const CachedImage& cached) { return cached.name == spec.image; });
  images.push_back({spec.image, spec.image_gb});
  double total_gb = 0;
  for (const CachedImage& cached : images) total_gb += cached.size_gb;
  while (cache_gb && total_gb > *cache_gb && images.size() > 1) {
    total_gb -= images.front().size_gb;
    images.erase(images.begin());
  }
}

bool Machine::stopping() const {
  return agent.unknown_tasks > 0 ||
         std::any_of(tasks.begin(), tasks.end(), [](const PlacementRef& ref) {
           return ref.job->cancelled() || ref.placement().stop_requested;
         });
}

}  // namespace cranklock::sched
