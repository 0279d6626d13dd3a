// Stand-ins for a small deployment on loopback: state service, cloud, workers, users. Each does what
// PROTOCOL says and nothing else. Controllers run as separate processes, started with the command
// of the deploy file. Used by the cases 4 to 8.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using rapidjson::Value;

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// ---- record ----

inline std::FILE* record_file = nullptr;
inline std::mutex record_mutex;
inline void record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  for (std::FILE* out : {record_file, stdout}) {
    if (out == nullptr) continue;
    va_list arguments;
    va_start(arguments, format);
    std::fprintf(out, "%8.3f  ", now());
    std::vfprintf(out, format, arguments);
    std::fputc('\n', out);
    std::fflush(out);
    va_end(arguments);
  }
}

// ---- JSON ----

inline std::string text_of(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}
inline std::string quoted(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return {buffer.GetString(), buffer.GetSize()};
}
/// JSON is text in UTF-8 (RFC 8259); anything else is malformed.
inline bool parse(const std::string& text, rapidjson::Document& document) {
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                 rapidjson::kParseFullPrecisionFlag>(text.data(), text.size());
  return !document.HasParseError();
}
inline const Value* member(const Value& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  const auto found = object.FindMember(name);
  return found == object.MemberEnd() || found->value.IsNull() ? nullptr : &found->value;
}
inline std::string text_member(const Value& object, const char* name) {
  const Value* value = member(object, name);
  return value != nullptr && value->IsString() ? value->GetString() : "";
}
inline std::uint64_t count_member(const Value& object, const char* name, std::uint64_t other = 0) {
  const Value* value = member(object, name);
  return value != nullptr && value->IsUint64() ? value->GetUint64() : other;
}
inline double amount_member(const Value& object, const char* name, double other = 0) {
  const Value* value = member(object, name);
  return value != nullptr && value->IsNumber() ? value->GetDouble() : other;
}

// ---- HTTP ----

struct Request {
  std::string method, path, query, body;
};
struct Response {
  int status = 0;  ///< 0: none
  std::string body;
  int retry_after_s = 0;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int listen_on_free_port(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
/// A free port for a controller: below the range from which systems usually take the ports of outgoing
/// connections. It stays bound here, without listening, so that no other case takes it; with
/// SO_REUSEADDR on both sockets the controller can bind it as well and listen.
inline int free_port() {
  static unsigned seed = static_cast<unsigned>(::getpid()) * 7919u;
  for (;;) {
    const int port = 10000 + rand_r(&seed) % 20000;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      const int one = 1;
      ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      return port;
    }
    ::close(fd);
  }
}

/// Reads one message; returns false at the end of the stream or the deadline.
struct MessageReader {
  int fd;
  std::string buffer;
  bool read(std::string& head, std::string& body, double deadline) {
    std::size_t end = 0, length = 0;
    bool have_head = false;
    for (;;) {
      if (!have_head && (end = buffer.find("\r\n\r\n")) != std::string::npos) {
        have_head = true;
        head = buffer.substr(0, end);
        std::string lower = head;
        for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const auto field = lower.find("\r\ncontent-length:");
        if (field != std::string::npos) length = std::strtoul(lower.c_str() + field + 17, nullptr, 10);
      }
      if (have_head && buffer.size() >= end + 4 + length) {
        body = buffer.substr(end + 4, length);
        buffer.erase(0, end + 4 + length);
        return true;
      }
      const double left = deadline - now();
      if (left <= 0) return false;
      pollfd waiting{fd, POLLIN, 0};
      if (::poll(&waiting, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1) <= 0) return false;
      char bytes[16384];
      const auto n = ::recv(fd, bytes, sizeof bytes, 0);
      if (n <= 0) return false;
      buffer.append(bytes, static_cast<std::size_t>(n));
    }
  }
};
inline bool send_all(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Serves requests on a free loopback port, one thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = listen_on_free_port(port);
    std::thread([this] { accept_all(); }).detach();
  }
  int port = 0;
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    MessageReader reader{fd, {}};
    std::string head, body;
    while (reader.read(head, body, now() + 3600)) {
      Request request;
      std::istringstream line(head.substr(0, head.find("\r\n")));
      std::string target;
      line >> request.method >> target;
      const auto mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) request.query = target.substr(mark + 1);
      request.body = std::move(body);
      const Response response = handler_(request);
      if (response.status == 0) break;
      if (!send_all(fd, "HTTP/1.1 " + std::to_string(response.status) +
                            " X\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
        break;
    }
    ::close(fd);
  }
  Handler handler_;
  int listener_ = -1;
};

inline std::string query_field(const std::string& query, const std::string& name) {
  std::istringstream fields(query);
  for (std::string field; std::getline(fields, field, '&');) {
    if (field.rfind(name + "=", 0) == 0) return field.substr(name.size() + 1);
  }
  return "";
}

/// One request on a connection of its own. Status 0: refused, reset or not answered in time.
inline Response call(int port, const std::string& method, const std::string& path,
                     const std::string& body, double timeout_s) {
  const double deadline = now() + timeout_s;
  Response response;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n" +
                       "Content-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
    MessageReader reader{fd, {}};
    std::string head;
    if (reader.read(head, response.body, deadline)) {
      response.status = std::atoi(head.c_str() + head.find(' '));
      const auto field = head.find("Retry-After:");
      if (field != std::string::npos) response.retry_after_s = std::atoi(head.c_str() + field + 12);
    }
  }
  ::close(fd);
  return response;
}

// ---- settings, those of the example in DEPLOY unless a case says otherwise ----

struct Settings {
  int nodes = 3;
  std::vector<std::string> zones{"caerdydd"};
  int teams = 4;
  double team_gpus = 24, team_gpus_max = 150;
  double report_s = 3, lease_s = 29, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 49;
  double rps = 100, write_rps = 30, value_kb = 8;
  int txn_ops = 12;
  double cloud_rps = 5, list_lag_s = 8;
  double ready_s = 45;  ///< nominal boot time of the machine type
};

// ---- state service ----

class StateService {
 public:
  explicit StateService(const Settings& settings)
      : settings_(settings), server_([this](const Request& r) { return handle(r); }) {
    request_tokens_ = settings.rps;
    write_tokens_ = settings.write_rps;
  }
  std::string address() const { return server_.address(); }
  std::atomic<double> delay_s{0};      ///< added to every answer
  std::atomic<int> refused_as_malformed{0}, refused_by_rate{0};

 private:
  struct Entry {
    std::string data;
    std::uint64_t mark = 0, hold = 0;
  };
  struct Change {
    std::string key, data;
    std::uint64_t mark;
    bool removed;
  };
  struct Lease {
    double life_s, ends;
  };

  bool take(double& tokens, double rate, double amount) {
    tokens = std::min(rate, tokens + (now() - tokens_at_) * rate);
    return tokens >= amount ? (tokens -= amount, true) : false;
  }
  bool allow(double requests, double writes) {
    const bool ok = take(request_tokens_, settings_.rps, requests) &&
                    (writes == 0 || take(write_tokens_, settings_.write_rps, writes));
    if (writes == 0) write_tokens_ = std::min(settings_.write_rps, write_tokens_ + (now() - tokens_at_) * settings_.write_rps);
    tokens_at_ = now();
    if (!ok) ++refused_by_rate;
    return ok;
  }
  void end_leases() {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.ends > now()) {
        ++lease;
        continue;
      }
      remove_held(lease->first);
      lease = leases_.erase(lease);
    }
  }
  void remove_held(std::uint64_t hold) {
    std::vector<std::string> held;
    for (const auto& [key, entry] : entries_)
      if (entry.hold == hold) held.push_back(key);
    if (held.empty()) return;
    ++turn_;
    for (const auto& key : held) erase(key);
    changed_.notify_all();
  }
  void erase(const std::string& key) {
    if (entries_.erase(key) > 0) add_change({key, "", turn_, true});
  }
  void add_change(Change change) {
    changes_.push_back(std::move(change));
    while (changes_.size() > 10000) {
      dropped_ = changes_.front().mark;
      changes_.pop_front();
    }
  }
  std::string turn_text() const { return "\"LedgerTurn\":" + std::to_string(turn_); }

  Response handle(const Request& request) {
    sleep_s(delay_s);
    std::unique_lock lock(mutex_);
    end_leases();
    if (request.path == "/txn") return transact(request);
    if (!allow(1, 0)) return {429, "{}"};
    if (request.path == "/follow") return follow(request, lock);
    if (request.path == "/store") return range(request);
    if (request.path.rfind("/store/", 0) == 0) {
      const auto found = entries_.find(request.path.substr(7));
      if (found == entries_.end()) return {404, "{" + turn_text() + "}"};
      return {200, row(found->first, found->second)};
    }
    if (request.path.rfind("/leases", 0) == 0) return lease(request);
    return {400, "{}"};
  }
  static std::string row(const std::string& key, const Entry& entry) {
    return "{\"K\":" + quoted(key) + ",\"Data\":" + entry.data +
           ",\"Mark\":" + std::to_string(entry.mark) +
           (entry.hold != 0 ? ",\"Hold\":" + std::to_string(entry.hold) : "") + "}";
  }
  Response range(const Request& request) {
    const std::string under = query_field(request.query, "Under");
    const std::string since = query_field(request.query, "Since");
    const std::string most_text = query_field(request.query, "Most");
    const std::size_t most = std::min<std::size_t>(most_text.empty() ? 1000 : std::stoul(most_text), 1000);
    std::string rows;
    std::size_t count = 0;
    bool more = false;
    for (auto it = entries_.lower_bound(under); it != entries_.end(); ++it) {
      if (it->first.rfind(under, 0) != 0) break;
      if (!since.empty() && it->first <= since) continue;
      const std::string text = row(it->first, it->second);
      if (count >= most || rows.size() + text.size() > 500 * 1024) {
        more = true;
        break;
      }
      rows += (count++ > 0 ? "," : "") + text;
    }
    return {200, "{\"Rows\":[" + rows + "],\"HasNext\":" + (more ? "true" : "false") + "," + turn_text() + "}"};
  }
  Response follow(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::string under = query_field(request.query, "Under");
    const std::uint64_t since = std::stoull("0" + query_field(request.query, "Since"));
    const double ends = now() + std::min(std::stod("0" + query_field(request.query, "HoldMs")), 60000.0) / 1000;
    for (;;) {
      if (since < dropped_) return {410, "{}"};
      std::string news;
      for (auto change = changes_.rbegin(); change != changes_.rend() && change->mark > since; ++change) {
        if (change->key.rfind(under, 0) != 0) continue;
        const std::string text =
            change->removed ? "{\"Remove\":" + quoted(change->key) + ",\"Mark\":" + std::to_string(change->mark) + "}"
                            : "{\"Write\":" + quoted(change->key) + ",\"Data\":" + change->data +
                                  ",\"Mark\":" + std::to_string(change->mark) + "}";
        news = text + (news.empty() ? "" : ",") + news;
      }
      if (!news.empty() || now() >= ends) return {200, "{" + turn_text() + ",\"News\":[" + news + "]}"};
      changed_.wait_for(lock, std::chrono::duration<double>(std::min(ends - now() + 0.001, 0.1)));
      end_leases();
    }
  }
  Response lease(const Request& request) {
    if (request.path == "/leases") {
      rapidjson::Document body;
      if (!parse(request.body, body)) return {400, "{}"};
      const double life_s = static_cast<double>(count_member(body, "LifeMs")) / 1000;
      if (life_s < 0.1 || life_s > 600) return {400, "{}"};
      leases_[++last_hold_] = {life_s, now() + life_s};
      return {200, "{\"Hold\":" + std::to_string(last_hold_) + "}"};
    }
    const std::uint64_t hold = std::stoull("0" + request.path.substr(8));
    const auto found = leases_.find(hold);
    if (found == leases_.end()) return {404, "{}"};
    if (request.method == "DELETE") {
      leases_.erase(found);
      remove_held(hold);
    } else {
      found->second.ends = now() + found->second.life_s;
    }
    return {200, "{\"Hold\":" + std::to_string(hold) + "}"};
  }
  Response malformed(const char* why) {
    ++refused_as_malformed;
    record("state service: 400 to a transaction: %s", why);
    return {400, "{\"error\":\"malformed\"}"};
  }
  Response transact(const Request& request) {
    rapidjson::Document body;
    if (request.body.size() > 64 * 1024) return malformed("over 64 KiB");
    if (!parse(request.body, body) || !body.IsObject()) return malformed("not JSON in UTF-8");
    const Value* conditions = member(body, "If");
    const Value* changes = member(body, "Then");
    const std::size_t change_count = changes != nullptr ? changes->Size() : 0;
    if (!allow(1, static_cast<double>(change_count))) return {429, "{}"};
    if (change_count > static_cast<std::size_t>(settings_.txn_ops)) return malformed("too many changes");
    if (conditions != nullptr && conditions->Size() > 4u * static_cast<unsigned>(settings_.txn_ops))
      return malformed("too many conditions");
    for (std::size_t i = 0; i < change_count; ++i) {
      const Value& change = (*changes)[static_cast<rapidjson::SizeType>(i)];
      const Value* data = member(change, "Data");
      if (data != nullptr && static_cast<double>(text_of(*data).size()) > settings_.value_kb * 1024)
        return malformed("value too long");
      const std::uint64_t hold = count_member(change, "Hold");
      if (hold != 0 && leases_.find(hold) == leases_.end()) return {400, "{\"error\":\"no such lease\"}"};
    }
    std::string failed;
    if (conditions != nullptr) {
      for (const auto& condition : conditions->GetArray()) {
        const std::string key = text_member(condition, "K");
        const auto found = entries_.find(key);
        const std::uint64_t mark = found == entries_.end() ? 0 : found->second.mark;
        if (mark != count_member(condition, "Mark")) failed += (failed.empty() ? "" : ",") + quoted(key);
      }
    }
    if (!failed.empty()) return {409, "{\"failed\":[" + failed + "]," + turn_text() + "}"};
    if (change_count > 0) ++turn_;
    for (std::size_t i = 0; i < change_count; ++i) {
      const Value& change = (*changes)[static_cast<rapidjson::SizeType>(i)];
      const std::string written = text_member(change, "Write");
      if (written.empty()) {
        erase(text_member(change, "Remove"));
        continue;
      }
      const Value* data = member(change, "Data");
      const std::string text = data != nullptr ? text_of(*data) : "null";
      entries_[written] = {text, turn_, count_member(change, "Hold")};
      add_change({written, text, turn_, false});
    }
    changed_.notify_all();
    return {200, "{" + turn_text() + "}"};
  }

  const Settings& settings_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t turn_ = 0, dropped_ = 0, last_hold_ = 0;
  double request_tokens_ = 0, write_tokens_ = 0, tokens_at_ = 0;
  Server server_;
};

// ---- jobs, as their users know them ----

struct Job {
  std::string id, kind = "batch", team = "tim-archebu-00", rank = "standard", gear = "cynhaeaf";
  int tasks = 1;
  double cpus = 8, gpus = 1, memory_gb = 50, image_gb = 1, run_s = 80;
  std::string image = "img-01";
  std::vector<std::string> needs;
  std::string body() const {
    std::string text = "{\"Id\":\"" + id + "\",\"Gear\":\"" + gear + "\",\"Crew\":\"" + team + "\",\"Shape\":\"" + kind +
                       "\",\"Rank\":\"" + rank + "\",\"Teeth\":" + std::to_string(tasks) +
                       ",\"Cpus\":" + std::to_string(cpus) + ",\"Accelerators\":" + std::to_string(gpus) +
                       ",\"MemGb\":" + std::to_string(memory_gb) + ",\"Cast\":\"" + image +
                       "\",\"SizeGb\":" + std::to_string(image_gb) +
                       ",\"Frames\":null,\"Yard\":null,\"OneZone\":false,\"Apart\":false,\"Loaners\":false,\"ExpectS\":" +
                       std::to_string(kind == "standing" ? 0.0 : run_s) + ",\"NotchS\":0.0,\"StowS\":0.0";
    if (!needs.empty()) {
      text += ",\"WaitsOn\":[";
      for (std::size_t i = 0; i < needs.size(); ++i) text += (i > 0 ? "," : "") + quoted(needs[i]);
      text += "]";
    }
    return text + "}";
  }
};
inline std::string job_id(int number) {
  char text[32];
  std::snprintf(text, sizeof text, "j-%06d", number);
  return text;
}

/// What the users uploaded, and what has run.
struct Jobs {
  std::mutex mutex;
  std::map<std::string, Job> known;
  std::map<std::string, std::set<int>> done;
  std::map<std::string, int> started, running;  ///< tasks that ever began to run; that run now
  std::map<std::pair<std::string, std::uint64_t>, int> gang_ready;  ///< tasks of an attempt with image
  void upload(const Job& job) {
    const std::lock_guard lock(mutex);
    known[job.id] = job;
  }
};

// ---- workers ----

struct Node {
  std::string name, zone;
  int port = 0, peer_port = 0;
  pid_t pid = -1;
};

class Worker {
 public:
  Worker(std::string id, std::string zone, const Settings& settings, Jobs& jobs, const std::vector<Node>& nodes)
      : id(std::move(id)), zone(std::move(zone)), settings_(settings), jobs_(jobs), nodes_(nodes),
        server_([this](const Request& r) { return handle(r); }), answered_(now()) {}
  void start() {
    std::thread([this] { report_all(); }).detach();
    std::thread([this] {
      for (;;) {
        sleep_s(0.05);
        advance();
      }
    }).detach();
  }
  std::string address() const { return server_.address(); }
  std::string id, zone, frame = "derwen";
  std::atomic<bool> gone{false};
  std::atomic<int> sessions{1};
  std::atomic<std::size_t> largest_report{0}, most_tasks{0};
  std::atomic<int> reports_answered{0}, reports_refused{0};
  std::atomic<int> last_refusal{0};

 private:
  struct Task {
    std::uint64_t crank;
    std::string state, cause;
    double since;
  };
  static std::pair<std::string, int> split(const std::string& tooth) {
    const auto slash = tooth.find('/');
    return {tooth.substr(0, slash), std::atoi(tooth.c_str() + slash + 1)};
  }
  // All below: with mutex_ held.
  std::string report() {
    std::string text = "{\"Rig\":\"" + id + "\",\"Address\":\"" + address() + "\",\"Frame\":\"" + frame + "\",\"Yard\":\"" +
                       zone + "\",\"Loaners\":false,\"Shift\":" + std::to_string(shift_) +
                       ",\"Tick\":" + std::to_string(++tick_) + ",\"KeyTurn\":" + std::to_string(key_) +
                       ",\"WarningS\":null,\"Teeth\":[";
    bool first = true;
    for (const auto& [tooth, task] : tasks_) {
      text += std::string(first ? "" : ",") + "{\"Tooth\":\"" + tooth + "\",\"Crank\":" + std::to_string(task.crank) +
              ",\"Stance\":\"" + task.state + "\"" + (task.cause.empty() ? "" : ",\"Cause\":\"" + task.cause + "\"") + "}";
      first = false;
    }
    most_tasks = std::max<std::size_t>(most_tasks, tasks_.size());
    return text + "]}";
  }
  void leave_running(const std::string& tooth, const Task& task) {
    if (task.state != "running") return;
    const std::lock_guard lock(jobs_.mutex);
    --jobs_.running[split(tooth).first];
  }
  void leave_gang(const std::string& tooth, const Task& task) {
    if (task.state != "waiting") return;
    const std::lock_guard lock(jobs_.mutex);
    --jobs_.gang_ready[{split(tooth).first, task.crank}];
  }
  void execute(const Value& orders) {
    for (const auto& order : orders.GetArray()) {
      const std::string verb = text_member(order, "Verb"), tooth = text_member(order, "Tooth");
      const std::uint64_t crank = count_member(order, "Crank");
      const auto held = tasks_.find(tooth);
      if (verb == "start") {
        if (held != tasks_.end() && held->second.crank == crank) continue;
        if (held != tasks_.end() && held->second.state != "exited") continue;  // busy; not met here
        bool known = false;
        {
          const std::lock_guard lock(jobs_.mutex);
          known = jobs_.known.count(split(tooth).first) > 0;
        }
        tasks_[tooth] = known ? Task{crank, "fetching", "", now()} : Task{crank, "exited", "no_such", now()};
      } else if (held != tasks_.end() && held->second.crank == crank) {
        if (verb == "kill" && held->second.state != "exited") {
          leave_running(tooth, held->second);
          leave_gang(tooth, held->second);
          held->second = {crank, "exited", "halted", now()};
        } else if (verb == "forget" && held->second.state == "exited") {
          tasks_.erase(held);
        }
      }
      changed_ = true;
    }
  }
  void advance() {
    const std::lock_guard lock(mutex_);
    if (gone) return;
    if (now() - answered_ > settings_.lease_s) {
      record("worker %s: lease ran out with %zu tasks on it, all killed", id.c_str(), tasks_.size());
      for (const auto& [tooth, task] : tasks_) {
        leave_running(tooth, task);
        leave_gang(tooth, task);
      }
      tasks_.clear();
      ++shift_;
      ++sessions;
      answered_ = now();
      changed_ = true;
    }
    for (auto& [tooth, task] : tasks_) {
      const auto [job_id, index] = split(tooth);
      if (task.state == "exited") continue;
      const std::lock_guard jobs_lock(jobs_.mutex);
      const Job& job = jobs_.known.at(job_id);
      if (task.state == "fetching" && now() - task.since > job.image_gb) {
        task = {task.crank, job.kind == "ensemble" ? "waiting" : "running", "", now()};
        if (job.kind == "ensemble") {
          ++jobs_.gang_ready[{job_id, task.crank}];
        } else {
          ++jobs_.started[job_id];
          ++jobs_.running[job_id];
        }
        changed_ = true;
      } else if (task.state == "waiting") {
        if (jobs_.gang_ready[{job_id, task.crank}] >= job.tasks) {
          task = {task.crank, "running", "", now()};
          ++jobs_.started[job_id];
          ++jobs_.running[job_id];
          changed_ = true;
        } else if (now() - task.since > settings_.gang_wait_s) {
          --jobs_.gang_ready[{job_id, task.crank}];
          task = {task.crank, "exited", "incomplete", now()};
          changed_ = true;
        }
      } else if (task.state == "running" && job.kind != "standing" && now() - task.since > job.run_s) {
        task = {task.crank, "exited", "done", now()};
        --jobs_.running[job_id];
        jobs_.done[job_id].insert(index);
        changed_ = true;
      }
    }
  }
  Response handle(const Request& request) {
    const std::lock_guard lock(mutex_);
    if (gone) return {};
    if (request.path == "/status") return {200, report()};
    rapidjson::Document body;
    if (!parse(request.body, body) || member(body, "KeyTurn") == nullptr || member(body, "Shift") == nullptr)
      return {400, "{}"};
    const std::uint64_t key = count_member(body, "KeyTurn");
    if (key < key_ || count_member(body, "Shift") != shift_) return {409, report()};
    if (key > key_) changed_ = true;
    key_ = key;
    if (const Value* orders = member(body, "Orders")) execute(*orders);
    return {200, report()};
  }
  void report_all() {
    std::size_t node = std::hash<std::string>{}(id) % nodes_.size();
    unsigned seed = static_cast<unsigned>(std::hash<std::string>{}(id));
    for (double last = -1e9;;) {
      const double interval = settings_.report_s * (0.75 + 0.5 * (rand_r(&seed) % 1000) / 1000.0);
      while (now() < last + interval && !(changed_ && now() > last + 0.5)) sleep_s(0.02);
      if (gone) return;
      std::string body;
      std::uint64_t shift = 0;
      {
        const std::lock_guard lock(mutex_);
        changed_ = false;
        body = report();
        shift = shift_;
      }
      last = now();
      largest_report = std::max<std::size_t>(largest_report, body.size());
      const Response answer = call(nodes_[node].port, "POST", "/checkin", body, 4);
      std::string foreman;
      if (answer.status == 200) {
        rapidjson::Document parsed;
        if (now() - last < 4 && parse(answer.body, parsed)) {
          const std::lock_guard lock(mutex_);
          const std::uint64_t key = count_member(parsed, "KeyTurn");
          if (key >= key_ && key > 0 && shift == shift_) {
            if (key > key_) changed_ = true;
            key_ = key;
            answered_ = std::max(answered_, last);
            ++reports_answered;
            if (const Value* orders = member(parsed, "Orders")) execute(*orders);
          }
        }
        continue;
      }
      if (answer.status != 421) {
        ++reports_refused;
        if (last_refusal.exchange(answer.status) != answer.status || answer.status == 413)
          record("worker %s: report of %zu bytes answered with %d by %s", id.c_str(), body.size(), answer.status,
                 nodes_[node].name.c_str());
      }
      if (answer.status == 421) {
        rapidjson::Document parsed;
        if (parse(answer.body, parsed)) foreman = text_member(parsed, "Foreman");
      }
      const auto named = std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& n) { return n.name == foreman; });
      if (named != nodes_.end() && static_cast<std::size_t>(named - nodes_.begin()) != node) {
        node = static_cast<std::size_t>(named - nodes_.begin());
        last = -1e9;
      } else {
        node = (node + 1) % nodes_.size();
        sleep_s(1);
        last = -1e9;
      }
    }
  }

  const Settings& settings_;
  Jobs& jobs_;
  const std::vector<Node>& nodes_;
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  std::uint64_t shift_ = 1, tick_ = 0, key_ = 0;
  std::atomic<bool> changed_{false};
  Server server_;
  double answered_;
};

// ---- the cloud: a fixed fleet that is up from the start, and no capacity beyond it ----

class Cloud {
 public:
  explicit Cloud(const Settings& settings) : settings_(settings), server_([this](const Request& r) { return handle(r); }) {}
  std::string address() const { return server_.address(); }
  std::vector<std::unique_ptr<Worker>> workers;
  std::mutex mutex;

 private:
  Response handle(const Request& request) {
    const std::lock_guard lock(mutex);
    if (request.path == "/machine_types") {
      std::string zones;
      for (const auto& zone : settings_.zones) zones += (zones.empty() ? "" : ",") + quoted(zone);
      return {200, "{\"Frames\":[{\"Label\":\"derwen\",\"Cpus\":96,\"Accelerators\":8,\"MemGb\":768,\"CacheGb\":600,"
                   "\"PullGbPerS\":1.0,\"Price\":27.84,\"SpotPrice\":10.28,\"ReadyS\":" +
                   std::to_string(settings_.ready_s) + ",\"Yards\":[" + zones + "]}]}"};
    }
    if (request.path == "/rentals" && request.method == "POST") return {503, "{\"error\":\"no capacity\"}"};
    if (request.path == "/rentals/delete") {
      rapidjson::Document body;
      if (!parse(request.body, body) || member(body, "Rigs") == nullptr) return {400, "{}"};
      for (const auto& name : member(body, "Rigs")->GetArray())
        for (auto& worker : workers)
          if (worker->id == name.GetString() && !worker->gone.exchange(true))
            record("cloud: machine %s deleted by request", worker->id.c_str());
      return {200, "{}"};
    }
    if (request.path == "/rentals") {
      const std::string since = query_field(request.query, "Since");
      const std::size_t most = std::stoul("0" + query_field(request.query, "Most"));
      std::string rows;
      std::size_t count = 0;
      bool more = false;
      for (const auto& worker : workers) {
        if (worker->gone || worker->id <= since) continue;
        if (count >= most) {
          more = true;
          break;
        }
        rows += std::string(count++ > 0 ? "," : "") + "{\"Id\":\"" + worker->id + "\",\"Address\":\"" + worker->address() +
                "\",\"Frame\":\"" + worker->frame + "\",\"Yard\":\"" + worker->zone +
                "\",\"Loaners\":false,\"Stance\":\"running\",\"HeldS\":" + std::to_string(now() + 300) + "}";
      }
      return {200, "{\"Rigs\":[" + rows + "],\"HasNext\":" + (more ? "true" : "false") + "}"};
    }
    return {400, "{}"};
  }
  const Settings& settings_;
  Server server_;
};

// ---- the deployment ----

class Deployment {
 public:
  explicit Deployment(Settings the_settings, int machines) : settings(the_settings), state(settings), cloud(settings) {
    char folder[] = "/tmp/cranklock-review-XXXXXX";
    folder_ = ::mkdtemp(folder);
    for (int i = 0; i < settings.nodes; ++i)
      nodes.push_back({"winch-" + std::to_string(i), settings.zones[static_cast<std::size_t>(i) % settings.zones.size()],
                       free_port(), free_port(), -1});
    for (int i = 0; i < machines; ++i) {
      char name[16];
      std::snprintf(name, sizeof name, "n-%06d", i + 1);
      cloud.workers.push_back(std::make_unique<Worker>(name, settings.zones[static_cast<std::size_t>(i) % settings.zones.size()],
                                                       settings, jobs, nodes));
    }
  }
  ~Deployment() { end(); }

  void start(const std::vector<std::string>& command) {
    command_ = command;
    for (std::size_t i = 0; i < nodes.size(); ++i) start_node(i);
    for (auto& worker : cloud.workers) worker->start();
  }
  void start_node(std::size_t index) {
    const std::lock_guard lock(processes_mutex_);
    if (ended_) return;
    Node& node = nodes[index];
    const std::string path = folder_ + "/" + node.name + ".toml";
    write_settings(path, node);
    std::vector<std::string> arguments = command_;
    arguments.push_back(path);
    const std::string log = folder_ + "/" + node.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 2);
      ::dup2(out, 1);
      ::setenv("LOG_LEVEL", std::getenv("CASE_LOG") != nullptr ? std::getenv("CASE_LOG") : "info", 1);
      std::vector<char*> argv;
      for (auto& argument : arguments) argv.push_back(argument.data());
      argv.push_back(nullptr);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    node.pid = pid;
    record("controller %s started (process %d)", node.name.c_str(), static_cast<int>(pid));
  }
  void kill_node(std::size_t index) {
    if (nodes[index].pid <= 0) return;
    ::kill(nodes[index].pid, SIGKILL);
    ::waitpid(nodes[index].pid, nullptr, 0);
    nodes[index].pid = -1;
    record("controller %s killed", nodes[index].name.c_str());
  }
  /// Waits until every node is ready and a leader serves; false if not within the time.
  bool wait_ready(double timeout_s) {
    const double deadline = now() + timeout_s;
    while (now() < deadline) {
      sleep_s(0.25);
      int ready = 0, answered = 0;
      for (const auto& node : nodes) ready += call(node.port, "GET", "/ready", "", 1).status == 200;
      for (const auto& worker : cloud.workers) answered += worker->reports_answered > 0;
      if (ready == static_cast<int>(nodes.size()) && answered == static_cast<int>(cloud.workers.size())) return true;
    }
    return false;
  }
  /// Whether a controller process has ended by itself.
  bool any_ended() {
    bool ended = false;
    for (auto& node : nodes) {
      int status = 0;
      if (node.pid > 0 && ::waitpid(node.pid, &status, WNOHANG) == node.pid) {
        record("controller %s ended by itself, wait status %d", node.name.c_str(), status);
        node.pid = -1;
        ended = true;
      }
    }
    return ended;
  }
  /// A user's request: the load balancer takes the nodes in turn, a connection for each request.
  Response user(const std::string& method, const std::string& path, const std::string& body, double timeout_s) {
    return call(nodes[next_node_++ % nodes.size()].port, method, path, body, timeout_s);
  }
  /// Submits as users do: retried after 1 s or Retry-After, for up to 60 s.
  Response submit(const Job& job) {
    jobs.upload(job);
    return submit_body(job.body());
  }
  Response submit_body(const std::string& body) {
    const double deadline = now() + 60;
    for (;;) {
      const Response response = user("POST", "/v1/jobs", body, 5);
      if (response.status == 201 || response.status == 200 || response.status == 400 || response.status == 422)
        return response;
      const double pause = std::max(1, std::min(response.retry_after_s, 30));
      if (now() + pause > deadline) return response;
      sleep_s(pause);
    }
  }
  Response poll(const std::string& id) { return user("GET", "/v1/jobs/" + id, "", 2); }

  void end() {
    const std::lock_guard lock(processes_mutex_);
    ended_ = true;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].pid <= 0) continue;
      ::kill(nodes[i].pid, SIGKILL);
      ::waitpid(nodes[i].pid, nullptr, 0);
      nodes[i].pid = -1;
    }
    if (folder_.empty()) return;
    if (std::getenv("CASE_KEEP") != nullptr) {
      record("settings and logs kept in %s", folder_.c_str());
    } else {
      for (const auto& node : nodes)
        for (const char* suffix : {".toml", ".log"}) ::unlink((folder_ + "/" + node.name + suffix).c_str());
      ::rmdir(folder_.c_str());
    }
    folder_.clear();
  }
  /// Lines of the controllers' logs that contain the text.
  std::vector<std::string> log_lines(const std::string& text) {
    std::vector<std::string> lines;
    for (const auto& node : nodes) {
      std::ifstream log(folder_ + "/" + node.name + ".log");
      for (std::string line; std::getline(log, line);)
        if (line.find(text) != std::string::npos) lines.push_back(node.name + ": " + line);
    }
    return lines;
  }

  Settings settings;
  Jobs jobs;
  std::vector<Node> nodes;
  StateService state;
  Cloud cloud;

 private:
  void write_settings(const std::string& path, const Node& own) {
    std::ofstream out(path);
    out << "member = \"" << own.name << "\"\nzone = \"" << own.zone << "\"\nlisten = \"127.0.0.1:" << own.port
        << "\"\npeer_listen = \"127.0.0.1:" << own.peer_port << "\"\n\n";
    for (const auto& other : nodes)
      if (other.name != own.name)
        out << "[[others]]\nmember = \"" << other.name << "\"\nzone = \"" << other.zone << "\"\naddress = \"127.0.0.1:"
            << other.peer_port << "\"\n\n";
    out << "[external]\ncloud = \"" << cloud.address() << "\"\nstate = \"" << state.address() << "\"\n\n[facts]\nnodes = "
        << settings.nodes << "\nzones = [";
    for (std::size_t i = 0; i < settings.zones.size(); ++i) out << (i > 0 ? ", " : "") << "\"" << settings.zones[i] << "\"";
    out << "]\nclock_error_ms = 1000.0\n\n";
    const auto amount = [](double value) { return std::to_string(value); };
    for (int i = 0; i < settings.teams; ++i)
      out << "[[facts.teams]]\nname = \"tim-archebu-0" << i << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = "
          << amount(settings.team_gpus) << "\ngpus_max = " << amount(settings.team_gpus_max) << "\n\n";
    out << "[facts.workers]\nreport_s = " << amount(settings.report_s) << "\nlease_s = " << amount(settings.lease_s)
        << "\ngang_wait_s = " << amount(settings.gang_wait_s) << "\ngang_peer_s = " << amount(settings.gang_peer_s)
        << "\ncancel_s = " << amount(settings.cancel_s) << "\n\n[facts.state]\nrps = " << amount(settings.rps)
        << "\nwrite_rps = " << amount(settings.write_rps) << "\nvalue_kb = " << amount(settings.value_kb)
        << "\ntxn_ops = " << settings.txn_ops << "\n\n[facts.cloud]\nrps = " << amount(settings.cloud_rps)
        << "\nlist_lag_s = " << amount(settings.list_lag_s)
        << "\n\n[facts.resources]\ncore_share = 0.04\nram_mb = 40.0\nfd_limit = 500\n";
  }
  std::mutex processes_mutex_;
  bool ended_ = false;
  std::string folder_;
  std::vector<std::string> command_;
  std::atomic<std::size_t> next_node_{0};
};

// ---- a case's main program ----

inline Deployment* running = nullptr;

/// Exit codes of a case.
enum Verdict { held = 0, broken = 1, not_run = 2 };

/// argv: the record's path, then the command that starts a controller.
inline int run_case(int argc, char** argv, int (*play)(const std::vector<std::string>&, bool trouble)) {
  if (argc < 3) return not_run;
  ::signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(argv[1], "w");
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
  now();
  record("%s the disruption", trouble ? "with" : "without");
  // Ends the run, and every process that it started, before the 120 s are over.
  std::thread([] {
    sleep_s(117);
    record("the case took too long");
    if (running != nullptr) running->end();
    ::_exit(not_run);
  }).detach();
  const int verdict = play({argv + 2, argv + argc}, trouble);
  record("verdict: %s", verdict == broken ? "the rule was broken" : verdict == held ? "the rule held" : "the case could not run");
  if (running != nullptr) running->end();
  std::fclose(record_file);
  record_file = nullptr;
  std::fflush(stdout);
  ::_exit(verdict);
}

}  // namespace world
