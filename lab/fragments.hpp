// Fragmentation scenario: each worker's free capacity is a fragment, chats keep the replicas busy,
// and a gang that needs whole machines can be placed only by moving replicas.
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

class FragmentationScenario {
 public:
  /// Callbacks into the run that owns the scenario.
  struct Host {
    /// Submits one job of the class and polls it until it ends; returns its id.
    std::function<std::string(const ClassPlan&)> submit;
    std::function<void()> finish;  ///< ends the run
  };
  FragmentationScenario(net::EvReactor& reactor, const LabPlan& plan, Region& region,
                        Controllers& controllers, Host host, unsigned seed);

  /// Starts the router and the scenario; false if the router's address cannot be listened on.
  bool start(net::Scope& scope);

  /// Stops the scenario and all chats.
  void stop() { scope_.clear(), chats_.stop(); }

  /// Why the scenario failed; empty if it succeeded.
  std::string failure_reason() const;
  /// Writes the scenario's fields into the report's JSON object, which the caller has begun.
  void report(wire::JsonWriter& w) const;
  std::string summary() const;

 private:
  net::Task<void> run_scenario();
  net::Task<void> kill_leader();
  net::Task<void> measure_machine_seconds();
  /// Job arrays whose tasks occupy all of a worker except the capacity of a replica.
  ClassPlan filler_class(int tasks) const;
  /// Services whose replicas serve the chats.
  ClassPlan replica_class(int tasks) const;
  /// The gang whose tasks each need a whole worker.
  ClassPlan demand_class() const;
  int count_running_tasks(const std::vector<std::string>& jobs) const;
  /// Polls the condition until it holds or the timeout has passed; returns whether it holds.
  net::Task<bool> wait_until(std::function<bool()> condition, double timeout_s);
  bool is_demand_running() const;

  net::EvReactor& reactor_;
  const LabPlan& plan_;
  const FragmentationPlan& scenario_plan_;
  Region& region_;
  Controllers& controllers_;
  Host host_;
  Chats chats_;
  std::list<ClassPlan> classes_;  ///< a list, so that the addresses held by jobs stay valid
  std::vector<std::string> service_jobs_;
  std::string demand_job_;
  double demand_submitted_at_ = 0, demand_wait_s_ = 0, machine_seconds_ = 0;
  bool is_fragmented_ = false, demand_placed_ = false, leader_killed_ = false;
  net::Scope scope_;  ///< last member: coroutines are destroyed before the objects they use
};

}  // namespace cranklock::lab
