// A small blocking HTTP/1.1 server and client on loopback, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace review {

/// Seconds on the steady clock.
inline double now() {
  using namespace std::chrono;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}
inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

struct Request {
  std::string method, path, query, body;
};
struct Response {
  int status = 200;  ///< 0: the connection is closed without an answer
  std::string body = "{}";
};

/// Reads from the socket until `deadline`; returns false at the end of the stream or at the
/// deadline.
inline bool receive_more(int fd, std::string& buffer, double deadline) {
  const double left = deadline - now();
  if (left <= 0) return false;
  pollfd waiting{fd, POLLIN, 0};
  if (::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
  char bytes[16384];
  const auto received = ::recv(fd, bytes, sizeof bytes, 0);
  if (received <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(received));
  return true;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline std::size_t content_length(const std::string& head) {
  std::string lower;
  for (const char c : head) lower += static_cast<char>(std::tolower(c));
  const auto at = lower.find("\r\ncontent-length:");
  return at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + 17, nullptr, 10);
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Serves each connection in a thread of its own.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_, 256) != 0) {
      throw std::runtime_error("a stand-in cannot listen");
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept_connections(); });
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() {
    stopping_ = true;
    acceptor_.join();
    ::close(listener_);
    for (auto& thread : threads_) thread.join();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_connections() {
    while (!stopping_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (::poll(&waiting, 1, 50) <= 0) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      threads_.emplace_back([this, fd] {
        serve(fd);
        ::close(fd);
      });
    }
  }

  void serve(int fd) {
    std::string buffer;
    for (;;) {
      std::size_t head_end = 0;
      while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (stopping_) return;
        pollfd waiting{fd, POLLIN, 0};
        if (::poll(&waiting, 1, 50) <= 0) continue;
        if (!receive_more(fd, buffer, now() + 1)) return;
      }
      const std::string head = buffer.substr(0, head_end);
      buffer.erase(0, head_end + 4);
      const std::size_t length = content_length(head);
      while (buffer.size() < length) {
        if (!receive_more(fd, buffer, now() + 5)) return;
      }
      Request request;
      request.body = buffer.substr(0, length);
      buffer.erase(0, length);
      const auto first = head.find(' ');
      const auto second = head.find(' ', first + 1);
      request.method = head.substr(0, first);
      request.path = head.substr(first + 1, second - first - 1);
      if (const auto mark = request.path.find('?'); mark != std::string::npos) {
        request.query = request.path.substr(mark + 1);
        request.path.erase(mark);
      }
      const Response response = handler_(request);
      if (response.status == 0 || stopping_) return;
      if (!send_all(fd, "HTTP/1.1 " + std::to_string(response.status) +
                            " -\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
        return;
      }
    }
  }

  Handler handler_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> stopping_{false};
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

/// A client with one connection, which stays open until either side closes it.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() { close(); }

  /// The status of the response is 0 if there was none within `timeout_s`.
  Response call(const std::string& method, const std::string& path, const std::string& body,
                double timeout_s) {
    const double deadline = now() + timeout_s;
    Response response{0, ""};
    if (fd_ >= 0) {  // a connection that the server has closed meanwhile is opened anew
      char byte = 0;
      if (::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) close();
    }
    if (fd_ < 0 && !connect(timeout_s)) return response;
    std::string buffer;
    if (!send_all(fd_, method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
      close();
      return response;
    }
    std::size_t head_end = 0;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!receive_more(fd_, buffer, deadline)) return close(), response;
    }
    const std::string head = buffer.substr(0, head_end);
    buffer.erase(0, head_end + 4);
    const std::size_t length = content_length(head);
    while (buffer.size() < length) {
      if (!receive_more(fd_, buffer, deadline)) return close(), response;
    }
    response.status = std::atoi(head.c_str() + head.find(' ') + 1);
    response.body = buffer.substr(0, length);
    if (head.find("Connection: close") != std::string::npos) close();
    return response;
  }

 private:
  bool connect(double timeout_s) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval timeout{static_cast<time_t>(timeout_s), 0};
    if (timeout.tv_sec == 0) timeout.tv_usec = static_cast<suseconds_t>(timeout_s * 1e6);
    ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const auto address = loopback(port_);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
      return true;
    close();
    return false;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  int port_;
  int fd_ = -1;
};

}  // namespace review
