// Stand-in for the state service, as PROTOCOL ("Controller nodes -> state service") describes it.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "http.hpp"
#include "record.hpp"

namespace review {

inline std::string to_text(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

inline std::string query_field(const std::string& query, const std::string& name) {
  const std::string padded = "&" + query + "&";
  const auto at = padded.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const auto from = at + name.size() + 2;
  return padded.substr(from, padded.find('&', from) - from);
}

class StateService {
 public:
  struct Limits {
    double rps = 100, write_rps = 30, value_kb = 8;
    int txn_ops = 12;
  };

  StateService(Record& record, Limits limits)
      : record_(record), limits_(limits), server_([this](const Request& r) { return handle(r); }) {
    requests_ = limits_.rps;
    writes_ = limits_.write_rps;
  }
  ~StateService() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }

  std::string address() const { return server_.address(); }
  /// Lowers the limits; what is stored stays readable.
  void set_limits(Limits limits) {
    const std::lock_guard lock(mutex_);
    limits_ = limits;
  }
  /// Time that the service takes for each response.
  void set_latency(double seconds) { latency_s_ = seconds; }
  /// Bytes of the value as stored; 0: no such key.
  std::size_t value_bytes(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.data.size();
  }
  std::string value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto found = values_.find(key);
    return found == values_.end() ? "" : found->second.data;
  }

 private:
  struct Value {
    std::string data;
    std::uint64_t mark = 0, hold = 0;
  };
  struct Change {
    std::string key, data;  ///< without data: removed
    std::uint64_t mark = 0;
    bool removed = false;
  };
  struct Lease {
    double life_s = 0, ends_at = 0;
  };

  Response handle(const Request& request) {
    sleep_s(latency_s_);
    std::unique_lock lock(mutex_);
    expire_leases();
    if (!take(requests_, limits_.rps, requests_at_, 1)) return {429, R"({"error":"too many"})"};
    if (request.path == "/txn") return transact(request.body);
    if (request.path == "/follow") return follow(request, lock);
    if (request.path == "/store") return list(request);
    if (request.path.starts_with("/store/")) return read(request.path.substr(7));
    if (request.path.starts_with("/leases")) return lease(request);
    return {400, R"({"error":"no such path"})"};
  }

  static bool take(double& level, double rate, double& at, double count) {
    const double time = now();
    if (at > 0) level = std::min(rate, level + (time - at) * rate);
    at = time;
    if (level < count) return false;
    level -= count;
    return true;
  }

  void expire_leases() {
    const double time = now();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends_at > time) {
        ++it;
        continue;
      }
      end_lease(it->first);
      it = leases_.erase(it);
    }
  }
  void end_lease(std::uint64_t id) {
    for (auto it = values_.begin(); it != values_.end();) {
      if (it->second.hold != id) {
        ++it;
        continue;
      }
      ++revision_;
      log_.push_back({it->first, "", revision_, true});
      it = values_.erase(it);
    }
    changed_.notify_all();
  }

  std::string turn() const { return "\"LedgerTurn\":" + std::to_string(revision_); }

  Response read(const std::string& key) {
    const auto found = values_.find(key);
    if (found == values_.end()) return {404, "{" + turn() + "}"};
    std::string body = "{\"K\":\"" + key + "\",\"Data\":" + found->second.data +
                       ",\"Mark\":" + std::to_string(found->second.mark);
    if (found->second.hold != 0) body += ",\"Hold\":" + std::to_string(found->second.hold);
    return {200, body + "}"};
  }

  Response list(const Request& request) {
    const std::string under = query_field(request.query, "Under");
    const std::string since = query_field(request.query, "Since");
    const std::string most_text = query_field(request.query, "Most");
    const std::size_t most = most_text.empty() ? 1000 : std::min(1000UL, std::stoul(most_text));
    std::string rows;
    std::size_t count = 0;
    bool more = false;
    for (auto it = since.empty() ? values_.lower_bound(under) : values_.upper_bound(since);
         it != values_.end() && it->first.starts_with(under); ++it) {
      if (count == most || rows.size() > 500 * 1024) {
        more = true;
        break;
      }
      rows += std::string(count++ == 0 ? "" : ",") + "{\"K\":\"" + it->first +
              "\",\"Data\":" + it->second.data + ",\"Mark\":" + std::to_string(it->second.mark) +
              "}";
    }
    return {200, "{\"Rows\":[" + rows + "],\"HasNext\":" + (more ? "true" : "false") + "," +
                     turn() + "}"};
  }

  Response transact(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.c_str());
    if (document.HasParseError() || !document.IsObject() || body.size() > 64 * 1024)
      return {400, R"({"error":"malformed"})"};
    const bool has_then = document.HasMember("Then") && document["Then"].IsArray();
    const std::size_t changes = has_then ? document["Then"].Size() : 0;
    const std::size_t conditions = document.HasMember("If") ? document["If"].Size() : 0;
    if (changes > static_cast<std::size_t>(limits_.txn_ops) ||
        conditions > 4 * static_cast<std::size_t>(limits_.txn_ops)) {
      record_.line("state service: 400, a transaction of " + std::to_string(changes) + " changes");
      return {400, R"({"error":"transaction too large"})"};
    }
    if (changes > 0 && !take(writes_, limits_.write_rps, writes_at_, static_cast<double>(changes)))
      return {429, R"({"error":"too many changes"})"};
    for (std::size_t i = 0; i < changes; ++i) {
      const auto& change = document["Then"][static_cast<rapidjson::SizeType>(i)];
      if (!change.HasMember("Write")) continue;
      const auto bytes = to_text(change["Data"]).size();
      if (static_cast<double>(bytes) > limits_.value_kb * 1024) {
        record_.line("state service: 400, a value of " + std::to_string(bytes) + " bytes for " +
                     change["Write"].GetString());
        return {400, R"({"error":"value too large"})"};
      }
      if (change.HasMember("Hold") && change["Hold"].GetUint64() != 0 &&
          !leases_.contains(change["Hold"].GetUint64())) {
        return {400, R"({"error":"no such lease"})"};
      }
    }
    std::string failed;
    for (std::size_t i = 0; i < conditions; ++i) {
      const auto& condition = document["If"][static_cast<rapidjson::SizeType>(i)];
      const std::string key = condition["K"].GetString();
      const auto found = values_.find(key);
      const std::uint64_t mark = found == values_.end() ? 0 : found->second.mark;
      if (mark != condition["Mark"].GetUint64())
        failed += (failed.empty() ? "\"" : ",\"") + key + "\"";
    }
    if (!failed.empty()) return {409, "{\"failed\":[" + failed + "]," + turn() + "}"};
    if (changes == 0) return {200, "{" + turn() + "}"};
    ++revision_;
    for (std::size_t i = 0; i < changes; ++i) {
      const auto& change = document["Then"][static_cast<rapidjson::SizeType>(i)];
      if (change.HasMember("Write")) {
        const std::string key = change["Write"].GetString();
        const std::uint64_t hold = change.HasMember("Hold") ? change["Hold"].GetUint64() : 0;
        values_[key] = {to_text(change["Data"]), revision_, hold};
        log_.push_back({key, values_[key].data, revision_, false});
      } else {
        const std::string key = change["Remove"].GetString();
        if (values_.erase(key) > 0) log_.push_back({key, "", revision_, true});
      }
    }
    while (log_.size() > 10000) {
      compacted_ = log_.front().mark;
      log_.pop_front();
    }
    changed_.notify_all();
    return {200, "{" + turn() + "}"};
  }

  Response follow(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::string under = query_field(request.query, "Under");
    const std::uint64_t since = std::stoull(query_field(request.query, "Since"));
    const std::string hold = query_field(request.query, "HoldMs");
    const double until = now() + (hold.empty() ? 0.0 : std::stod(hold) / 1000);
    for (;;) {
      if (since < compacted_) return {410, "{" + turn() + "}"};
      std::string news;
      for (const Change& change : log_) {
        if (change.mark <= since || !change.key.starts_with(under)) continue;
        news += std::string(news.empty() ? "" : ",");
        news += change.removed ? "{\"Remove\":\"" + change.key + "\""
                               : "{\"Write\":\"" + change.key + "\",\"Data\":" + change.data;
        news += ",\"Mark\":" + std::to_string(change.mark) + "}";
      }
      if (!news.empty() || now() >= until || stopping_)
        return {200, "{" + turn() + ",\"News\":[" + news + "]}"};
      changed_.wait_for(lock, std::chrono::duration<double>(std::min(0.05, until - now())));
      expire_leases();
    }
  }

  Response lease(const Request& request) {
    if (request.path == "/leases") {
      rapidjson::Document document;
      document.Parse(request.body.c_str());
      if (document.HasParseError() || !document.IsObject() || !document.HasMember("LifeMs"))
        return {400, "{}"};
      const double life_s = document["LifeMs"].GetDouble() / 1000;
      leases_[++last_lease_] = {life_s, now() + life_s};
      return {200, "{\"Hold\":" + std::to_string(last_lease_) + "}"};
    }
    const std::uint64_t id = std::stoull(request.path.substr(8));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return {404, "{}"};
    if (request.method == "DELETE") {
      leases_.erase(found);
      end_lease(id);
    } else {
      found->second.ends_at = now() + found->second.life_s;
    }
    return {200, "{\"Hold\":" + std::to_string(id) + "}"};
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::atomic<double> latency_s_{0.006};
  Limits limits_;
  double requests_ = 0, requests_at_ = 0, writes_ = 0, writes_at_ = 0;
  std::map<std::string, Value> values_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> log_;
  std::uint64_t revision_ = 1, compacted_ = 0, last_lease_ = 0;
  Server server_;
};

}  // namespace review
