#include "net/http.hpp"

#include <algorithm>
#include <charconv>

namespace cranklock::net {
namespace {

bool same_name(std::string_view a, std::string_view b) {
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

template <typename N>
bool whole_number(std::string_view s, N& out, int base = 10) {
  const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), out, base);
  return ec == std::errc{} && end == s.data() + s.size() && !s.empty();
}

bool is_token(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

const char* reason(int status) {
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

HttpParser::State HttpParser::broken(int status) {
  error_ = status;
  return state_ = State::broken;
}

HttpParser::State HttpParser::feed(std::string_view bytes) {
  if (state_ == State::broken) return state_;
  buffer_.append(bytes);
  if (state_ == State::complete) return state_;
  return advance();
}

HttpParser::State HttpParser::next() {
  if (state_ != State::complete) return state_;
  state_ = State::more;
  head_done_ = chunked_ = has_length_ = old_version_ = false;
  length_ = 0;
  request_ = {};
  response_ = {};
  return buffer_.empty() ? state_ : advance();
}

HttpParser::State HttpParser::finish() {
  if (state_ != State::more) return state_;
  if (kind_ == Kind::response && head_done_ && !chunked_ && !has_length_) {
    response_.body = std::move(buffer_);
    buffer_.clear();
    response_.keep_alive = false;
    return state_ = State::complete;
  }
  return broken(400);
}

HttpParser::State HttpParser::advance() {
  if (!head_done_) {
    // Empty lines before a message are tolerated, as RFC 9112 advises.
    while (buffer_.starts_with("\r\n")) buffer_.erase(0, 2);
    const auto end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) {
      return buffer_.size() > limits_.head ? broken(431) : State::more;
    }
    if (end > limits_.head) return broken(431);
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    if (!parse_head(head)) return broken(error_ != 0 ? error_ : 400);
    head_done_ = true;
    if (kind_ == Kind::request && !has_length_) length_ = 0;
    if (kind_ == Kind::response && (response_.status == 204 || response_.status == 304)) {
      has_length_ = true;
      length_ = 0;
    }
  }
  if (chunked_) return read_chunks();
  if (kind_ == Kind::response && !has_length_) {
    return buffer_.size() > limits_.body ? broken(413) : State::more;
  }
  if (length_ > limits_.body) return broken(413);
  if (buffer_.size() < length_) return State::more;
  auto& body = kind_ == Kind::request ? request_.body : response_.body;
  if (buffer_.size() == length_) {
    body = std::move(buffer_);
    buffer_.clear();
  } else {
    body = buffer_.substr(0, length_);
    buffer_.erase(0, length_);
  }
  return state_ = State::complete;
}

HttpParser::State HttpParser::read_chunks() {
  auto& body = kind_ == Kind::request ? request_.body : response_.body;
  for (;;) {
    const auto line_end = buffer_.find("\r\n");
    if (line_end == std::string::npos) {
      return buffer_.size() > limits_.head ? broken(400) : State::more;
    }
    std::string_view line(buffer_.data(), line_end);
    std::size_t size = 0;
    if (!whole_number(trim(line.substr(0, line.find(';'))), size, 16)) return broken(400);
    if (size > limits_.body || body.size() + size > limits_.body) return broken(413);
    if (size == 0) {
      // Trailers are read and dropped.
      const auto end = buffer_.find("\r\n\r\n", line_end);
      if (buffer_.size() >= line_end + 4 && buffer_.compare(line_end, 4, "\r\n\r\n") == 0) {
        buffer_.erase(0, line_end + 4);
      } else if (end != std::string::npos) {
        buffer_.erase(0, end + 4);
      } else {
        return buffer_.size() > limits_.head ? broken(400) : State::more;
      }
      return state_ = State::complete;
    }
    if (buffer_.size() < line_end + 2 + size + 2) return State::more;
    if (buffer_.compare(line_end + 2 + size, 2, "\r\n") != 0) return broken(400);
    body.append(buffer_, line_end + 2, size);
    buffer_.erase(0, line_end + 2 + size + 2);
  }
}

bool HttpParser::parse_head(std::string_view head) {
  auto line_end = head.find("\r\n");
  if (!parse_start(head.substr(0, line_end))) return false;
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    if (!parse_header(head.substr(0, line_end))) return false;
  }
  if (chunked_ && has_length_) return false;  // two lengths: request smuggling
  return true;
}

bool HttpParser::parse_start(std::string_view line) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (kind_ == Kind::response) {
    if (!line.starts_with("HTTP/1.") || line.size() < first + 4) return false;
    old_version_ = line.substr(0, first) == "HTTP/1.0";
    response_.keep_alive = !old_version_;
    return whole_number(line.substr(first + 1, 3), response_.status);
  }
  const auto last = line.rfind(' ');
  const auto version = line.substr(last + 1);
  if (last == first || (version != "HTTP/1.1" && version != "HTTP/1.0")) return false;
  old_version_ = version == "HTTP/1.0";
  request_.keep_alive = !old_version_;
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, last - first - 1);
  if (!is_token(method) || target.empty() || target.front() != '/') return false;
  if (std::any_of(target.begin(), target.end(), [](char c) { return c <= ' ' || c == 127; })) {
    return false;
  }
  request_.method = method;
  const auto mark = target.find('?');
  request_.path = target.substr(0, mark);
  if (mark != std::string_view::npos) request_.query = target.substr(mark + 1);
  return true;
}

bool HttpParser::parse_header(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  const auto name = line.substr(0, colon);
  const auto value = trim(line.substr(colon + 1));
  if (same_name(name, "content-length")) {
    std::size_t n = 0;
    if (!whole_number(value, n) || (has_length_ && n != length_)) return false;
    has_length_ = true;
    length_ = n;
  } else if (same_name(name, "transfer-encoding")) {
    if (!same_name(value, "chunked")) {
      error_ = 501;
      return false;
    }
    chunked_ = true;
  } else if (same_name(name, "connection")) {
    bool& keep = kind_ == Kind::request ? request_.keep_alive : response_.keep_alive;
    if (same_name(value, "close")) keep = false;
    if (same_name(value, "keep-alive")) keep = true;
  } else if (same_name(name, "retry-after")) {
    if (!whole_number(value, response_.retry_after_s)) response_.retry_after_s = 0;
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
  out.append(reason(response.status));
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
    const auto amp = query.find('&');
    const auto field = query.substr(0, amp);
    const auto eq = field.find('=');
    if (field.substr(0, eq) == name && eq != std::string_view::npos) {
      return std::string(field.substr(eq + 1));
    }
    if (amp == std::string_view::npos) break;
    query.remove_prefix(amp + 1);
  }
  return {};
}

}  // namespace cranklock::net
