// TCP streams over IPv4, as coroutines.
#pragma once

#include <string>
#include <string_view>

#include "net/reactor.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace cranklock::net {

/// A connected socket, or an invalid one on failure or after the deadline.
Task<Fd> connect_to(EvReactor& reactor, std::string address, double deadline);
/// False on failure, or if not all bytes were sent by the deadline. `bytes` must outlive the call.
Task<bool> write_all(EvReactor& reactor, int fd, std::string_view bytes, double deadline);
/// Number of bytes read; 0 at the end of the stream, -1 on failure or after the deadline.
Task<long> read_some(EvReactor& reactor, int fd, char* into, std::size_t max_bytes,
                     double deadline);
/// A listening socket, or an invalid one on failure.
Fd listen_on(const std::string& address);
/// The next pending connection, or an invalid socket if there is none or on failure; errno has the
/// reason.
Fd accept_from(int listener);

}  // namespace cranklock::net
