// A router in front of replicas: distributes chats over them, keeps each chat at its replica, and
// drains replicas on request (docs/defragmentation.md). It does no I/O; callers pass the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "defrag/drain.hpp"
#include "net/http.hpp"
#include "wire/types.hpp"

namespace cranklock::testing {

class RouterStandIn {
 public:
  struct Replica {
    wire::TaskName task;
    std::uint64_t attempt = 0;
    std::string machine, address;
  };

  /// `max_chats`: capacity of one replica.
  explicit RouterStandIn(std::size_t max_chats) : max_chats_(max_chats) {}

  /// Sets the replicas that are running, and removes the drains that have expired.
  void set_replicas(std::vector<Replica> replicas, double now);

  /// Handles a request to the drain endpoint.
  net::Response handle(const net::Request& request, double now);

  /// Opens a request of the chat and returns its replica; nullopt if no replica is available. A
  /// chat stays at its replica until the replica is gone or its drain deadline has passed.
  std::optional<Replica> begin_request(int chat, const std::string& job, double now);
  void end_request(int chat);
  void end_chat(int chat);

  /// Whether a drain of the replica's running attempt is in force; chats may still be there.
  bool is_drained(const wire::TaskName& task, double now) const;
  int reassigned_chats() const { return reassigned_chats_; }
  int drain_requests() const { return drain_requests_; }
  int drains_refused() const { return drains_refused_; }

 private:
  struct Chat {
    wire::TaskName replica;
    std::uint64_t attempt = 0;
    bool open = false;  ///< whether a request of the chat is open
  };
  struct Drain {
    std::uint64_t attempt = 0;
    /// When the drain expires, and when the reassignment of its chats begins.
    double until = 0, reassign_at = 0;
  };
  defrag::DrainState handle_drain(const defrag::DrainRequest& request, double now);
  const Replica* find(const wire::TaskName& task) const;
  const Replica* least_busy(const std::string& job, double now) const;
  std::size_t chats_at(const wire::TaskName& task, bool open_only) const;
  /// Whether the job's other replicas that are not drained have capacity for all chats of the job.
  bool others_have_capacity(const wire::TaskName& task, double now) const;
  bool must_be_reassigned(const Chat& chat, double now) const;

  std::size_t max_chats_;
  std::vector<Replica> replicas_;
  std::map<int, Chat> chats_;
  std::map<wire::TaskName, Drain> drains_;
  int reassigned_chats_ = 0, drain_requests_ = 0, drains_refused_ = 0;
};

}  // namespace cranklock::testing
