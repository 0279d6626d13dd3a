// A map of bounded size that forgets what was written longest ago.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace cranklock::base {

/// Values by name, at most `capacity` of them. Writing a value makes its name the newest; when
/// there is no room for one more, the oldest name is forgotten and no other. So what one name costs
/// a full cache is one forgotten value, never all of them.
template <typename Value>
class RecentMap {
 public:
  explicit RecentMap(std::size_t capacity) : capacity_(capacity) {}

  void put(const std::string& name, Value value) {
    if (const auto known = by_name_.find(name); known != by_name_.end()) {
      known->second->value = std::move(value);
      entries_.splice(entries_.end(), entries_, known->second);
      return;
    }
    if (by_name_.size() >= capacity_) {
      by_name_.erase(entries_.front().name);
      entries_.pop_front();
    }
    entries_.push_back({name, std::move(value)});
    by_name_.emplace(name, std::prev(entries_.end()));
  }

  /// Null when the name was never written, or has been forgotten.
  const Value* find(const std::string& name) const {
    const auto known = by_name_.find(name);
    return known == by_name_.end() ? nullptr : &known->second->value;
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
