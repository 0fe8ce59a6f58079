#include "fixture.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

using Counter = std::uint64_t PeerServerCounters::*;

std::string helloBytes(std::uint64_t connection)
{
    return frameBytes(0, sampleHello("sender", connection));
}

std::string heartbeatBytes(std::uint64_t sequence)
{
    return frameBytes(sequence, sampleHeartbeatMessage("sender"));
}

/**
 * Writes @p bytes on a connection of their own and expects it to be refused, counted by @p counter, and nothing else to
 * suffer.
 */
void expectRefusal(const std::string &bytes, Counter counter)
{
    PeerBench bench;
    const auto socket = bench.connectAndWrite(bytes);
    bench.runUntil([&] {
        return bench.server->counters().*counter == 1 && bench.server->connectionCount() == 0;
    });
    const std::size_t before = bench.received.size();
    const auto other = bench.connectAndWrite(frameBytes(0, sampleHello("other", 1)) + frameBytes(1, TombstonesMessage{}));
    bench.runUntil([&] {
        return bench.received.size() > before;
    });
}

} // namespace

TEST(PeerServer, RefusesWhatIsNoMessage)
{
    expectRefusal(std::string("\0\0\0\5hello", 9), &PeerServerCounters::malformed);
    expectRefusal(std::string(4, '\0'), &PeerServerCounters::malformed);
    expectRefusal("GET / HTTP/1.1\r\n\r\n", &PeerServerCounters::oversized);
}

TEST(PeerServer, RefusesAForeignVersion)
{
    std::string bytes = helloBytes(1);
    bytes[PeerFrameFormat::headerBytes] = static_cast<char>(PeerFrameFormat::version + 1);
    expectRefusal(bytes, &PeerServerCounters::malformed);
}

TEST(PeerServer, RefusesMessagesWithoutAHelloAndASecondHello)
{
    expectRefusal(heartbeatBytes(0), &PeerServerCounters::malformed);
    expectRefusal(helloBytes(1) + frameBytes(1, sampleHello("sender", 2)), &PeerServerCounters::malformed);
    expectRefusal(helloBytes(1) + frameBytes(1, AckMessage{0}), &PeerServerCounters::malformed);
}

TEST(PeerServer, RefusesAMessageInTheNameOfAnother)
{
    expectRefusal(helloBytes(1) + frameBytes(1, sampleHeartbeatMessage("other")), &PeerServerCounters::malformed);
    expectRefusal(
        helloBytes(1) + frameBytes(1, LeaveMessage{Incarnation{InstanceId("other"), 7}}), &PeerServerCounters::malformed);
}

TEST(PeerServer, RefusesAReplayedFrame)
{
    expectRefusal(helloBytes(1) + heartbeatBytes(1) + heartbeatBytes(1), &PeerServerCounters::replayed);
    expectRefusal(helloBytes(1) + heartbeatBytes(2), &PeerServerCounters::replayed);
}

TEST(PeerServer, RefusesAReplayedConnection)
{
    PeerBench bench;
    const auto first = bench.connectAndWrite(helloBytes(5) + heartbeatBytes(1));
    bench.runUntil([&] {
        return bench.received.size() == 1;
    });
    const auto same = bench.connectAndWrite(helloBytes(5) + heartbeatBytes(1));
    const auto older = bench.connectAndWrite(helloBytes(4) + heartbeatBytes(1));
    bench.runUntil([&] {
        return bench.server->counters().replayed == 2;
    });
    EXPECT_EQ(bench.received.size(), 1U);
    const auto newer = bench.connectAndWrite(helloBytes(6) + heartbeatBytes(1));
    bench.runUntil([&] {
        return bench.received.size() == 2;
    });
}

TEST(PeerServer, ClosesASilentConnection)
{
    const PausedClock paused;
    PeerBench bench;
    const auto silent = bench.connect();
    bench.runUntil([&] {
        return bench.server->connectionCount() == 1;
    });
    RuntimeClock::advance(bench.timing.silenceLimit());
    bench.runUntil([&] {
        return bench.server->connectionCount() == 0;
    });
    EXPECT_EQ(bench.server->counters().silent, 1U);
}

TEST(PeerServer, TellsThatAnAddressCannotBeBound)
{
    PeerBench bench;
    PeerServerOptions options;
    options.listen = Endpoint{"192.0.2.1", 1};
    const auto started = PeerServer::start(bench.context, options, [](const HelloMessage &, const PeerMessage &) {});
    ASSERT_TRUE(started.has_error());
    EXPECT_EQ(started.error().kind(), ErrorKind::InvalidSetting);
}
