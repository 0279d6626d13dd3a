#include "control/report_forwarder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranklock::control {

using net::Response;
using net::Task;

void ReportForwarder::heard(const peer::Hello& hello) {
  if (hello.token == 0 || hello.token < token_) return;
  token_ = hello.token;
  leader_ = hello.name;
  leader_ms_ = hello.sent_ms;
  heard_at_ = reactor_.now();
}

void ReportForwarder::describe(peer::Hello& hello) const {
  hello.echo_token = token_;
  hello.echo_ms = leader_ms_;
  if (answered_alone_at_ >= 0) {
    const double age = (reactor_.now() - answered_alone_at_) * 1000;
    hello.answered_alone_ms = static_cast<std::uint32_t>(std::min(age, peer::kNever - 1.0));
  }
}

bool ReportForwarder::reaches_leader() const {
  return token_ > 0 && reactor_.now() - heard_at_ < patience(settings_);
}

// Guards the leader's timing of leases: it counts on no answer of ours while it is heard here, and
// on none after what it allowed. A worker that has seen a newer token would drop the answer anyway.
bool ReportForwarder::answers_alone(const wire::Report& report) const {
  const Trust* trust = trusted_.find(report.machine);
  return trust != nullptr && trust->token == token_ && report.token <= token_ &&
         !reaches_leader() && reactor_.now() < trust->until;
}

ReportForwarder::Visit ReportForwarder::last_visit(const std::string& machine) const {
  const Visit* visit = visits_.find(machine);
  return visit != nullptr ? *visit : Visit{};
}

void ReportForwarder::note_forwarded(const wire::Report& report) {
  if (!is_of_other_nodes(report)) return;
  Visit visit = last_visit(report.machine);
  // For as long as it comes here, it may go on doing so.
  if (came_back(report.machine)) visit.sent_away_at = reactor_.now();
  visit.forwarded_at = reactor_.now();
  visits_.put(report.machine, visit);
}

void ReportForwarder::note_sent_away(const wire::Report& report) {
  if (!is_of_other_nodes(report)) return;
  Visit visit = last_visit(report.machine);
  visit.sent_away_at = reactor_.now();
  visits_.put(report.machine, visit);
}

// Guards against a lease that ends on the way: a worker that comes from a node which holds its
// reports has lost half of a short lease, and one that is sent back there loses the rest.
bool ReportForwarder::is_first_visit(const std::string& machine) const {
  const Visit visit = last_visit(machine);
  return reactor_.now() - std::max(visit.forwarded_at, visit.sent_away_at) >= settings_.lease_s;
}

// Guards against workers sent to and fro until their leases end: one that is back so soon has found
// that the leader, which this node hears, can't be reached from there.
bool ReportForwarder::came_back(const std::string& machine) const {
  return reactor_.now() - last_visit(machine).sent_away_at < settings_.lease_s;
}

void ReportForwarder::answered(const peer::ForwardedAnswer& answer) {
  const auto it = pending_.find(answer.id);
  if (it == pending_.end()) return;  // too late: its worker has been answered otherwise
  it->second->answer = answer;
  it->second->done = true;
  it->second->arrived.set();
}

Task<Response> ReportForwarder::forward(wire::Report report, std::string body,
                                        std::function<double()> state_heard) {
  constexpr double kWorkersPatience = 4.0;  // PROTOCOL: then it tries the next node
  const double sent = reactor_.now();
  const double until = sent + 0.8 * kWorkersPatience;
  // What came last from outside is the leader's, give or take what lies between two hellos.
  const auto cut_off = [&] { return state_heard() < heard_at_ + settings_.report_s / 2; };
  Response response;
  if (reaches_leader() && body.size() < peer::kMostText) {
    Pending pending(reactor_);
    const auto id = ++next_id_;
    struct Listed {
      std::map<std::uint64_t, Pending*>& in;
      std::uint64_t id;
      ~Listed() { in.erase(id); }
    };
    const Listed listed{pending_, id};
    pending_[id] = &pending;
    send_(leader_, peer::ForwardedReport{id, std::move(body)});
    while (!pending.done && reactor_.now() < until) {
      // Looked at again and again: the leader may have ended, and its successor be known.
      if (!reaches_leader() && !cut_off()) break;
      net::Signal::Wait wait(pending.arrived, settings_.report_s / 4);
      co_await wait;
    }
    if (pending.done && pending.answer.status == 200) {
      const auto& answer = pending.answer;
      // Counted from the sending, which came before the leader's answer.
      trusted_.put(report.machine, {answer.token, sent + answer.answer_alone_ms / 1000.0});
      response.body = answer.body;
      co_return response;
    }
  }
  if (cut_off() && answers_alone(report)) {
    if (answered_alone_at_ < 0 || reactor_.now() - answered_alone_at_ > settings_.lease_s) {
      spdlog::info("answering the zone's workers in the leader's stead, token {}", token_);
    }
    answered_alone_at_ = reactor_.now();
    response.body = wire::orders_answer(token_, {});
    co_return response;
  }
  response.status = 421;
  co_return response;
}

}  // namespace cranklock::control
