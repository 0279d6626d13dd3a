#include "router_stand_in.hpp"

#include <algorithm>
#include <utility>

#include "control/job_api.hpp"

namespace cranklock::testing {

using defrag::DrainState;

void RouterStandIn::set_replicas(std::vector<Replica> replicas, double now) {
  replicas_ = std::move(replicas);
  std::erase_if(drains_, [&](const auto& entry) { return entry.second.until <= now; });
}

const RouterStandIn::Replica* RouterStandIn::find(const wire::TaskName& task) const {
  const auto found = std::find_if(replicas_.begin(), replicas_.end(),
                                  [&](const Replica& replica) { return replica.task == task; });
  return found == replicas_.end() ? nullptr : &*found;
}

bool RouterStandIn::is_drained(const wire::TaskName& task, double now) const {
  const auto drain = drains_.find(task);
  const Replica* replica = find(task);
  return drain != drains_.end() && drain->second.until > now && replica != nullptr &&
         replica->attempt == drain->second.attempt;
}

std::size_t RouterStandIn::chats_at(const wire::TaskName& task, bool open_only) const {
  return static_cast<std::size_t>(
      std::count_if(chats_.begin(), chats_.end(), [&](const auto& entry) {
        return entry.second.replica == task && (entry.second.open || !open_only);
      }));
}

const RouterStandIn::Replica* RouterStandIn::least_busy(const std::string& job, double now) const {
  const Replica* best = nullptr;
  std::size_t fewest = 0;
  for (const auto& replica : replicas_) {
    if (replica.task.job != job || is_drained(replica.task, now)) continue;
    const auto chats = chats_at(replica.task, false);
    if (best == nullptr || chats < fewest) best = &replica, fewest = chats;
  }
  return best;
}

bool RouterStandIn::others_have_capacity(const wire::TaskName& task, double now) const {
  std::size_t capacity = 0, chats = 0;
  for (const auto& replica : replicas_) {
    if (replica.task.job != task.job) continue;
    chats += chats_at(replica.task, false);
    if (replica.task != task && !is_drained(replica.task, now)) capacity += max_chats_;
  }
  return capacity > 0 && chats <= capacity;
}

// True if the chat's replica is gone, or is drained and its deadline has passed.
bool RouterStandIn::must_be_reassigned(const Chat& chat, double now) const {
  const Replica* replica = find(chat.replica);
  if (replica == nullptr || replica->attempt != chat.attempt) return true;
  return is_drained(chat.replica, now) && now >= drains_.at(chat.replica).reassign_at;
}

std::optional<RouterStandIn::Replica> RouterStandIn::begin_request(int chat_id,
                                                                   const std::string& job,
                                                                   double now) {
  const auto known = chats_.find(chat_id);
  if (known != chats_.end() && !must_be_reassigned(known->second, now)) {
    known->second.open = true;
    return *find(known->second.replica);
  }
  const Replica* replica = least_busy(job, now);
  if (replica == nullptr) return std::nullopt;
  if (known != chats_.end()) ++reassigned_chats_;
  chats_[chat_id] = {replica->task, replica->attempt, true};
  return *replica;
}

void RouterStandIn::end_request(int chat) {
  const auto known = chats_.find(chat);
  if (known != chats_.end()) known->second.open = false;
}

void RouterStandIn::end_chat(int chat) {
  chats_.erase(chat);
}

DrainState RouterStandIn::handle_drain(const defrag::DrainRequest& request, double now) {
  const Replica* replica = find(request.task);
  const bool is_running = replica != nullptr && replica->attempt == request.attempt;
  if (request.lease_s <= 0) {
    const auto drain = drains_.find(request.task);
    if (drain != drains_.end() && drain->second.attempt == request.attempt) drains_.erase(drain);
    return DrainState::refused;
  }
  if (!is_running) return DrainState::refused;
  const bool repeated = is_drained(request.task, now);
  if (!repeated && !others_have_capacity(request.task, now)) return DrainState::refused;
  Drain& drain = drains_[request.task];
  drain = {request.attempt, now + request.lease_s, now + request.within_s};
  // Chats without an open request are reassigned with their next one.
  std::erase_if(chats_, [&](const auto& entry) {
    const Chat& chat = entry.second;
    const bool reassigned = chat.replica == request.task && !chat.open && now >= drain.reassign_at;
    reassigned_chats_ += reassigned ? 1 : 0;
    return reassigned;
  });
  return chats_at(request.task, false) == 0 ? DrainState::drained : DrainState::draining;
}

net::Response RouterStandIn::handle(const net::Request& request, double now) {
  const auto drain_request = defrag::read_drain_request(request.body);
  if (!drain_request)
    return control::make_response(400, wire::error_response("malformed drain request"));
  ++drain_requests_;
  defrag::DrainAnswer answer;
  answer.task = drain_request->task;
  answer.attempt = drain_request->attempt;
  answer.state = handle_drain(*drain_request, now);
  answer.open_requests = chats_at(drain_request->task, true);
  const bool refused = answer.state == DrainState::refused && drain_request->lease_s > 0;
  drains_refused_ += refused ? 1 : 0;
  return control::make_response(200, defrag::write_drain_answer(answer));
}

}  // namespace cranklock::testing
