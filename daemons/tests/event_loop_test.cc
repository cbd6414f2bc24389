#include "event_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>
#include <utility>

#include "process_runner.h"

namespace tarragon::daemons {
namespace {

class EventLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(HandlesOtherEventsAfterAnException);
  CPPUNIT_TEST(EndsWhenStopped);
  CPPUNIT_TEST(GivesUpWhenEveryEventFails);
  CPPUNIT_TEST(TicksGoOnAfterAnException);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HandlesOtherEventsAfterAnException() {
    boost::asio::io_context io;
    int handled = 0;
    boost::asio::post(io, [&handled]() { ++handled; });
    boost::asio::post(io, []() { throw std::runtime_error("bad message"); });
    boost::asio::post(io, [&handled]() { ++handled; });
    CPPUNIT_ASSERT(RunEventLoop(io, core::Log("test")));
    CPPUNIT_ASSERT_EQUAL(2, handled);
  }

  void EndsWhenStopped() {
    boost::asio::io_context io;
    const auto work = boost::asio::make_work_guard(io);
    boost::asio::post(io, [&io]() { io.stop(); });
    CPPUNIT_ASSERT(RunEventLoop(io, core::Log("test")));
  }

  void GivesUpWhenEveryEventFails() {
    boost::asio::io_context io;
    for (int i = 0; i < 2 * kMaxHandlerErrors; ++i) {
      boost::asio::post(io, []() { throw std::runtime_error("bad message"); });
    }
    CPPUNIT_ASSERT(!RunEventLoop(io, core::Log("test")));
  }

  void TicksGoOnAfterAnException() {
    boost::asio::io_context io;
    int ticks = 0;
    ProcessEvents events;
    events.tick = [&io, &ticks]() {
      if (++ticks == 1) throw std::runtime_error("bad state");
      io.stop();
    };
    ProcessRunner runner(io, std::move(events));
    CPPUNIT_ASSERT(RunEventLoop(io, core::Log("test")));
    CPPUNIT_ASSERT_EQUAL(2, ticks);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

}  // namespace
}  // namespace tarragon::daemons
