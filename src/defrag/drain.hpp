// The drain interface: what a leader asks of the router in front of replicas
// (docs/defragmentation.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/types.hpp"

namespace cranklock::defrag {

/// Asks that a replica gets no new requests, and that those it has are answered or carried over.
/// Repeating it is harmless and prolongs the drain's lease.
struct DrainRequest {
  wire::TaskName task;
  std::uint64_t attempt = 0;
  std::string machine, address;
  /// The drain ends by itself so long after the request came; 0 ends it at once.
  double lease_s = 0;
  /// So long from now on conversations may go on; then they are to be carried over.
  double within_s = 0;
};
std::string write_drain_request(const DrainRequest& request);
std::optional<DrainRequest> read_drain_request(const std::string& text);

enum class DrainState {
  draining,  ///< requests of it are still open
  drained,   ///< it has none, and gets none within the lease
  refused,   ///< the others can't carry its load now, or the attempt is not known
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
