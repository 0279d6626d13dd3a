// The controller processes of a run: settings files, start and stop, resource usage and logs.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lab/region.hpp"
#include "lab/settings.hpp"

namespace cranklock::lab {

class Controllers {
 public:
  /// `program` is the path of the daemon; settings files and logs are written to `folder`.
  Controllers(const LabPlan& plan, std::string program, std::string folder)
      : plan_(plan), program_(std::move(program)), folder_(std::move(folder)) {}
  ~Controllers() { stop_all(); }
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  /// Starts the relays between regions, writes all settings files and starts all controllers.
  /// Returns false if a relay address cannot be listened on.
  bool start(net::EvReactor& reactor, const std::vector<std::unique_ptr<Region>>& regions,
             net::Scope& scope);
  /// Kills the leader of the region with SIGKILL. The leader is the controller that has logged the
  /// highest serving fencing token; if none has logged one, it is the first controller.
  void crash_leader(const std::string& region);
  /// Kills all controllers of the region with SIGKILL.
  void crash_all(const std::string& region);
  /// The highest fencing token with which a controller of the region has logged `leadership
  /// serving`; 0 if there is none.
  std::uint64_t serving_fencing_token(const std::string& region) const;
  /// Starts the controllers of the region that have been killed or stopped.
  void restart_stopped(const std::string& region);
  /// Partitions a region from all others, or ends the partition.
  void set_partitioned(const std::string& region, bool partitioned);
  void stop_all();

  /// Resource usage of a controller, complete once it has been stopped.
  struct Usage {
    std::string member;
    bool led = false;    ///< whether it has been the leader of its region
    bool alive = false;  ///< whether it still ran when it was last killed or stopped
    double cpu_s = 0, memory_mb = 0;
    int sockets = 0;  ///< open file descriptors just before it was stopped
  };
  std::vector<Usage> usage() const;
  /// A quota shortage of a team, as logged by the leader: its duration and its number of
  /// quota requests.
  struct QuotaShortage {
    double seconds = 0;
    int requests = 0;
  };
  std::vector<QuotaShortage> quota_shortages() const;
  std::uint64_t bytes_between_regions() const;
  /// Defragmentation plans and moves logged by the leaders of a region. `dropped` counts the moves
  /// that dropped plans left undone.
  struct MoveCounts {
    int plans_begun = 0, done = 0, dropped = 0;
  };
  MoveCounts move_counts(const std::string& region) const;

 private:
  struct Controller {
    std::string region;
    Usage usage;
    pid_t pid = -1;
  };
  struct RegionLink {
    std::string from, to;
    std::unique_ptr<Relay> relay;
  };
  std::string read_log(const Controller& controller) const;
  std::uint64_t serving_fencing_token(const Controller& controller) const;
  std::string path(const std::string& member, const char* extension) const {
    return folder_ + "/" + member + extension;
  }
  void write_settings(const Region& region, int index, int regions) const;
  void write_operator_file(const std::vector<std::unique_ptr<Region>>& regions, int region,
                           const std::string& member) const;
  void launch(Controller& controller) const;
  static void stop(Controller& controller, int signal);

  const LabPlan& plan_;
  std::string program_, folder_;
  std::vector<Controller> controllers_;
  std::vector<RegionLink> region_links_;
};

}  // namespace cranklock::lab
