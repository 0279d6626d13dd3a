// HTTP/1.1 messages and an incremental parser for requests and responses. It parses one message at
// a time: bytes after a message stay in the buffer until next() is called.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cranklock::net {

struct Request {
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< without the question mark
  std::string body;
  bool keep_alive = true;
};

struct Response {
  int status = 200;
  std::string body;
  std::string allow;      ///< for 405
  int retry_after_s = 0;  ///< 0: none
  bool keep_alive = true;
};

struct HttpLimits {
  std::size_t max_head_bytes = std::size_t{8} * 1024;
  std::size_t max_body_bytes = std::size_t{64} * 1024;
};

/// Accepts bytes in pieces of any size. `state` is whether a message is complete or invalid, and
/// `error_status` the HTTP status with which a server rejects it.
class HttpParser {
 public:
  enum class Kind { request, response };
  enum class State { incomplete, complete, failed };

  HttpParser(Kind kind, HttpLimits limits) : kind_(kind), limits_(limits) {}

  State feed(std::string_view bytes);
  /// The peer has closed the connection. This completes a response without a length; any other
  /// incomplete message fails.
  State finish();
  /// Starts the next message with the bytes of it that have already arrived.
  State next();

  State state() const { return state_; }
  int error_status() const { return error_status_; }
  /// True until the first byte of a message arrives.
  bool idle() const { return state_ == State::incomplete && buffer_.empty() && !head_complete_; }

  Request& request() { return request_; }
  Response& response() { return response_; }

 private:
  State advance();
  State fail(int status);
  bool parse_head(std::string_view head);
  bool parse_start_line(std::string_view line);
  bool parse_header(std::string_view line);
  State read_chunks();

  Kind kind_;
  HttpLimits limits_;
  State state_ = State::incomplete;
  int error_status_ = 0;
  std::string buffer_;
  bool head_complete_ = false;
  bool chunked_ = false;
  bool has_content_length_ = false;
  bool is_http_1_0_ = false;
  std::size_t content_length_ = 0;
  Request request_;
  Response response_;
};

std::string serialize(const Request& request, std::string_view host);
std::string serialize(const Response& response);

/// The value of a field of a query string, or empty.
std::string query_field(std::string_view query, std::string_view name);

}  // namespace cranklock::net
