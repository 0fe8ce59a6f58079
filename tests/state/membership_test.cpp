#include <flamingosaddle/state/membership.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

Heartbeat heartbeat(const std::string &instance, std::uint64_t number, std::uint64_t sequence,
    MemberState state = MemberState::Serving, std::uint16_t port = 0)
{
    // Each instance has its own address unless a test sets the port.
    const auto ownPort = static_cast<std::uint16_t>(1000 + instance.back());
    return {{InstanceId(instance), number}, sequence, state, {"127.0.0.1", port == 0 ? ownPort : port}, DataCentre("d0")};
}

class MembershipTest : public testing::Test
{
protected:
    HeartbeatResult apply(const Heartbeat &received)
    {
        return this->membership.apply(received, this->now);
    }

    MemberState resetIfReplaced(const std::string &instance) const
    {
        return this->membership.find(InstanceId(instance))->state;
    }

    Membership membership{heartbeat("self", 1, 0), {3s, 10min, 30s, 30s}};
    TimePoint now{1h};
};

std::uint64_t anyBelow(std::uint64_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
}

} // namespace

TEST_F(MembershipTest, FollowsTheStatesOfAnInstance)
{
    EXPECT_EQ(this->apply(heartbeat("i1", 1, 1, MemberState::Joining)), HeartbeatResult::Accepted);
    EXPECT_TRUE(this->membership.serving().empty());
    this->apply(heartbeat("i1", 1, 2));
    EXPECT_EQ(this->membership.serving().size(), 1U);
    this->apply(heartbeat("i1", 1, 3, MemberState::Draining));
    EXPECT_TRUE(this->membership.serving().empty());
    EXPECT_EQ(this->apply(heartbeat("self", 9, 3)), HeartbeatResult::Own);
}

// What an instance did until it stopped may be known to nobody else.
TEST_F(MembershipTest, KnowsWhenItLastHeardAnInstanceThatMayHaveStopped)
{
    const auto latestLoss = [this] {
        return this->membership.latestLossOfContact(this->now);
    };
    const TimePoint begin = this->now;
    EXPECT_EQ(latestLoss(), std::nullopt);
    this->apply(heartbeat("i1", 1, 1));
    this->apply(heartbeat("i2", 1, 1));
    EXPECT_EQ(latestLoss(), std::nullopt);
    this->now += 1s;
    this->apply(heartbeat("i2", 1, 2));
    this->now += 1s;
    this->apply(heartbeat("i2", 1, 3));
    EXPECT_EQ(latestLoss(), begin) << "the first is silent";
    this->membership.expire(this->now + 2s);
    EXPECT_EQ(latestLoss(), begin) << "it counts as gone";
    this->apply(heartbeat("i1", 1, 2));
    EXPECT_EQ(latestLoss(), std::nullopt) << "it was only frozen";
    this->now += 1s;
    this->apply(heartbeat("i1", 2, 1));
    this->apply(heartbeat("i2", 1, 4));
    EXPECT_EQ(latestLoss(), begin + 2s) << "it was started anew";
    this->now += 1s;
    this->apply(heartbeat("i1", 2, 2));
    this->apply(heartbeat("i2", 1, 5, MemberState::Gone));
    EXPECT_EQ(latestLoss(), begin + 4s);
}

TEST_F(MembershipTest, ContactsUnverifiedMembersUntilAHeartbeatOrTheTimeout)
{
    const Heartbeat unverified = heartbeat("i1", 1, 1);
    this->membership.recordUnverifiedMember(unverified.from.instance, unverified.address, this->now);
    this->membership.recordUnverifiedMember(InstanceId("self"), {"127.0.0.1", 1}, this->now);
    EXPECT_EQ(this->membership.contactAddresses(), std::vector<Endpoint>{unverified.address});
    this->apply(unverified);
    EXPECT_TRUE(this->membership.contactAddresses().empty());
    this->membership.recordUnverifiedMember(InstanceId("i2"), {"127.0.0.1", 2}, this->now);
    this->membership.expire(this->now + 29s);
    EXPECT_EQ(this->membership.contactAddresses().size(), 1U);
    this->membership.expire(this->now + 30s);
    EXPECT_TRUE(this->membership.contactAddresses().empty());
}

TEST_F(MembershipTest, IgnoresOlderSequencesAndIncarnations)
{
    this->apply(heartbeat("i1", 2, 5));
    EXPECT_EQ(this->apply(heartbeat("i1", 2, 5, MemberState::Draining)), HeartbeatResult::Stale);
    EXPECT_EQ(this->apply(heartbeat("i1", 2, 4, MemberState::Draining)), HeartbeatResult::Stale);
    EXPECT_EQ(this->apply(heartbeat("i1", 1, 9, MemberState::Draining)), HeartbeatResult::Stale);
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Serving);
    EXPECT_EQ(this->apply(heartbeat("i1", 3, 1, MemberState::Joining)), HeartbeatResult::Accepted);
}

TEST_F(MembershipTest, AnotherInstanceOnTheAddressReplacesTheOldOne)
{
    this->apply(heartbeat("i1", 1, 1, MemberState::Serving, 7000));
    this->apply(heartbeat("i2", 1, 1, MemberState::Serving, 7000));
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Gone);
    EXPECT_EQ(this->apply(heartbeat("i1", 1, 1, MemberState::Serving, 7000)), HeartbeatResult::Stale);
    EXPECT_EQ(this->resetIfReplaced("i2"), MemberState::Serving);
    EXPECT_EQ(this->membership.serving().size(), 1U);
}

TEST_F(MembershipTest, ADelayedHeartbeatOfAFormerOwnerOfTheAddressHasNoLastingEffect)
{
    this->apply(heartbeat("i2", 1, 1, MemberState::Serving, 7000));
    this->apply(heartbeat("i1", 1, 9, MemberState::Serving, 7000));
    this->apply(heartbeat("i2", 1, 2, MemberState::Serving, 7000));
    EXPECT_EQ(this->resetIfReplaced("i2"), MemberState::Serving);
    this->now += 3s;
    this->apply(heartbeat("i2", 1, 3, MemberState::Serving, 7000));
    this->membership.expire(this->now);
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Gone);
}

TEST_F(MembershipTest, AMemberWithoutHeartbeatsIsGoneUntilItsNextOne)
{
    this->apply(heartbeat("i1", 1, 1));
    EXPECT_EQ(this->membership.nextDeadline(), this->now + 3s);
    this->membership.expire(this->now + 2999ms);
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Serving);
    this->now += 3s;
    this->membership.expire(this->now);
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Gone);
    EXPECT_EQ(this->apply(heartbeat("i1", 1, 2)), HeartbeatResult::Accepted);
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Serving);
}

TEST_F(MembershipTest, AnAnnouncedShutdownIsFinalAndTheMemberIsRemovedLater)
{
    this->apply(heartbeat("i1", 1, 1, MemberState::Gone));
    EXPECT_EQ(this->apply(heartbeat("i1", 1, 2)), HeartbeatResult::Stale);
    this->membership.expire(this->now + 10min);
    EXPECT_EQ(this->membership.find(InstanceId("i1")), nullptr);
    EXPECT_FALSE(this->membership.nextDeadline().has_value());
}

TEST_F(MembershipTest, TheListOnlyNamesAddressesToContact)
{
    this->apply(heartbeat("i1", 1, 1));
    this->apply(heartbeat("i2", 1, 1, MemberState::Gone));
    const auto address = [](const std::string &instance) {
        return heartbeat(instance, 1, 1).address;
    };
    this->membership.setSeeds({{InstanceId("i1"), address("i1"), true}, {InstanceId("i2"), address("i2")},
        {InstanceId("i3"), address("i3")}, {InstanceId("i4"), address("i4"), true}, {InstanceId("self"), address("self")}});
    EXPECT_EQ(this->membership.contactAddresses(), (std::vector<Endpoint>{address("i2"), address("i3")}));
    EXPECT_EQ(this->resetIfReplaced("i2"), MemberState::Gone);
    EXPECT_EQ(this->membership.find(InstanceId("i3")), nullptr);
    EXPECT_TRUE(this->membership.serving().empty());
}

TEST_F(MembershipTest, HeartbeatsOfThisInstanceCountUpAndCarryItsState)
{
    this->membership.setOwnState(MemberState::Draining);
    EXPECT_EQ(this->membership.nextHeartbeat(), heartbeat("self", 1, 1, MemberState::Draining));
    EXPECT_EQ(this->membership.nextHeartbeat().sequence, 2U);
}

TEST_F(MembershipTest, AllInstancesChooseTheSameRelays)
{
    Membership other(heartbeat("i1", 1, 0), {3s, 10min});
    this->apply(heartbeat("i1", 1, 1));
    other.apply(heartbeat("self", 1, 1), this->now);
    for (const char *instance : {"i2", "i3", "i4"}) {
        this->apply(heartbeat(instance, 1, 1));
        other.apply(heartbeat(instance, 1, 1), this->now);
    }
    const auto relays = this->membership.relays(DataCentre("d0"), 2);
    EXPECT_EQ(relays.size(), 2U);
    EXPECT_EQ(relays, other.relays(DataCentre("d0"), 2));
    EXPECT_TRUE(this->membership.relays(DataCentre("d1"), 2).empty());
}

TEST(MembershipProperties, HeartbeatsInAnyOrderNeverReviveATerminatedIncarnation)
{
    EXPECT_TRUE(rc::check("reordered, repeated and delayed heartbeats, lists and missing heartbeats", [] {
        Membership membership(heartbeat("self", 1, 0), {3s, 10min});
        TimePoint now{1h};
        std::map<InstanceId, std::uint64_t> newest;
        std::set<Incarnation> terminated;
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(anyBelow(1500));
            membership.expire(now);
            membership.setSeeds({{InstanceId("i1"), heartbeat("i1", 1, 1).address}});
            const Heartbeat received = heartbeat("i" + std::to_string(anyBelow(4)), anyBelow(5), anyBelow(100),
                static_cast<MemberState>(anyBelow(4)), static_cast<std::uint16_t>(7000 + anyBelow(3)));
            const HeartbeatResult result = membership.apply(received, now);
            if (result == HeartbeatResult::Accepted) {
                RC_ASSERT(received.from.number >= newest[received.from.instance]);
                RC_ASSERT(!terminated.contains(received.from));
                newest[received.from.instance] = received.from.number;
            }
            for (const auto &[instance, member] : membership.members()) {
                RC_ASSERT(member.state == MemberState::Gone || now - member.updatedAt < 3s);
                if (member.isTerminated) {
                    terminated.insert(member.lastHeartbeat.from);
                }
            }
        }
    }));
}

// A member out of contact may only be cut off from this instance and still use its share of what all instances share.
TEST_F(MembershipTest, AMemberOutOfContactKeepsItsShareForATime)
{
    const std::vector<InstanceId> one{InstanceId("i1")};
    this->apply(heartbeat("i1", 1, 1));
    EXPECT_EQ(this->membership.sharingInstances(this->now), one);
    this->now += 3s;
    this->membership.expire(this->now);
    EXPECT_EQ(this->resetIfReplaced("i1"), MemberState::Gone);
    EXPECT_EQ(this->membership.sharingInstances(this->now + 29s), one);
    EXPECT_TRUE(this->membership.sharingInstances(this->now + 30s).empty());
}

TEST_F(MembershipTest, AMemberKeepsItsShareUntilItHasDrained)
{
    this->apply(heartbeat("i1", 1, 1, MemberState::Draining));
    this->apply(heartbeat("i2", 1, 1, MemberState::Gone));
    EXPECT_EQ(this->membership.sharingInstances(this->now), std::vector<InstanceId>{InstanceId("i1")});
    this->now += 3s;
    this->membership.expire(this->now);
    EXPECT_TRUE(this->membership.sharingInstances(this->now).empty());
}
