// The users' interface. Any node serves it, with or without a leader: every answer comes from the
// state service, or from what can't change any more.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "control/record.hpp"
#include "control/term.hpp"
#include "net/limiter.hpp"

namespace cranklock::control {

class Users {
 public:
  /// `state_reached` says whether the state service has answered this node lately.
  Users(Services services, std::function<bool()> state_reached);

  /// Answers anything under /v1/jobs.
  net::Task<net::Response> handle(net::Request request);

  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool knows_types() const { return !types_.empty(); }

 private:
  net::Task<net::Response> route(net::Request request);
  net::Task<net::Response> submit(std::string body);
  net::Task<net::Response> status(std::string id);
  net::Task<net::Response> withdraw(std::string id);

  /// What is stored of a job, wherever it stands.
  struct Found {
    enum class Kind { live, ended, absent, unclear };
    Kind kind = Kind::unclear;
    sched::Job job;
    std::string text;  ///< the live record as stored
    Ending ending;
  };
  net::Task<Found> look_up(std::string id);
  void remember(const std::string& id, const Ending& ending);
  /// Why the job can never run; empty if it may.
  std::string impossible(const wire::JobSpec& spec) const;

  Services services_;
  std::function<bool()> state_reached_;
  net::Limiter limiter_;
  std::vector<wire::MachineType> types_;
  std::map<std::string, Ending> ended_;  ///< bounded; endings never change
  std::deque<std::string> ended_order_;
};

net::Response plain_answer(int status, std::string body);
/// Not now: says at once when to come back.
net::Response come_back(std::string_view why);

}  // namespace cranklock::control
