// Messages that nodes of a test cluster send and receive, for recording their traffic.
#pragma once

#include <string_view>

#include "net/http.hpp"

namespace cranklock::testing {

/// A message that a node sends or receives, as the node sees it. The views are valid only during
/// the call of the observer.
struct TrafficEvent {
  enum class Kind {
    request,          ///< from the node to the state service, the cloud, an agent or the router
    reply,            ///< the result of such a request
    public_request,   ///< a user's request or an agent's heartbeat to the node
    public_response,  ///< the node's response to it
    peer_frame,       ///< from the node to another node of its region
    region_frame      ///< to the node from another region's leader
  };
  Kind kind = Kind::request;
  double time_s = 0;        ///< simulated time
  std::string_view region;  ///< the node's region; empty if regions share no limits
  int node = 0;
  std::string_view address;  ///< the remote side; empty for callers of the public address
  std::string_view method, path, query;  ///< of the request
  /// Of a reply or public response; null for a request, a frame, or a reply without a response.
  const net::Response* response = nullptr;
  std::string_view body;  ///< of the request or response; the packed bytes of a frame
};

}  // namespace cranklock::testing
