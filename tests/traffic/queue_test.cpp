#include <flamingosaddle/traffic/deadlineheap.h>
#include <flamingosaddle/traffic/fairqueue.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace flamingosaddle;

namespace
{

QueueEntry makeEntry(RequestIndex request, ClassIndex requestClass, AccountIndex account, int tier)
{
    QueueEntry entry;
    entry.request = request;
    entry.requestClass = requestClass;
    entry.account = account;
    entry.tier = tier;
    entry.firstTokenDeadline = TimePoint::max();
    return entry;
}

constexpr Availability allServers{true, true};

// Removes and returns the request that is served next.
RequestIndex takeNext(FairQueue &queue)
{
    const RequestIndex request = queue.next(0, allServers, TimePoint()).value();
    queue.recordStart(request);
    queue.remove(request);
    return request;
}

} // namespace

TEST(FairQueue, ServesEveryClassWithinItsFloorsPeriod)
{
    EXPECT_TRUE(rc::check("a class with requests always waiting is served within its floor's period", []() {
        const auto floors = *rc::gen::container<std::vector<double>>(3, rc::gen::map(rc::gen::inRange(1, 90), [](int percent) {
            return percent / 100.0;
        }));
        FairQueue queue;
        // Class 0 has the highest tier and no floor. All classes always have a request waiting.
        for (ClassIndex requestClass = 0; requestClass < 4; ++requestClass) {
            QueueEntry entry = makeEntry(requestClass, requestClass, 0, static_cast<int>(requestClass));
            entry.floorShare = requestClass == 0 ? 0.0 : floors[requestClass - 1];
            queue.add(entry);
        }
        std::vector<std::uint64_t> lastStart(4, 0);
        for (std::uint64_t start = 1; start <= 1000; ++start) {
            const RequestIndex request = takeNext(queue);
            lastStart[request] = start;
            for (ClassIndex requestClass = 1; requestClass < 4; ++requestClass) {
                RC_ASSERT(start - lastStart[requestClass] <= queue.floorPeriod(0, requestClass));
            }
            QueueEntry entry = makeEntry(request, request, 0, static_cast<int>(request));
            entry.floorShare = request == 0 ? 0.0 : floors[request - 1];
            queue.add(entry);
        }
    }));
}

TEST(FairQueue, LeavesHalfOfTheStartsToTheHighestTier)
{
    FairQueue queue;
    std::map<ClassIndex, int> starts;
    for (ClassIndex requestClass = 0; requestClass < 4; ++requestClass) {
        QueueEntry entry = makeEntry(requestClass, requestClass, 0, static_cast<int>(requestClass));
        entry.floorShare = requestClass == 0 ? 0.0 : 1.0;
        queue.add(entry);
    }
    for (int i = 0; i < 1000; ++i) {
        const RequestIndex request = takeNext(queue);
        ++starts[request];
        queue.add(makeEntry(request, request, 0, static_cast<int>(request)));
    }
    EXPECT_GE(starts[0], 500);
}

TEST(FairQueue, SharesTokensByWeightAmongBackloggedAccounts)
{
    EXPECT_TRUE(rc::check("counters of waiting accounts stay within one request of each other", []() {
        const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 10));
        const auto lengths = *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(1, 1000));
        FairQueue queue;
        std::vector<double> served(4, 0.0);
        const auto add = [&](AccountIndex account) {
            QueueEntry entry = makeEntry(account, 0, account, 0);
            entry.weight = weights[account];
            return queue.add(entry);
        };
        for (AccountIndex account = 0; account < 4; ++account) {
            add(account);
        }
        for (const int length : lengths) {
            const RequestIndex account = queue.next(0, allServers, TimePoint()).value();
            queue.recordStart(account);
            queue.remove(account);
            queue.shares().charge(add(account), length);
            served[account] += static_cast<double>(length) / weights[account];
        }
        const auto [least, most] = std::minmax_element(served.begin(), served.end());
        RC_ASSERT(*most - *least <= 1000.0 / *std::min_element(weights.begin(), weights.end()));
    }));
}

TEST(FairShares, IdleTimeEarnsNoCredit)
{
    EXPECT_TRUE(rc::check("an account that becomes active has at least the counter of the last one picked", []() {
        const auto tokens = *rc::gen::inRange(0, 1000000);
        FairShares shares;
        const LaneIndex lane = shares.lane(0, 0);
        const ShareIndex busy = shares.share(lane, 0, 1.0);
        const ShareIndex idle = shares.share(lane, 1, 1.0);
        shares.addWaiting(busy);
        shares.charge(busy, tokens);
        shares.recordPick(busy);
        shares.addWaiting(idle);
        RC_ASSERT(shares.counter(idle) >= shares.counter(busy));
    }));
}

TEST(FairShares, BoundsTheLeadFromTokensServedByPeers)
{
    EXPECT_TRUE(rc::check("the lead from peers' reports is bounded", []() {
        const auto tokens = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1000000U));
        FairShares shares;
        const ShareIndex share = shares.share(shares.lane(0, 0), 0, 1.0);
        for (const std::uint32_t count : tokens) {
            shares.applyPeerServedTokens(share, count);
        }
        RC_ASSERT(shares.lead(share) <= FairShares::maxPeerLead);
    }));
}

TEST(DeadlineHeap, ReturnsTheEarliestDeadlineAfterAnyOperations)
{
    EXPECT_TRUE(rc::check("the heap agrees with an ordered set", []() {
        const auto operations = *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
            rc::gen::pair(rc::gen::inRange(0U, 30U), rc::gen::inRange(0U, 1000U)));
        DeadlineHeap heap;
        std::map<std::uint32_t, TimePoint> members;
        std::multiset<TimePoint> ordered;
        for (const auto &[member, seconds] : operations) {
            const auto found = members.find(member);
            if (found == members.end()) {
                const TimePoint deadline{std::chrono::seconds(seconds)};
                heap.add(member, deadline);
                ordered.insert(deadline);
                members.emplace(member, deadline);
            } else {
                heap.remove(member);
                ordered.erase(ordered.find(found->second));
                members.erase(found);
            }
            RC_ASSERT(heap.isEmpty() == ordered.empty());
            if (!ordered.empty()) {
                RC_ASSERT(heap.earliestDeadline() == *ordered.begin());
                RC_ASSERT(members.at(heap.earliestMember()) == heap.earliestDeadline());
            }
        }
    }));
}
