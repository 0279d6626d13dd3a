#include "net/http.hpp"

#include <algorithm>
#include <charconv>

namespace cranklock::net {
namespace {

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return lower(x) == lower(y);
  });
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

template <typename Number>
bool parse_number(std::string_view s, Number& out, int base = 10) {
  const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), out, base);
  return ec == std::errc{} && end == s.data() + s.size() && !s.empty();
}

bool is_token(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

HttpParser::State HttpParser::fail(int status) {
  error_status_ = status;
  return state_ = State::failed;
}

HttpParser::State HttpParser::feed(std::string_view bytes) {
  if (state_ == State::failed) return state_;
  buffer_.append(bytes);
  if (state_ == State::complete) return state_;
  return advance();
}

HttpParser::State HttpParser::next() {
  if (state_ != State::complete) return state_;
  state_ = State::incomplete;
  head_complete_ = chunked_ = has_content_length_ = is_http_1_0_ = false;
  content_length_ = 0;
  request_ = {};
  response_ = {};
  return buffer_.empty() ? state_ : advance();
}

HttpParser::State HttpParser::finish() {
  if (state_ != State::incomplete) return state_;
  if (kind_ == Kind::response && head_complete_ && !chunked_ && !has_content_length_) {
    response_.body = std::move(buffer_);
    buffer_.clear();
    response_.keep_alive = false;
    return state_ = State::complete;
  }
  return fail(400);
}

HttpParser::State HttpParser::advance() {
  if (!head_complete_) {
    // Empty lines before a message are ignored, as RFC 9112 recommends.
    while (buffer_.starts_with("\r\n")) buffer_.erase(0, 2);
    const auto end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) {
      return buffer_.size() > limits_.max_head_bytes ? fail(431) : State::incomplete;
    }
    if (end > limits_.max_head_bytes) return fail(431);
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    if (!parse_head(head)) return fail(error_status_ != 0 ? error_status_ : 400);
    head_complete_ = true;
    if (kind_ == Kind::request && !has_content_length_) content_length_ = 0;
    if (kind_ == Kind::response && (response_.status == 204 || response_.status == 304)) {
      has_content_length_ = true;
      content_length_ = 0;
    }
  }
  if (chunked_) return read_chunks();
  if (kind_ == Kind::response && !has_content_length_) {
    return buffer_.size() > limits_.max_body_bytes ? fail(413) : State::incomplete;
  }
  if (content_length_ > limits_.max_body_bytes) return fail(413);
  if (buffer_.size() < content_length_) return State::incomplete;
  auto& body = kind_ == Kind::request ? request_.body : response_.body;
  if (buffer_.size() == content_length_) {
    body = std::move(buffer_);
    buffer_.clear();
  } else {
    body = buffer_.substr(0, content_length_);
    buffer_.erase(0, content_length_);
  }
  return state_ = State::complete;
}

HttpParser::State HttpParser::read_chunks() {
  auto& body = kind_ == Kind::request ? request_.body : response_.body;
  for (;;) {
    const auto line_end = buffer_.find("\r\n");
    if (line_end == std::string::npos) {
      return buffer_.size() > limits_.max_head_bytes ? fail(400) : State::incomplete;
    }
    std::string_view line(buffer_.data(), line_end);
    std::size_t size = 0;
    if (!parse_number(trim(line.substr(0, line.find(';'))), size, 16)) return fail(400);
    if (size > limits_.max_body_bytes || body.size() + size > limits_.max_body_bytes)
      return fail(413);
    if (size == 0) {
      // Trailers are read and discarded.
      const auto end = buffer_.find("\r\n\r\n", line_end);
      if (buffer_.size() >= line_end + 4 && buffer_.compare(line_end, 4, "\r\n\r\n") == 0) {
        buffer_.erase(0, line_end + 4);
      } else if (end != std::string::npos) {
        buffer_.erase(0, end + 4);
      } else {
        return buffer_.size() > limits_.max_head_bytes ? fail(400) : State::incomplete;
      }
      return state_ = State::complete;
    }
    if (buffer_.size() < line_end + 2 + size + 2) return State::incomplete;
    if (buffer_.compare(line_end + 2 + size, 2, "\r\n") != 0) return fail(400);
    body.append(buffer_, line_end + 2, size);
    buffer_.erase(0, line_end + 2 + size + 2);
  }
}

bool HttpParser::parse_head(std::string_view head) {
  auto line_end = head.find("\r\n");
  if (!parse_start_line(head.substr(0, line_end))) return false;
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    if (!parse_header(head.substr(0, line_end))) return false;
  }
  if (chunked_ && has_content_length_) return false;  // conflicting lengths allow request smuggling
  return true;
}

bool HttpParser::parse_start_line(std::string_view line) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (kind_ == Kind::response) {
    if (!line.starts_with("HTTP/1.") || line.size() < first + 4) return false;
    is_http_1_0_ = line.substr(0, first) == "HTTP/1.0";
    response_.keep_alive = !is_http_1_0_;
    return parse_number(line.substr(first + 1, 3), response_.status);
  }
  const auto last = line.rfind(' ');
  const auto version = line.substr(last + 1);
  if (last == first || (version != "HTTP/1.1" && version != "HTTP/1.0")) return false;
  is_http_1_0_ = version == "HTTP/1.0";
  request_.keep_alive = !is_http_1_0_;
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, last - first - 1);
  if (!is_token(method) || target.empty() || target.front() != '/') return false;
  if (std::any_of(target.begin(), target.end(), [](char c) { return c <= ' ' || c == 127; })) {
    return false;
  }
  request_.method = method;
  const auto question_mark = target.find('?');
  request_.path = target.substr(0, question_mark);
  if (question_mark != std::string_view::npos) request_.query = target.substr(question_mark + 1);
  return true;
}

bool HttpParser::parse_header(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  const auto name = line.substr(0, colon);
  const auto value = trim(line.substr(colon + 1));
  if (equals_ignoring_case(name, "content-length")) {
    std::size_t length = 0;
    if (!parse_number(value, length) || (has_content_length_ && length != content_length_))
      return false;
    has_content_length_ = true;
    content_length_ = length;
  } else if (equals_ignoring_case(name, "transfer-encoding")) {
    if (!equals_ignoring_case(value, "chunked")) {
      error_status_ = 501;
      return false;
    }
    chunked_ = true;
  } else if (equals_ignoring_case(name, "connection")) {
    bool& keep_alive = kind_ == Kind::request ? request_.keep_alive : response_.keep_alive;
    if (equals_ignoring_case(value, "close")) keep_alive = false;
    if (equals_ignoring_case(value, "keep-alive")) keep_alive = true;
  } else if (equals_ignoring_case(name, "retry-after")) {
    if (!parse_number(value, response_.retry_after_s)) response_.retry_after_s = 0;
  }
  return true;
}

std::string serialize(const Request& request, std::string_view host) {
  std::string out;
  out.reserve(128 + request.body.size());
  out.append(request.method).append(" ").append(request.path);
  if (!request.query.empty()) out.append("?").append(request.query);
  out.append(" HTTP/1.1\r\nHost: ").append(host);
  if (!request.body.empty()) out.append("\r\nContent-Type: application/json");
  if (!request.keep_alive) out.append("\r\nConnection: close");
  if (!request.body.empty() || request.method == "POST") {
    out.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
  }
  return out.append("\r\n\r\n").append(request.body);
}

std::string serialize(const Response& response) {
  std::string out;
  out.reserve(128 + response.body.size());
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  out.append(reason_phrase(response.status));
  if (!response.body.empty()) out.append("\r\nContent-Type: application/json");
  if (!response.allow.empty()) out.append("\r\nAllow: ").append(response.allow);
  if (response.retry_after_s > 0) {
    out.append("\r\nRetry-After: ").append(std::to_string(response.retry_after_s));
  }
  if (!response.keep_alive) out.append("\r\nConnection: close");
  out.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
  return out.append("\r\n\r\n").append(response.body);
}

std::string query_field(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto ampersand = query.find('&');
    const auto field = query.substr(0, ampersand);
    const auto equals = field.find('=');
    if (field.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(field.substr(equals + 1));
    }
    if (ampersand == std::string_view::npos) break;
    query.remove_prefix(ampersand + 1);
  }
  return {};
}

}  // namespace cranklock::net
