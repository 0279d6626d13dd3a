// Byte streams over IPv4, as routines.
#pragma once

#include <string>
#include <string_view>

#include "net/reactor.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace cranklock::net {

/// A connected socket, or an invalid one when it could not be had by then.
Task<Fd> connect_to(EvReactor& reactor, std::string address, double until);
/// False when not all of it could be sent by then. `bytes` must outlive the call.
Task<bool> write_all(EvReactor& reactor, int fd, std::string_view bytes, double until);
/// Bytes read; 0 at the end, -1 on failure or when the time ran out.
Task<long> read_some(EvReactor& reactor, int fd, char* into, std::size_t max_bytes, double until);
/// A listening socket, or an invalid one.
Fd listen_on(const std::string& address);
/// The next waiting connection, or an invalid socket.
Fd accept_from(int listener);

}  // namespace cranklock::net
