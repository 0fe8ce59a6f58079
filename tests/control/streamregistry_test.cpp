#include "fakeinstance.h"
#include "rununtil.h"

#include <flamingosaddle/control/streamregistry.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("engines");
constexpr std::chrono::milliseconds unixAtZero(1'700'000'000'000);

std::chrono::milliseconds unixNow()
{
    return unixAtZero + std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now().time_since_epoch());
}

/** What all instances share: the store with its log of streams. */
struct SharedStore : FakeStore {
    std::vector<std::string> streamRecords;
    std::vector<std::string> versionRecords; // of which the last one holds
    bool areVersionsUnreachable = false;

    void publishRoute()
    {
        Route route;
        route.id = RouteId("r");
        route.service = service;
        route.resumable = true;
        route.requestClass = RequestClass();
        route.requestClass->deadline = 10s;
        this->publish(1);
        this->configs.back().objects.routes.push_back(route);
    }
};

/** One run of an instance: its directory and its registry of streams. */
struct RunningInstance {
    RunningInstance(boost::asio::io_context &context, SharedStore &store)
        : context(context)
        , store(store)
        , instance(context, store, true)
        , registry(context.get_executor(), this->logHooks(), this->instance.directory, this->options())
    {
        this->instance.onUpdate = [this] {
            this->registry.onDirectoryUpdate();
        };
        boost::asio::co_spawn(context, this->registry.run(), boost::asio::detached);
        boost::asio::co_spawn(context, this->registry.runVersions(), boost::asio::detached);
    }

    StreamRegistry::Options options()
    {
        StreamRegistry::Options options;
        options.unixTime = unixNow;
        options.isRelay = [this] {
            return this->isRelay;
        };
        options.latestLossOfContact = [this] {
            return this->latestLoss;
        };
        return options;
    }

    StreamLogHooks logHooks()
    {
        StreamLogHooks hooks;
        hooks.append = [this](std::string record) -> boost::asio::awaitable<Result<void>> {
            if (this->instance.isStoreUnreachable) {
                co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
            }
            this->store.streamRecords.push_back(std::move(record));
            co_return success();
        };
        hooks.read = [this](std::optional<std::uint64_t> from) -> boost::asio::awaitable<Result<StreamLogBatch>> {
            if (this->instance.isStoreUnreachable) {
                co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
            }
            StreamLogBatch batch;
            // One record a read, so that reads continue.
            const std::size_t begin = from.value_or(0);
            const std::size_t end = std::min(begin + 1, this->store.streamRecords.size());
            batch.records.assign(this->store.streamRecords.begin() + static_cast<std::ptrdiff_t>(begin),
                this->store.streamRecords.begin() + static_cast<std::ptrdiff_t>(end));
            batch.nextOffset = end;
            batch.isAtEnd = end == this->store.streamRecords.size();
            co_return batch;
        };
        this->addVersionHooks(hooks);
        return hooks;
    }

    void addVersionHooks(StreamLogHooks &hooks)
    {
        hooks.readVersions = [this]() -> boost::asio::awaitable<Result<StoredVersions>> {
            ++this->versionReads;
            if (this->instance.isStoreUnreachable || this->store.areVersionsUnreachable) {
                co_await delay(this->instance.failureDelay);
                co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
            }
            StoredVersions stored;
            stored.endOffset = makeOffset(this->store.epoch, this->store.versionRecords.size());
            if (!this->store.versionRecords.empty()) {
                stored.record = this->store.versionRecords.back();
            }
            co_return stored;
        };
        hooks.appendVersions = [this](std::string record, std::uint64_t endOffset) -> boost::asio::awaitable<Result<void>> {
            if (this->instance.isStoreUnreachable) {
                co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
            }
            if (endOffset != makeOffset(this->store.epoch, this->store.versionRecords.size())) {
                co_return fail(ErrorKind::Conflict, "the log ends elsewhere", "read it");
            }
            this->store.versionRecords.push_back(std::move(record));
            co_return success();
        };
    }

    std::optional<std::string> versionOf(const std::string &request)
    {
        std::optional<StreamVersion> version;
        const StreamVersionHook hook = this->registry.hook(); // outlives its coroutine
        boost::asio::co_spawn(this->context, hook(request, service), [&version](const std::exception_ptr &, StreamVersion found) {
            version = std::move(found);
        });
        EXPECT_TRUE(runUntil(this->context, [&version] {
            RuntimeClock::advance(1ms);
            return version.has_value();
        }));
        return version.has_value() && version->isKnown ? std::optional(version->text) : std::nullopt;
    }

    boost::asio::io_context &context;
    SharedStore &store;
    FakeInstance instance;
    bool isRelay = true;
    std::size_t versionReads = 0;
    std::optional<TimePoint> latestLoss; ///< when this instance last heard one that has stopped
    StreamRegistry registry;
};

struct StreamRegistryTest : testing::Test {
    PausedClock paused;
    boost::asio::io_context context{1};
    SharedStore store;
    std::vector<std::unique_ptr<RunningInstance>> runs; // kept, since their coroutines end late

    void SetUp() override
    {
        this->store.publishRoute();
        this->store.put("old", service, "v1");
    }

    ~StreamRegistryTest() override
    {
        for (const auto &run : this->runs) {
            run->registry.stop();
            run->instance.directory.stop();
        }
        advanceTime(this->context, 5s);
    }

    RunningInstance &start()
    {
        this->runs.push_back(std::make_unique<RunningInstance>(this->context, this->store));
        advanceTime(this->context, 500ms);
        return *this->runs.back();
    }

    /** Ends the instance at once: what it has not saved is lost. */
    void kill(RunningInstance &run)
    {
        run.instance.isStoreUnreachable = true;
        run.registry.stop();
        run.instance.directory.stop();
    }
};

} // namespace

TEST_F(StreamRegistryTest, AStreamIsResumedAtItsVersionAfterAllInstancesRestarted)
{
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.registry.recordStart("at v1", service, "v1");
    first.registry.recordStart("at v2", service, "v2");
    EXPECT_EQ(first.versionOf("at v1"), "v1");
    advanceTime(this->context, 500ms);
    this->kill(first);
    this->store.remove("old");
    RunningInstance &second = this->start();
    EXPECT_EQ(second.versionOf("at v1"), "v1") << "although no server of it is left";
    EXPECT_EQ(second.versionOf("at v2"), "v2");
    EXPECT_EQ(second.versionOf("not saved"), std::nullopt);
    EXPECT_EQ(second.versionOf(""), std::nullopt);
}

TEST_F(StreamRegistryTest, AStreamThatRanBeforeTheReleaseIsResumedAtTheOldVersion)
{
    RunningInstance &first = this->start();
    first.registry.recordStart("stream", service, "v1");
    advanceTime(this->context, 1s);
    EXPECT_TRUE(this->store.streamRecords.empty()) << "one version only";
    this->store.put("new", service, "v2");
    advanceTime(this->context, 2s);
    this->kill(first);
    EXPECT_EQ(this->start().versionOf("stream"), "v1");
}

TEST_F(StreamRegistryTest, AnUnknownStreamIsResumedOnlyIfNoOtherVersionServed)
{
    RunningInstance &first = this->start();
    EXPECT_EQ(first.versionOf("unknown"), "v1");
    this->store.put("new", service, "v2");
    EXPECT_EQ(first.versionOf("unknown"), std::nullopt) << "the list that it holds is older";
    this->store.remove("old");
    advanceTime(this->context, 2s);
    EXPECT_EQ(first.versionOf("unknown"), std::nullopt);
    advanceTime(this->context, 21s);
    EXPECT_EQ(first.versionOf("unknown"), "v2");
}

TEST_F(StreamRegistryTest, WithoutTheStoreOnlyOwnStreamsAreResumed)
{
    RunningInstance &first = this->start();
    first.registry.recordStart("own", service, "v1");
    first.instance.isStoreUnreachable = true;
    EXPECT_EQ(first.versionOf("own"), "v1");
    EXPECT_EQ(first.versionOf("unknown"), std::nullopt);
    EXPECT_EQ(first.versionOf("own"), "v1");
    first.registry.recordCompletion("own");
    EXPECT_EQ(first.versionOf("own"), std::nullopt);
}

TEST_F(StreamRegistryTest, AStreamIsNotResumedAtAnotherService)
{
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.registry.recordStart("stream", ServiceName("other"), "v1");
    EXPECT_EQ(first.versionOf("stream"), std::nullopt);
}

// Guards against refused resumptions of streams whose instance stopped before a release and so could not save them.
TEST_F(StreamRegistryTest, AStreamOfAnInstanceThatStoppedBeforeTheReleaseIsResumedAtTheOldVersion)
{
    RunningInstance &stopped = this->start();
    RunningInstance &other = this->start();
    stopped.registry.recordStart("stream", service, "v1");
    this->kill(stopped);
    other.latestLoss = RuntimeClock::now();
    advanceTime(this->context, 1s);
    this->store.put("new", service, "v2", unixNow());
    advanceTime(this->context, 2s);
    EXPECT_EQ(other.versionOf("stream"), "v1");
    other.registry.recordStart("saved meanwhile", service, "v2");
    EXPECT_EQ(other.versionOf("saved meanwhile"), "v2");
    other.latestLoss = RuntimeClock::now();
    EXPECT_EQ(other.versionOf("stream"), std::nullopt) << "it may have begun at either version";
    other.latestLoss = RuntimeClock::now() - 21s;
    EXPECT_EQ(other.versionOf("stream"), std::nullopt) << "longer ago than a stream lasts";
}

TEST_F(StreamRegistryTest, AServerWhoseClockIsFastDoesNotHideThatAnInstanceWasLostAfterTheRelease)
{
    RunningInstance &other = this->start();
    advanceTime(this->context, 1s);
    this->store.put("new", service, "v2", unixNow() + 5s);
    advanceTime(this->context, 1s);
    other.latestLoss = RuntimeClock::now();
    advanceTime(this->context, 1s);
    EXPECT_EQ(other.versionOf("stream"), std::nullopt);
}

TEST_F(StreamRegistryTest, AnUnknownStreamIsNotResumedWhenSeveralReleasesOverlap)
{
    RunningInstance &other = this->start();
    advanceTime(this->context, 1s);
    other.latestLoss = RuntimeClock::now();
    advanceTime(this->context, 1s);
    this->store.put("new", service, "v2", unixNow());
    advanceTime(this->context, 2s);
    EXPECT_EQ(other.versionOf("stream"), "v1");
    this->store.put("newest", service, "v3", unixNow());
    advanceTime(this->context, 2s);
    EXPECT_EQ(other.versionOf("stream"), std::nullopt);
}

TEST_F(StreamRegistryTest, AnUnknownStreamIsNotResumedByAnInstanceThatMissedTheBegin)
{
    RunningInstance &first = this->start();
    this->store.put("new", service, "v2", unixNow());
    first.registry.recordStart("at v2", service, "v2");
    advanceTime(this->context, 1s);
    this->store.remove("old");
    advanceTime(this->context, 1s);
    RunningInstance &second = this->start();
    second.latestLoss = RuntimeClock::now();
    advanceTime(this->context, 1s);
    this->store.put("newest", service, "v3", unixNow());
    advanceTime(this->context, 2s);
    EXPECT_EQ(second.versionOf("stream"), "v2") << "versions in the log are known";
    first.registry.recordStart("at v1", service, "v1");
    advanceTime(this->context, 1s);
    EXPECT_EQ(second.versionOf("stream"), std::nullopt) << "a stream of v1 may be under way";
}

// Guards against callers that are refused when the store has lost what an instance had saved, as when it forgets its history or
// comes back from a copy.
TEST_F(StreamRegistryTest, AStreamThatRunsIsSavedAgain)
{
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.registry.recordStart("stream", service, "v1");
    first.registry.recordStart("completed", service, "v1");
    advanceTime(this->context, 500ms);
    EXPECT_EQ(this->store.streamRecords.size(), 1U);
    this->store.streamRecords.clear();
    first.registry.recordCompletion("completed");
    advanceTime(this->context, StreamOrigins::saveRepetition);
    EXPECT_EQ(this->store.streamRecords.size(), 1U);
    this->kill(first);
    RunningInstance &second = this->start();
    EXPECT_EQ(second.versionOf("stream"), "v1");
    EXPECT_EQ(second.versionOf("completed"), std::nullopt);
}

TEST_F(StreamRegistryTest, AStreamThatRunsIsSavedAgainBeforeAShutdown)
{
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.registry.recordStart("stream", service, "v1");
    advanceTime(this->context, 500ms);
    this->store.streamRecords.clear();
    boost::asio::co_spawn(this->context, first.registry.flush(), boost::asio::detached);
    advanceTime(this->context, 100ms);
    this->kill(first);
    EXPECT_EQ(this->start().versionOf("stream"), "v1");
}

TEST_F(StreamRegistryTest, AStreamThatCouldNotBeSavedIsSavedOnce)
{
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.instance.isStoreUnreachable = true;
    first.registry.recordStart("stream", service, "v1");
    advanceTime(this->context, 2 * StreamOrigins::saveRepetition);
    first.instance.isStoreUnreachable = false;
    advanceTime(this->context, StreamOrigins::saveRepetition - 500ms);
    EXPECT_LE(this->store.streamRecords.size(), 2U);
    EXPECT_EQ(this->start().versionOf("stream"), "v1");
}

// Guards against resumptions that wait for each other's reads of a store that does not answer.
TEST_F(StreamRegistryTest, ResumptionsAtOneTimeShareAFailedRead)
{
    constexpr int resumptions = 8;
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.instance.isStoreUnreachable = true;
    first.instance.failureDelay = 1s;
    int decided = 0;
    const StreamVersionHook hook = first.registry.hook(); // outlives its coroutines
    for (int i = 0; i < resumptions; ++i) {
        boost::asio::co_spawn(this->context, hook("unknown " + std::to_string(i), service),
            [&decided](const std::exception_ptr &, const StreamVersion &version) {
                EXPECT_FALSE(version.isKnown);
                ++decided;
            });
        advanceTime(this->context, 100ms);
    }
    // A resumption waits for the read under way, which began before it, and for the next one.
    advanceTime(this->context, 2 * first.instance.failureDelay);
    EXPECT_EQ(decided, resumptions);
    advanceTime(this->context, resumptions * first.instance.failureDelay); // ends what still waits
}

// Guards against streams that go on at another software version when all instances end while a service is released. Nothing of
// them was saved, and an instance that starts afterwards sees the new version alone.
TEST_F(StreamRegistryTest, AStreamIsNotResumedAtAVersionThatWasReleasedWhileNoInstanceRan)
{
    RunningInstance &first = this->start();
    first.registry.recordStart("stream", service, "v1");
    advanceTime(this->context, 5s);
    this->kill(first);
    this->store.put("new", service, "v2", unixNow());
    this->store.remove("old");
    RunningInstance &second = this->start();
    EXPECT_EQ(second.versionOf("stream"), "v1");
    advanceTime(this->context, 21s);
    EXPECT_EQ(second.versionOf("begun later"), "v2") << "no stream of v1 can be resumed any more";
}

// Guards against refused resumptions after all instances ended, where servers of the version that began the streams still serve.
TEST_F(StreamRegistryTest, AStreamIsResumedAtTheVersionBeforeAReleaseThatNoInstanceSaw)
{
    RunningInstance &first = this->start();
    advanceTime(this->context, 5s);
    this->kill(first);
    this->store.put("new", service, "v2", unixNow());
    RunningInstance &second = this->start();
    RunningInstance &third = this->start();
    second.registry.recordStart("begun since", service, "v2");
    EXPECT_EQ(third.versionOf("stream"), "v1");
    EXPECT_EQ(third.versionOf("begun since"), "v2");
    advanceTime(this->context, 5s);
    EXPECT_EQ(this->store.versionRecords.size(), 2U) << "one instance has stored the release";
    EXPECT_EQ(second.versionOf("stream"), "v1");
    EXPECT_EQ(third.versionOf("stream"), "v1");
    third.latestLoss = RuntimeClock::now();
    EXPECT_EQ(third.versionOf("stream"), std::nullopt) << "the lost instance may have begun it at either version";
    EXPECT_EQ(this->start().versionOf("stream"), std::nullopt) << "an instance may have been lost before this one started";
}

TEST_F(StreamRegistryTest, AnUnknownStreamIsResumedAfterAllInstancesRestartedWithoutARelease)
{
    RunningInstance &first = this->start();
    advanceTime(this->context, 5s);
    this->kill(first);
    RunningInstance &second = this->start();
    EXPECT_EQ(second.versionOf("stream"), "v1");
    advanceTime(this->context, 5s);
    EXPECT_EQ(second.versionOf("stream"), "v1");
    EXPECT_EQ(this->store.versionRecords.size(), 1U);
}

// Guards against a stream that is resumed at the old version although an instance may have begun it at the new one and ended.
TEST_F(StreamRegistryTest, AnUnknownStreamIsNotResumedIfAnInstanceSawTheRelease)
{
    RunningInstance &first = this->start();
    this->start();
    advanceTime(this->context, 5s);
    EXPECT_EQ(this->store.versionRecords.size(), 1U);
    this->store.put("new", service, "v2", unixNow());
    advanceTime(this->context, 500ms);
    EXPECT_EQ(this->store.versionRecords.size(), 2U);
    EXPECT_TRUE(this->store.streamRecords.empty()) << "none ran";
    this->kill(first);
    this->kill(*this->runs[1]);
    this->store.remove("old");
    RunningInstance &second = this->start();
    EXPECT_EQ(second.versionOf("stream"), std::nullopt);
    advanceTime(this->context, 5s);
    EXPECT_EQ(second.versionOf("stream"), std::nullopt);
    advanceTime(this->context, 20s);
    EXPECT_EQ(second.versionOf("stream"), "v2");
}

// Guards against a release that the store has forgotten, because it was restored from a copy while no instance ran.
TEST_F(StreamRegistryTest, VersionsOfARestoredStoreDoNotTellHowAnUnknownStreamBegan)
{
    RunningInstance &first = this->start();
    advanceTime(this->context, 5s);
    this->store.put("new", service, "v2", unixNow());
    advanceTime(this->context, 1s);
    this->kill(first);
    this->store.versionRecords.pop_back();
    ++this->store.epoch;
    RunningInstance &second = this->start();
    EXPECT_EQ(second.versionOf("stream"), std::nullopt);
    advanceTime(this->context, 5s);
    EXPECT_EQ(second.versionOf("stream"), std::nullopt);
}

TEST_F(StreamRegistryTest, VersionsAreNotReadWithoutStreamsThatMayBeResumed)
{
    this->store.configs.back().objects.routes.back().resumable = false;
    RunningInstance &first = this->start();
    advanceTime(this->context, 5s);
    EXPECT_TRUE(this->store.versionRecords.empty());
    EXPECT_EQ(first.versionReads, 0U);
}

TEST_F(StreamRegistryTest, AnInstanceThatIsNoRelayStoresNoVersions)
{
    RunningInstance &first = this->start();
    first.isRelay = false;
    advanceTime(this->context, 5s);
    EXPECT_TRUE(this->store.versionRecords.empty());
    first.isRelay = true;
    advanceTime(this->context, 1s);
    EXPECT_EQ(this->store.versionRecords.size(), 1U);
    EXPECT_LE(first.versionReads, 4U);
}

// Guards against streams that are saved late because another partition of the store is down.
TEST_F(StreamRegistryTest, StreamsAreSavedWhileVersionsCannotBeRead)
{
    this->store.areVersionsUnreachable = true;
    this->store.put("new", service, "v2");
    RunningInstance &first = this->start();
    first.instance.failureDelay = 1s;
    advanceTime(this->context, 10s);
    first.registry.recordStart("stream", service, "v1");
    advanceTime(this->context, 500ms);
    EXPECT_EQ(this->store.streamRecords.size(), 1U);
}
