// What a node of a test cluster sends or receives, for those who record its traffic.
#pragma once

#include <string_view>

#include "net/http.hpp"

namespace cranklock::testing {

/// A message that a node sends or is answered with, as the node sees it. The views are valid only
/// during the call that passes the event on.
struct TrafficEvent {
  enum class Kind {
    request,         ///< the node calls the state service, the cloud, an agent or the router
    reply,           ///< the result of that call
    public_request,  ///< a user's request or an agent's heartbeat, received by the node
    public_answer,   ///< the node's response to it
    peer_frame,      ///< the node sends to another node of its region
    region_frame     ///< the node receives from another region's leader
  };
  Kind kind = Kind::request;
  double at_s = 0;          ///< simulated time
  std::string_view region;  ///< of the node; empty where regions share no limits
  int node = 0;
  std::string_view address;              ///< the other side; empty: a user or an agent that calls
  std::string_view method, path, query;  ///< of the request
  /// Of a reply or an answer; null for a request, a frame, or a reply that never came.
  const net::Response* response = nullptr;
  std::string_view body;  ///< of a request or an answer; the packed bytes of a frame
};

}  // namespace cranklock::testing
