// A fleet whose free room is in pieces, chats with the replicas between them, and a gang of whole
// machines that finds room by moves alone.
#pragma once

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "lab/chats.hpp"
#include "lab/controllers.hpp"
#include "lab/region.hpp"
#include "lab/settings.hpp"

namespace cranklock::lab {

class Fragments {
 public:
  /// What it needs of the run that it is part of.
  struct Host {
    /// Submits one job of the class and follows it to its end; returns its id.
    std::function<std::string(const ClassPlan&)> submit;
    std::function<void()> finish;  ///< all has been seen
  };
  Fragments(net::EvReactor& reactor, const LabPlan& plan, Region& region, Controllers& controllers,
            Host host, unsigned seed);

  /// Opens the router; false when its address can't be listened on.
  bool start(net::Scope& scope);

  /// Ends all that is under way.
  void stop() { scope_.clear(), chats_.stop(); }

  /// What went wrong; empty: nothing.
  std::string fault() const;
  /// Writes its fields into the object of the report that is open.
  void report(wire::JsonWriter& w) const;
  std::string summary() const;

 private:
  net::Task<void> play();
  net::Task<void> kill_leader();
  net::Task<void> measure();
  ClassPlan filler(int tasks) const;
  ClassPlan replicas(int tasks) const;
  ClassPlan demand() const;
  int running(const std::vector<std::string>& jobs) const;
  net::Task<bool> wait_until(std::function<bool()> holds, double timeout_s);
  bool is_demand_running() const;

  net::EvReactor& reactor_;
  const LabPlan& plan_;
  const FragmentsPlan& fragments_;
  Region& region_;
  Controllers& controllers_;
  Host host_;
  Chats chats_;
  std::list<ClassPlan> classes_;  ///< that jobs refer to
  std::vector<std::string> services_;
  std::string demand_job_;
  double demand_at_ = 0, demand_wait_s_ = 0, machine_seconds_ = 0;
  bool prepared_ = false, demand_placed_ = false, leader_killed_ = false;
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::lab
