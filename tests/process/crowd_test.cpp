#include "crowd.h"
#include "standardcluster.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <thread>

// Guards against clients that a daemon can't control and that make it hold what they send: a crowd of legal requests that stop
// just short of their end, in any form and at any address, used to fill the memory of the machine and end the process. Each test
// plays one form of crowd at each address of one daemon and checks what doesn't depend on speed: the process lives, its memory
// and descriptors stay under a bound, and an ordinary request is answered while the crowd holds its connections and afterwards.

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr std::size_t megabyte = std::size_t{1024} * 1024;

// The machine of the tests: small, so that a small crowd is too much for it. Crowd and bounds are fixed.
constexpr std::size_t machineMegabytes = 64;
constexpr std::size_t bodyLimit = megabyte;
constexpr std::size_t headerLimit = std::size_t{16} * 1024;
constexpr std::size_t crowdSize = 100;
constexpr std::size_t descriptorsBesideTheCrowd = 100;
constexpr std::size_t growthAfterwards = 16 * megabyte; // that may stay once the crowd has left

Endpoint freeEndpoint(const std::string &address)
{
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    ::inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    socklen_t length = sizeof local;
    const bool isBound = ::bind(probe, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0
        && ::getsockname(probe, reinterpret_cast<sockaddr *>(&local), &length) == 0;
    ::close(probe);
    if (!isBound) {
        throw std::runtime_error("no free port on " + address);
    }
    return {address, ntohs(local.sin_port)};
}

struct Door {
    std::string name;
    Endpoint address;
    std::string target; ///< path of the requests
    std::string fields; ///< header fields beside Host and those of the body
};

class CrowdOnADaemon : public testing::Test
{
protected:
    void start(std::size_t memoryMegabytes, std::size_t maxDescriptors, std::size_t maxBody)
    {
        this->machine = memoryMegabytes;
        this->cluster.addService("bookings-a", "dc-a");
        const std::string address = this->cluster.platform().address.address;
        this->ready = freeEndpoint(address);
        this->forward = freeEndpoint(address);
        const std::string file = this->machineFile(memoryMegabytes, maxDescriptors);
        this->cluster.addDaemon("dc-a", "i1",
            {"--settings-file", file, "--max-header-bytes", std::to_string(headerLimit), "--max-body-bytes",
                std::to_string(maxBody), "--ready-listen", this->ready.text(), "--forward-listen", this->forward.text()});
        this->cluster.publishStandardConfiguration();
        this->key = this->cluster.giveKey("bakery");
        this->cluster.waitUntilServing(this->key);
        this->memoryBefore = memoryBytes(this->process());
    }

    void SetUp() override
    {
        this->start(machineMegabytes, 4096, bodyLimit);
    }

    /** The settings file that tells of the machine, as the platform fills it in. */
    std::string machineFile(std::size_t memoryMegabytes, std::size_t maxDescriptors)
    {
        std::string file = this->cluster.writeFile(Json::object());
        std::ofstream(file) << "memory-mb = " << memoryMegabytes << "\nmax-fds = " << maxDescriptors << '\n';
        return file;
    }

    DaemonProcess &daemon()
    {
        return this->cluster.daemons().front();
    }

    int process()
    {
        return this->daemon().process.id();
    }

    std::vector<Door> doors()
    {
        const std::string keyField = "Authorization: Bearer " + this->key.key + "\r\n";
        const std::string forwarding = "X-Flamingosaddle-Forwarded-By: i2\r\nX-Flamingosaddle-Forwarded-Id: 1\r\n"
                                       "X-Flamingosaddle-Elapsed-Ms: 1\r\nX-Flamingosaddle-Earlier-Attempts: 0\r\n"
                                       "X-Flamingosaddle-Config-Offset: 0\r\n";
        return {{"a path with a route", this->daemon().caller, "/deposits/1", keyField},
            {"a path with a route, without a key", this->daemon().caller, "/deposits/1", ""},
            {"a path without a route", this->daemon().caller, "/nowhere/1", keyField},
            {"the path that says ready, at the address for callers", this->daemon().caller, "/readyz", ""},
            {"the address that says ready", this->ready, "/readyz", ""},
            {"the address for forwarded requests", this->forward, "/deposits/1", forwarding + keyField},
            {"the address for operators", this->daemon().admin, "/v1/tombstones", ""}};
    }

    static std::string headOf(const Door &door, const std::string &bodyFields)
    {
        return "POST " + door.target + " HTTP/1.1\r\nHost: bakery.example\r\n" + door.fields + bodyFields + "\r\n";
    }

    static std::string withLength(std::size_t bytes)
    {
        return "Content-Length: " + std::to_string(bytes) + "\r\n";
    }

    /** Whether the process lives within its bounds and answers an ordinary request. */
    void checkDaemon(const std::string &moment, std::size_t descriptors)
    {
        SCOPED_TRACE(moment);
        this->awaitRest();
        std::cout << moment << ": " << memoryBytes(this->process()) / megabyte << " MB, at most "
                  << peakMemoryBytes(this->process()) / megabyte << " MB, " << descriptorCount(this->process()) << " descriptors"
                  << std::endl;
        ASSERT_EQ(this->daemon().process.waitForEnd(std::chrono::milliseconds(0)), std::nullopt);
        EXPECT_LE(peakMemoryBytes(this->process()), this->machine * megabyte);
        EXPECT_LE(descriptorCount(this->process()), descriptors);
        HttpRequest ordinary = withKey(postRequest("/deposits/17", {{"amount", 250}}), this->key.key);
        const auto answer = call(this->daemon().caller, ordinary);
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        EXPECT_EQ(answer.value().status, 200) << answer.value().body;
    }

    void play(const Door &door, const CrowdScript &script)
    {
        Crowd crowd(door.address, crowdSize);
        crowd.send(script);
        this->checkDaemon("with the crowd at " + door.name, crowdSize + descriptorsBesideTheCrowd);
        crowd.close();
        this->awaitDepartures();
    }

    /** Waits until the process has dealt with what it was sent: it uses hardly any processor time for a while. */
    void awaitRest()
    {
        constexpr std::size_t restingTicks = 2;
        constexpr std::chrono::milliseconds restingTime(300);
        std::size_t before = 0;
        const bool hasRested = waitUntil(
            [this, &before, restingTime] {
                before = processorTicks(this->process());
                std::this_thread::sleep_for(restingTime);
                return processorTicks(this->process()) - before <= restingTicks;
            },
            std::chrono::seconds(60));
        EXPECT_TRUE(hasRested);
    }

    /** Waits until the process has closed the connections that a crowd has left; they count for none that comes later. */
    void awaitDepartures()
    {
        EXPECT_TRUE(waitUntil(
            [this] {
                return descriptorCount(this->process()) <= descriptorsBesideTheCrowd;
            },
            std::chrono::seconds(60)));
    }

    void checkAfterwards()
    {
        this->awaitDepartures();
        const bool hasFallen = waitUntil(
            [this] {
                return memoryBytes(this->process()) <= this->memoryBefore + growthAfterwards;
            },
            std::chrono::seconds(60));
        EXPECT_TRUE(hasFallen) << memoryBytes(this->process()) / megabyte << " MB stay, before the crowd there were "
                               << this->memoryBefore / megabyte;
        this->checkDaemon("afterwards", descriptorsBesideTheCrowd);
    }

    void playEverywhere(const std::function<CrowdScript(const Door &)> &script)
    {
        for (const Door &door : this->doors()) {
            this->play(door, script(door));
            if (HasFatalFailure()) {
                return;
            }
        }
        this->checkAfterwards();
    }

    Cluster cluster;
    GivenKey key;
    Endpoint ready;
    Endpoint forward;
    std::size_t machine = 0; // its memory in megabytes
    std::size_t memoryBefore = 0;
};

} // namespace

TEST_F(CrowdOnADaemon, LegalBodiesInOnePieceThatStopShortOfTheirEnd)
{
    this->playEverywhere([](const Door &door) {
        return CrowdScript{headOf(door, withLength(bodyLimit)), std::string(bodyLimit - 1, 'x'), 1};
    });
}

TEST_F(CrowdOnADaemon, LegalBodiesInSmallPiecesThatStopShortOfTheirEnd)
{
    this->playEverywhere([](const Door &door) {
        return CrowdScript{headOf(door, withLength(bodyLimit)), std::string(bodyLimit - 1, 'x'), 1, 2000};
    });
}

TEST_F(CrowdOnADaemon, LegalBodiesInChunksThatStopShortOfTheirEnd)
{
    this->playEverywhere([](const Door &door) {
        const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
        return CrowdScript{headOf(door, "Transfer-Encoding: chunked\r\n"), chunk, bodyLimit / 0x4000 - 1};
    });
}

TEST_F(CrowdOnADaemon, LegalBodiesInChunksOfOneByteThatStopShortOfTheirEnd)
{
    this->playEverywhere([](const Door &door) {
        return CrowdScript{headOf(door, "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n", 100'000};
    });
}

TEST_F(CrowdOnADaemon, WholeLegalRequestsWhoseAnswersAreNotRead)
{
    this->playEverywhere([](const Door &door) {
        return CrowdScript{headOf(door, withLength(bodyLimit)), std::string(bodyLimit, 'x'), 1};
    });
}

TEST_F(CrowdOnADaemon, BodiesFarOverTheLimit)
{
    this->playEverywhere([](const Door &door) {
        return CrowdScript{headOf(door, withLength(10 * bodyLimit)), std::string(bodyLimit, 'x'), 3};
    });
}

TEST_F(CrowdOnADaemon, BodiesFarOverTheLimitInChunks)
{
    this->playEverywhere([](const Door &door) {
        const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
        return CrowdScript{headOf(door, "Transfer-Encoding: chunked\r\n"), chunk, 3 * bodyLimit / 0x4000};
    });
}

TEST_F(CrowdOnADaemon, RequestsOfVeryManyShortFields)
{
    this->playEverywhere([](const Door &door) {
        const std::string start = headOf(door, withLength(1000));
        std::string head = start.substr(0, start.size() - 2);
        while (head.size() + 6 < headerLimit) {
            head += "a:\r\n";
        }
        return CrowdScript{head + "\r\n", std::string(999, 'x'), 1};
    });
}

TEST_F(CrowdOnADaemon, ManyRequestsAheadWithoutReadingTheAnswers)
{
    this->playEverywhere([](const Door &door) {
        const std::string request = headOf(door, withLength(10)) + std::string(10, 'x');
        return CrowdScript{"", request, 3000};
    });
}

TEST_F(CrowdOnADaemon, HeadsThatStopHalfWay)
{
    this->playEverywhere([](const Door &door) {
        const std::string head = headOf(door, "");
        return CrowdScript{head.substr(0, head.size() - 2) + "X-Long: ", std::string(headerLimit - head.size() - 100, 'x'), 1};
    });
}

// Every connection gives a little at a time, so that none of them ever rests for long.
TEST_F(CrowdOnADaemon, SlowSendersOfLegalBodies)
{
    for (const Door &door : this->doors()) {
        Crowd crowd(door.address, crowdSize);
        const CrowdScript script{headOf(door, withLength(bodyLimit)), std::string(bodyLimit - 1, 'x'), 1};
        crowd.drip(script, 1, script.head.size());
        for (unsigned part = 0; part < 4; ++part) {
            crowd.drip(script, 20, 12'000);
            this->checkDaemon("with slow senders at " + door.name, crowdSize + descriptorsBesideTheCrowd);
            if (HasFatalFailure()) {
                return;
            }
        }
        crowd.close();
        this->awaitDepartures();
    }
    this->checkAfterwards();
}

// Frames of instances come at an address that anybody in the network can reach.
TEST_F(CrowdOnADaemon, LongFramesAtTheAddressForInstances)
{
    Crowd crowd(this->daemon().peer, crowdSize);
    crowd.send({std::string("\x00\x10\x00\x00\x08", 5), std::string(bodyLimit - 2, '\x90'), 1});
    this->checkDaemon("with the crowd", crowdSize + descriptorsBesideTheCrowd);
    crowd.close();
    this->checkAfterwards();
}

// More idle connections than the process has descriptors: without any left, no caller and no server is reached.
TEST_F(CrowdOnADaemon, MoreConnectionsThanDescriptors)
{
    constexpr std::size_t descriptors = 500;
    constexpr std::size_t reserved = 200;
    DaemonProcess &limited
        = this->cluster.addDaemon("dc-a", "i2", {"--settings-file", this->machineFile(machineMegabytes, descriptors)});
    this->cluster.waitUntilServing(this->key);
    const rlimit limit{descriptors, descriptors};
    ASSERT_EQ(::prlimit(limited.process.id(), RLIMIT_NOFILE, &limit, nullptr), 0);
    for (const Endpoint &address : {limited.caller, limited.admin, limited.peer}) {
        Crowd crowd(address, descriptors + crowdSize);
        crowd.send({"", "G", 1});
        EXPECT_LE(descriptorCount(limited.process.id()), descriptors - reserved);
        std::cout << descriptorCount(limited.process.id()) << " descriptors with the crowd" << std::endl;
        const auto answer = call(limited.caller, withKey(getRequest("/catalogue/pies"), this->key.key));
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        EXPECT_EQ(answer.value().status, 200) << answer.value().body;
        EXPECT_TRUE(limited.isReady());
        crowd.close();
    }
}

namespace
{

class SmallestMachine : public CrowdOnADaemon
{
protected:
    void SetUp() override
    {
        this->start(smallestMegabytes, 3075, largestBody);
    }

    static constexpr std::size_t smallestMegabytes = 100;
    static constexpr std::size_t largestBody = 4 * megabyte;
};

} // namespace

TEST_F(SmallestMachine, TheLargestLegalRequestsAreServedInCalm)
{
    HttpRequest largest = withKey(postRequest("/deposits/17", {}), this->key.key);
    largest.body = std::string(largestBody, 'x');
    const auto answer = call(this->daemon().caller, largest, std::chrono::seconds(30));
    ASSERT_TRUE(answer.has_value()) << answer.error().text();
    EXPECT_EQ(answer.value().status, 200);
    EXPECT_GE(answer.value().body.size(), largestBody);
    HttpRequest fields = withKey(postRequest("/deposits/18", {{"amount", 250}}), this->key.key);
    constexpr unsigned manyFields = 3400; // of 4 bytes each, as many as the limit of a header takes
    for (unsigned i = 0; i < manyFields; ++i) {
        fields.headers.add("a", "");
    }
    const auto second = call(this->daemon().caller, fields);
    ASSERT_TRUE(second.has_value()) << second.error().text();
    EXPECT_EQ(second.value().status, 200) << second.value().body;
    this->checkDaemon("afterwards", descriptorsBesideTheCrowd);
}

TEST_F(SmallestMachine, ACrowdOfTheLargestLegalBodies)
{
    constexpr std::size_t size = 5 * smallestMegabytes * megabyte / largestBody; // five times the memory
    Crowd crowd(this->daemon().caller, size);
    const Door door = this->doors().front();
    crowd.send({headOf(door, withLength(largestBody)), std::string(largestBody - 1, 'x'), 1});
    this->checkDaemon("with the crowd", size + descriptorsBesideTheCrowd);
    crowd.close();
    this->checkAfterwards();
}
