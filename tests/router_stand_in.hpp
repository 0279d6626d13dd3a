// A router in front of replicas: it spreads chats over them, keeps each chat at its replica, and
// drains replicas where it is asked to (docs/defragmentation.md). No I/O, time passed in.
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

  /// `max_chats` is what one replica carries.
  explicit RouterStandIn(std::size_t max_chats) : max_chats_(max_chats) {}

  /// All replicas that run now.
  void set_replicas(std::vector<Replica> replicas, double now);

  /// Answers a request of the drain interface.
  net::Response handle(const net::Request& request, double now);

  /// Where the chat's next request goes, which is open from now on; nothing: no replica serves. A
  /// chat stays at its replica until that is gone or has to be drained in time.
  std::optional<Replica> begin_request(int chat, const std::string& job, double now);
  void end_request(int chat);
  void end_chat(int chat);

  bool is_drained(const wire::TaskName& task, double now) const;
  int carried_over() const { return carried_over_; }
  int drains_asked() const { return drains_asked_; }
  int drains_refused() const { return drains_refused_; }

 private:
  struct Chat {
    wire::TaskName at;
    std::uint64_t attempt = 0;
    bool open = false;
  };
  struct Drain {
    std::uint64_t attempt = 0;
    double until = 0, carry_over_at = 0;
  };
  defrag::DrainState drain(const defrag::DrainRequest& request, double now);
  const Replica* find(const wire::TaskName& task) const;
  const Replica* least_busy(const std::string& job, double now) const;
  std::size_t chats_at(const wire::TaskName& task, bool open_only) const;
  bool others_can_carry(const wire::TaskName& task, double now) const;
  bool must_leave(const Chat& chat, double now) const;

  std::size_t max_chats_;
  std::vector<Replica> replicas_;
  std::map<int, Chat> chats_;
  std::map<wire::TaskName, Drain> drains_;
  int carried_over_ = 0, drains_asked_ = 0, drains_refused_ = 0;
};

}  // namespace cranklock::testing
