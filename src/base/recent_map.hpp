// Map of bounded size that evicts the least recently written entry.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace cranklock::base {

/// Holds at most `capacity` values by name. Writing a value makes its entry the newest. A new name
/// in a full map evicts the oldest entry alone, so that one more name never clears the whole cache.
template <typename Value>
class RecentMap {
 public:
  explicit RecentMap(std::size_t capacity) : capacity_(capacity) {}

  void put(const std::string& name, Value value) {
    if (const auto found = by_name_.find(name); found != by_name_.end()) {
      found->second->value = std::move(value);
      entries_.splice(entries_.end(), entries_, found->second);
      return;
    }
    if (by_name_.size() >= capacity_) {
      by_name_.erase(entries_.front().name);
      entries_.pop_front();
    }
    entries_.push_back({name, std::move(value)});
    by_name_.emplace(name, std::prev(entries_.end()));
  }

  /// Returns null if the name was never written or its entry has been evicted.
  const Value* find(const std::string& name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : &found->second->value;
  }

  std::size_t size() const { return by_name_.size(); }

 private:
  struct Entry {
    std::string name;
    Value value;
  };

  std::size_t capacity_;
  std::list<Entry> entries_;  ///< oldest first
  std::unordered_map<std::string, typename std::list<Entry>::iterator> by_name_;
};

}  // namespace cranklock::base
