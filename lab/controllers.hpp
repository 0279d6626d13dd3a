// The controllers of a run: their settings files, their processes, and what these use.
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
  /// `program` is the daemon; settings files and logs go to `folder`.
  Controllers(const LabPlan& plan, std::string program, std::string folder)
      : plan_(plan), program_(std::move(program)), folder_(std::move(folder)) {}
  ~Controllers() { end_all(); }
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  /// Makes relays between the regions, writes all settings files and starts all controllers.
  bool start(net::EvReactor& reactor, const std::vector<std::unique_ptr<Region>>& regions,
             net::Scope& scope);
  /// Ends the controller that leads the region, by its id, without warning; and starts it again.
  void crash(const std::string& region);
  /// The highest fencing token with which a controller of the region has logged that it serves; 0:
  /// none.
  std::uint64_t serving_fencing_token(const std::string& region) const;
  void restart(const std::string& region);
  /// Cuts a region off from all others, or joins it again.
  void set_apart(const std::string& region, bool apart);
  void end_all();

  /// What a controller used, known once it has ended.
  struct Usage {
    std::string member;
    bool led = false;    ///< its region, at some time
    bool alive = false;  ///< when it was asked to end
    double cpu_s = 0, memory_mb = 0;
    int sockets = 0;  ///< open just before
  };
  std::vector<Usage> usage() const;
  /// How long teams lacked share, as the leaders logged it, and how often they asked.
  struct Shortage {
    double seconds = 0;
    int requests = 0;
  };
  std::vector<Shortage> shortages() const;
  std::uint64_t bytes_between_regions() const;
  /// What the leaders of a region logged of moves.
  struct Moves {
    int plans_begun = 0, done = 0, dropped = 0;
  };
  Moves moves(const std::string& region) const;

 private:
  struct Controller {
    std::string region;
    Usage usage;
    pid_t pid = -1;
  };
  struct Bridge {
    std::string from, to;
    std::unique_ptr<Relay> relay;
  };
  std::string log_of(const Controller& controller) const;
  std::uint64_t serving_fencing_token(const Controller& controller) const;
  std::string path(const std::string& member, const char* outcome) const {
    return folder_ + "/" + member + outcome;
  }
  void write_settings(const Region& region, int index, int regions) const;
  void write_operator_file(const std::vector<std::unique_ptr<Region>>& regions, int region,
                           const std::string& member) const;
  void launch(Controller& controller) const;
  static void end(Controller& controller, int signal);

  const LabPlan& plan_;
  std::string program_, folder_;
  std::vector<Controller> controllers_;
  std::vector<Bridge> bridges_;
};

}  // namespace cranklock::lab
