#include "sched/job_memory.hpp"

#include <string>

namespace cranklock::sched {
namespace {

/// Of a node in a map or set, and of a block of the allocator.
constexpr std::size_t kNodeOverheadBytes = 64;

std::size_t text_bytes(const std::string& text) {
  return sizeof(std::string) + text.capacity() + 1;
}

/// A dependency is in the specification, in the list of the job's dependencies and, with the job's
/// id, in the index by dependency.
std::size_t dependency_bytes(const std::string& dependency, const std::string& job_id) {
  constexpr std::size_t kCopies = 3;
  return kCopies * text_bytes(dependency) + text_bytes(job_id) + 3 * kNodeOverheadBytes;
}

}  // namespace

std::size_t job_memory_bytes(const Job& job) {
  const wire::JobSpec& spec = job.spec;
  std::size_t bytes = sizeof(Job) + kNodeOverheadBytes;
  for (const std::string* text : {&spec.id, &spec.job_class, &spec.team, &spec.image, &spec.zone}) {
    bytes += text_bytes(*text);
  }
  for (const std::string& type : spec.types) bytes += text_bytes(type);
  for (const std::string& dependency : spec.dependencies) {
    bytes += dependency_bytes(dependency, spec.id);
  }
  return bytes + job.done.ranges().capacity() * sizeof(TaskSet::Range);
}

}  // namespace cranklock::sched
