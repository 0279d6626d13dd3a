// What a test writes down: each line has the seconds since the start of the test.
#pragma once

#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

#include "http.hpp"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : out_(path), started_at_(now()) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now() - started_at_);
    out_ << time << text << std::endl;
  }
  double elapsed_s() const { return now() - started_at_; }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  double started_at_;
};

}  // namespace review
