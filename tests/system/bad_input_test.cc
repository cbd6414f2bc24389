#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"

namespace tarragon::system_test {
namespace {

using boost::asio::ip::tcp;

/// Writes `bytes` to an address and closes the connection.
void WriteRaw(const std::string& address, const std::string& bytes) {
  const std::size_t colon = address.rfind(':');
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect(tcp::endpoint(
      boost::asio::ip::make_address(address.substr(0, colon)),
      static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))));
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
}

/// Bytes that look random and are the same in every run.
std::string Noise(std::size_t size) {
  std::string noise;
  std::uint32_t state = 12345;
  while (noise.size() < size) {
    state = state * 1664525 + 1013904223;
    noise += static_cast<char>(state >> 24);
  }
  return noise;
}

std::vector<std::string> Garbage() {
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const std::string endless = std::string("POST /v1/jobs HTTP/1.1\r\n") +
                              "Content-Length: 99999999999999999999\r\n\r\n";
  return {"",
          "\n",
          "GET / HTTP/1.1\r\n\r\n",
          endless,
          "POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n{",
          preface,
          preface + Noise(200),
          preface.substr(0, 10),
          Noise(1),
          Noise(100000)};
}

/// Bad input ends neither a process nor what others ask of it.
class BadInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BadInputTest);
  CPPUNIT_TEST(ProcessesGoOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProcessesGoOn() {
    Cluster cluster(FastOptions());
    ExpectRefusals(&cluster);
    for (const std::string& bytes : Garbage()) {
      WriteRaw(cluster.entry(0).clients, bytes);
      WriteRaw(cluster.entry(0).operators, bytes);
      WriteRaw(Wire(cluster.entry(0).node), bytes);
      WriteRaw(Wire(cluster.agent(0).node), bytes);
      WriteRaw(cluster.agent(0).announce, bytes);
      WriteRaw(cluster.agent(0).pages, bytes);
    }
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         cluster.Submit(0, key, Cluster::Body(tasks)).outcome);
    cluster.AwaitAgent(0);
    cluster.AwaitEntry(0, 2);
    cluster.CheckAnswers();
  }

 private:
  static std::string Wire(const std::string& node) {
    return node.substr(0, node.find('~'));
  }

  static void ExpectRefusals(Cluster* cluster) {
    const std::string key = cluster->NewKey(cluster->Handle(0));
    const std::vector<std::pair<std::string, int>> bodies = {
        {"", 400},
        {"{", 400},
        {"[]", 400},
        {"null", 400},
        {std::string(100000, '['), 400},
        {R"({"service":"carve"})", 400},
        {Cluster::Body({}), 400},
        {Cluster::Body(std::vector<TaskText>(111, TaskText{0, "x"})), 400},
        {Cluster::Body({{0, "x"}}, 0), 400},
        {Cluster::Body({{0, "x"}}, 600001), 400},
        {Cluster::Body({{0, std::string(70000, 'x')}}), 400},
        {std::string((1U << 20) + 1, ' '), 413}};
    for (const auto& [body, status] : bodies) {
      const JobResult result = cluster->Submit(0, key, body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body.substr(0, 80) + result.body, status,
                                   result.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), result.outcome);
    }
    HttpLoop& loop = cluster->loop();
    const std::string& clients = cluster->entry(0).clients;
    const std::string good = Cluster::Body({{0, "x"}});
    CPPUNIT_ASSERT_EQUAL(400, loop.Post(clients, "/v1/jobs", good).status);
    CPPUNIT_ASSERT_EQUAL(404, loop.Get(clients, "/nothing").status);
    CPPUNIT_ASSERT_EQUAL(405, loop.Get(clients, "/v1/jobs").status);
    CPPUNIT_ASSERT_EQUAL(
        401, loop.Get(cluster->entry(0).operators, "/v1/state").status);
    CPPUNIT_ASSERT_EQUAL(
        400, cluster->Note(0, "bad", 1, "[add nothing x]\n").status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

}  // namespace
}  // namespace tarragon::system_test
