#include "store/range_reader.hpp"

namespace cranklock::store {

net::Task<RangeResult> RangeReader::next() {
  auto reading = client_.read_page(prefix_, after_, kPageItems, timeout_s_);
  auto read = co_await reading;
  if (read.status != Status::ok) co_return read;
  done_ = !read.page.more || read.page.items.empty();
  if (!read.page.items.empty()) after_ = read.page.items.back().key;
  co_return read;
}

}  // namespace cranklock::store
