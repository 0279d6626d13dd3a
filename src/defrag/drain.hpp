// The drain protocol: requests of the leader to the router in front of replicas, and its answers
// (docs/defragmentation.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/types.hpp"

namespace cranklock::defrag {

/// Requests that a replica gets no new requests, and that its open requests are completed or
/// carried over to other replicas. Requests are idempotent; each one renews the lease of the drain.
struct DrainRequest {
  wire::TaskName task;
  std::uint64_t attempt = 0;
  std::string machine, address;
  /// The drain expires this long after the router received the request; 0 ends it at once.
  double lease_s = 0;
  /// Conversations may continue on the replica for this long from now; the router then carries them
  /// over to other replicas.
  double within_s = 0;
};
std::string write_drain_request(const DrainRequest& request);
std::optional<DrainRequest> read_drain_request(const std::string& text);

enum class DrainState {
  draining,  ///< the replica still has open requests
  drained,   ///< no open requests, and no new ones within the lease
  refused,   ///< other replicas cannot take its load now, or the attempt is unknown
};

struct DrainAnswer {
  wire::TaskName task;
  std::uint64_t attempt = 0;
  DrainState state = DrainState::refused;
  std::uint64_t open_requests = 0;
};
std::string write_drain_answer(const DrainAnswer& answer);
std::optional<DrainAnswer> read_drain_answer(const std::string& text);

}  // namespace cranklock::defrag
