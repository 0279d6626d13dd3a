#include "net/http.hpp"

#include <gtest/gtest.h>

namespace cranklock::net {
namespace {

using State = HttpParser::State;

HttpParser server_side() {
  return {HttpParser::Kind::request, {1024, 4096}};
}

TEST(Http, ParsesARequestByteByByteAndTheNextOne) {
  auto parser = server_side();
  const std::string bytes =
      "POST /v1/jobs?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n{\"a\"GET / "
      "HTTP/1.1\r\n\r\n";
  State state = State::incomplete;
  std::size_t used = 0;
  while (state == State::incomplete && used < bytes.size())
    state = parser.feed(bytes.substr(used++, 1));
  ASSERT_EQ(state, State::complete);
  EXPECT_EQ(parser.request().method, "POST");
  EXPECT_EQ(parser.request().path, "/v1/jobs");
  EXPECT_EQ(query_field(parser.request().query, "x"), "1");
  EXPECT_EQ(parser.request().body, "{\"a\"");
  parser.feed(bytes.substr(used));
  EXPECT_EQ(parser.next(), State::complete);
  EXPECT_EQ(parser.request().method, "GET");
}

TEST(Http, JoinsChunkedBodiesAcrossReads) {
  auto parser = server_side();
  EXPECT_EQ(parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"),
            State::incomplete);
  EXPECT_EQ(parser.feed("c\r\n2;x=y\r\nde\r\n0\r\n\r\n"), State::complete);
  EXPECT_EQ(parser.request().body, "abcde");
}

TEST(Http, InvalidAndOversizedRequestsHaveDistinctStatuses) {
  const auto error_of = [](const std::string& bytes) {
    auto parser = server_side();
    return parser.feed(bytes) == State::failed ? parser.error_status() : 0;
  };
  EXPECT_EQ(error_of("NONSENSE\r\n\r\n"), 400);
  EXPECT_EQ(error_of("GET x HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(error_of("GET / HTTP/2.0\r\n\r\n"), 400);
  EXPECT_EQ(error_of("GET / HTTP/1.1\r\nno colon\r\n\r\n"), 400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400);
  // Conflicting lengths allow request smuggling.
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
            400);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"), 501);
  EXPECT_EQ(error_of("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"), 413);
  EXPECT_EQ(error_of("GET / HTTP/1.1\r\nA: " + std::string(2000, 'x')), 431);
}

TEST(Http, AResponseWithoutLengthEndsWithTheConnection) {
  HttpParser parser(HttpParser::Kind::response, {1024, 4096});
  EXPECT_EQ(parser.feed("HTTP/1.1 503 Busy\r\nRetry-After: 7\r\n\r\nlater"), State::incomplete);
  EXPECT_EQ(parser.finish(), State::complete);
  EXPECT_EQ(parser.response().status, 503);
  EXPECT_EQ(parser.response().retry_after_s, 7);
  EXPECT_EQ(parser.response().body, "later");
  EXPECT_FALSE(parser.response().keep_alive);
}

TEST(Http, ATruncatedResponseIsAnError) {
  HttpParser parser(HttpParser::Kind::response, {1024, 4096});
  parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ(parser.finish(), State::failed);
}

}  // namespace
}  // namespace cranklock::net
