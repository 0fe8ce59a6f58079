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
 * Writes @p bytes to a new connection and expects that the server closes it, increments @p counter and still accepts other
 * connections.
 */
void expectRejection(const std::string &bytes, Counter counter)
{
    PeerFixture fixture;
    const auto socket = fixture.connectAndWrite(bytes);
    fixture.runUntil([&] {
        return fixture.server->counters().*counter == 1 && fixture.server->connectionCount() == 0;
    });
    const std::size_t before = fixture.received.size();
    const auto other = fixture.connectAndWrite(frameBytes(0, sampleHello("other", 1)) + frameBytes(1, TombstonesMessage{}));
    fixture.runUntil([&] {
        return fixture.received.size() > before;
    });
}

} // namespace

TEST(PeerServer, RejectsInvalidFrames)
{
    expectRejection(std::string("\0\0\0\5hello", 9), &PeerServerCounters::malformedFrames);
    expectRejection(std::string(4, '\0'), &PeerServerCounters::malformedFrames);
    expectRejection("GET / HTTP/1.1\r\n\r\n", &PeerServerCounters::oversizedFrames);
}

TEST(PeerServer, RejectsAnUnsupportedVersion)
{
    std::string bytes = helloBytes(1);
    bytes[PeerFrameFormat::headerBytes] = static_cast<char>(PeerFrameFormat::version + 1);
    expectRejection(bytes, &PeerServerCounters::malformedFrames);
}

TEST(PeerServer, RejectsMessagesWithoutAHelloAndASecondHello)
{
    expectRejection(heartbeatBytes(0), &PeerServerCounters::malformedFrames);
    expectRejection(helloBytes(1) + frameBytes(1, sampleHello("sender", 2)), &PeerServerCounters::malformedFrames);
    expectRejection(helloBytes(1) + frameBytes(1, AckMessage{0}), &PeerServerCounters::malformedFrames);
}

TEST(PeerServer, RejectsAMessageThatNamesAnotherSender)
{
    expectRejection(helloBytes(1) + frameBytes(1, sampleHeartbeatMessage("other")), &PeerServerCounters::malformedFrames);
    expectRejection(
        helloBytes(1) + frameBytes(1, LeaveMessage{Incarnation{InstanceId("other"), 7}}), &PeerServerCounters::malformedFrames);
}

TEST(PeerServer, RejectsAReplayedFrame)
{
    expectRejection(helloBytes(1) + heartbeatBytes(1) + heartbeatBytes(1), &PeerServerCounters::sequenceViolations);
    expectRejection(helloBytes(1) + heartbeatBytes(2), &PeerServerCounters::sequenceViolations);
}

TEST(PeerServer, RejectsAReplayedConnection)
{
    PeerFixture fixture;
    const auto first = fixture.connectAndWrite(helloBytes(5) + heartbeatBytes(1));
    fixture.runUntil([&] {
        return fixture.received.size() == 1;
    });
    const auto same = fixture.connectAndWrite(helloBytes(5) + heartbeatBytes(1));
    const auto older = fixture.connectAndWrite(helloBytes(4) + heartbeatBytes(1));
    fixture.runUntil([&] {
        return fixture.server->counters().sequenceViolations == 2;
    });
    EXPECT_EQ(fixture.received.size(), 1U);
    const auto newer = fixture.connectAndWrite(helloBytes(6) + heartbeatBytes(1));
    fixture.runUntil([&] {
        return fixture.received.size() == 2;
    });
}

TEST(PeerServer, ClosesAConnectionWithoutFrames)
{
    const PausedClock paused;
    PeerFixture fixture;
    const auto silent = fixture.connect();
    fixture.runUntil([&] {
        return fixture.server->connectionCount() == 1;
    });
    RuntimeClock::advance(fixture.timing.receiveTimeout());
    fixture.runUntil([&] {
        return fixture.server->connectionCount() == 0;
    });
    EXPECT_EQ(fixture.server->counters().receiveTimeouts, 1U);
}

TEST(PeerServer, FailsWhenTheAddressCannotBeBound)
{
    PeerFixture fixture;
    PeerServerOptions options;
    options.listen = Endpoint{"192.0.2.1", 1};
    const auto started = PeerServer::start(fixture.context, options, [](const HelloMessage &, const PeerMessage &) {});
    ASSERT_TRUE(started.has_error());
    EXPECT_EQ(started.error().kind(), ErrorKind::InvalidSetting);
}
