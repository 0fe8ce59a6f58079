#include "fixture.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

/**
 * Accepts connections and never sends anything.
 */
class SilentPeer
{
public:
    explicit SilentPeer(boost::asio::io_context &context)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    Endpoint endpoint() const
    {
        return Endpoint{"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace

TEST(PeerLink, SendsInitialMessagesThenHeartbeatsAndMessagesInOrder)
{
    const PausedClock paused;
    PeerFixture fixture;
    const TombstonesMessage tombstones{{KeyId("k1")}};
    fixture.initialMessages = {tombstones};
    const auto link = fixture.startLink(fixture.server->localEndpoint());
    fixture.runUntil([&] {
        return link->isConnected() && fixture.received.size() == 2;
    });
    const ConfigSnapshotMessage snapshot{"{}"};
    ASSERT_TRUE(link->send(snapshot).has_value());
    fixture.runUntil([&] {
        return fixture.received.size() == 3;
    });
    RuntimeClock::advance(fixture.timing.heartbeatInterval);
    fixture.runUntil([&] {
        return fixture.received.size() == 4;
    });
    const PeerMessage heartbeat = sampleHeartbeatMessage("sender");
    EXPECT_EQ(fixture.received, (std::vector<PeerMessage>{tombstones, heartbeat, snapshot, heartbeat}));
    EXPECT_EQ(fixture.server->counters().frames, link->counters().frames);
    EXPECT_EQ(fixture.server->counters().bytes, link->counters().bytes);
}

TEST(PeerLink, OneAcknowledgementCoversSeveralHeartbeats)
{
    const PausedClock paused;
    PeerFixture fixture;
    const auto link = fixture.startLink(fixture.server->localEndpoint());
    fixture.runUntil([&] {
        return link->isConnected();
    });
    // Takes longer than the acknowledgement timeout of a link.
    const int heartbeats = 3 * (fixture.timing.maxMissedHeartbeats + fixture.timing.heartbeatsPerAcknowledgement);
    for (int i = 0; i < heartbeats; ++i) {
        const std::uint64_t frames = fixture.server->counters().frames;
        RuntimeClock::advance(fixture.timing.heartbeatInterval);
        fixture.runUntil([&] {
            return fixture.server->counters().frames > frames;
        });
    }
    EXPECT_TRUE(link->isConnected());
    EXPECT_EQ(link->counters().connections, 1U);
    EXPECT_LE(fixture.server->counters().acknowledgements, 2U + heartbeats / fixture.timing.heartbeatsPerAcknowledgement + 1);
}

TEST(PeerLink, ReceivesARelaysProgressWithTheSendTimeOfEachFrame)
{
    const PausedClock paused;
    PeerFixture fixture;
    fixture.progress.config = TopicProgress{4, std::chrono::milliseconds(300)};
    const auto link = fixture.startLink(fixture.server->localEndpoint());
    const auto waitForReports = [&](std::size_t count) {
        fixture.runUntil([&] {
            return fixture.reportedProgress.size() >= count;
        });
    };
    waitForReports(2);
    const TimePoint first = RuntimeClock::now();
    RuntimeClock::advance(fixture.timing.heartbeatInterval);
    waitForReports(3);
    EXPECT_EQ(fixture.reportedProgress[1], std::pair(fixture.progress, first));
    EXPECT_EQ(fixture.reportedProgress[2], std::pair(fixture.progress, first + fixture.timing.heartbeatInterval));
}

TEST(PeerLink, ReconnectsWhenNoAcknowledgementArrives)
{
    const PausedClock paused;
    PeerFixture fixture;
    SilentPeer peer(fixture.context);
    const auto link = fixture.startLink(peer.endpoint());
    fixture.runUntil([&] {
        return link->counters().frames >= 2;
    });
    EXPECT_FALSE(link->isConnected());
    RuntimeClock::advance(fixture.timing.acknowledgementTimeout());
    fixture.runUntil([&] {
        return link->counters().acknowledgementTimeouts == 1;
    });
    RuntimeClock::advance(fixture.timing.maxRetryDelay);
    fixture.runUntil([&] {
        return link->counters().connections == 2;
    });
}

TEST(PeerLink, SendsInitialMessagesAgainAfterThePeerWasReplaced)
{
    const PausedClock paused;
    PeerFixture fixture;
    fixture.initialMessages = {TombstonesMessage{{KeyId("k1")}}};
    const Endpoint address = fixture.server->localEndpoint();
    const auto link = fixture.startLink(address);
    fixture.runUntil([&] {
        return link->isConnected() && fixture.received.size() == 2;
    });
    fixture.server->stop();
    fixture.runUntil([&] {
        return !link->isConnected();
    });
    fixture.runReady();
    EXPECT_EQ(link->send(TombstonesMessage{}).error().kind(), ErrorKind::Unavailable);
    fixture.startServer(address);
    fixture.received.clear();
    RuntimeClock::advance(fixture.timing.maxRetryDelay);
    fixture.runUntil([&] {
        return link->isConnected() && !fixture.received.empty();
    });
    EXPECT_EQ(fixture.received.front(), fixture.initialMessages.front());
}

TEST(PeerLink, ClosesAConnectionWhoseSendQueueIsFull)
{
    const PausedClock paused;
    PeerFixture fixture;
    fixture.timing.maxQueuedBytes = 4096;
    const auto link = fixture.startLink(fixture.server->localEndpoint());
    fixture.runUntil([&] {
        return link->isConnected();
    });
    const ConfigSnapshotMessage large{std::string(3000, 'x')};
    EXPECT_TRUE(link->send(large).has_value());
    EXPECT_EQ(link->send(large).error().kind(), ErrorKind::Overloaded);
    EXPECT_EQ(link->counters().queueOverflows, 1U);
    EXPECT_FALSE(link->isConnected());
}
