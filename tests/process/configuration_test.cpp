#include "standardcluster.h"

#include <algorithm>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr Duration withdrawalLimit = std::chrono::seconds(2); ///< in which a withdrawn key has to stop working
constexpr int exitAccepted = 0;
constexpr int exitConflict = 2;

Json account(const std::string &id, double share)
{
    return {{"id", id}, {"templateName", "standard"}, {"templateVersion", 1}, {"share", share}, {"models", {"baraka-8b"}},
        {"services", {"bookings"}}};
}

class Configuration : public StandardCluster
{
protected:
    /** Runs the same command with each file at once; the exit codes, in order. */
    std::vector<int> race(const std::vector<std::string> &command, const std::vector<Json> &contents)
    {
        std::vector<std::unique_ptr<ChildProcess>> operators;
        for (const Json &content : contents) {
            std::vector<std::string> arguments = command;
            arguments.push_back(this->cluster.writeFile(content));
            operators.push_back(this->cluster.startCli(arguments));
        }
        std::vector<int> exitCodes;
        exitCodes.reserve(operators.size());
        for (const auto &process : operators) {
            exitCodes.push_back(process->waitForEnd(std::chrono::seconds(30)).value_or(-1));
        }
        return exitCodes;
    }

    /** The field of a client account that every daemon agrees on; null while they do not. */
    Json agreedField(const std::string &id, const std::string &field)
    {
        Json agreed;
        for (DaemonProcess &daemon : this->cluster.daemons()) {
            const Json value = this->fieldOn(daemon, id, field);
            if (!agreed.is_null() && value != agreed) {
                return nullptr;
            }
            agreed = value;
        }
        return agreed;
    }

private:
    Json fieldOn(const DaemonProcess &daemon, const std::string &id, const std::string &field)
    {
        const CliResult shown = this->cluster.cli({"--admin", daemon.admin.text(), "show", "accounts"});
        const Json accounts = shown.json();
        if (!accounts.is_array()) {
            return nullptr;
        }
        for (const Json &entry : accounts) {
            if (entry.value("id", "") == id) {
                return entry.at(field);
            }
        }
        return nullptr;
    }
};

} // namespace

TEST_F(Configuration, AWithdrawnKeyCutsAStreamAndAnIdleConnection)
{
    TestConnection stream(this->daemon(0).caller);
    ASSERT_TRUE(stream.send(withKey(chatRequest("a long pass", 1000000, true), this->key.key)).has_value());
    const auto head = stream.readHead();
    ASSERT_TRUE(head.has_value());
    ASSERT_EQ(head.value().status, 200);
    ASSERT_TRUE(stream.readPiece().has_value());
    TestConnection idle(this->daemon(3).caller);
    const HttpRequest lookup = withKey(getRequest("/catalogue/pies"), this->key.key);
    const auto before = idle.exchange(lookup);
    ASSERT_TRUE(before.has_value());
    ASSERT_EQ(before.value().status, 200);

    ASSERT_EQ(this->cluster.cli({"key", "withdraw", this->key.id}).exitCode, exitAccepted);
    const TimePoint deadline = RuntimeClock::now() + withdrawalLimit;
    std::string body;
    bool isCut = false;
    while (!isCut && RuntimeClock::now() < deadline) {
        const auto piece = stream.readPiece(std::chrono::milliseconds(200));
        isCut = piece.has_error() || piece.value().empty();
        body += piece.has_value() ? piece.value() : "";
    }
    EXPECT_TRUE(isCut) << "the stream goes on";
    EXPECT_FALSE(parseStream(body).done) << "a cut stream must not look whole";
    if (!idle.isStale()) {
        const auto after = idle.exchange(lookup);
        EXPECT_TRUE(after.has_error() || after.value().status == 401);
    }
    for (DaemonProcess &daemon : this->cluster.daemons()) {
        EXPECT_TRUE(waitUntil(
            [&]() {
                return statusOf(daemon, this->key) == 401;
            },
            withdrawalLimit))
            << daemon.instanceId;
    }
}

TEST_F(Configuration, OneOfTwoRacingOperatorsIsAccepted)
{
    constexpr int rounds = 5;
    for (int round = 0; round < rounds; ++round) {
        const std::string id = "village-" + std::to_string(round);
        std::vector<int> exitCodes = this->race({"account", "create"}, {account(id, 1.0), account(id, 2.0)});
        const double winner = exitCodes[0] == exitAccepted ? 1.0 : 2.0;
        std::sort(exitCodes.begin(), exitCodes.end());
        EXPECT_EQ(exitCodes, (std::vector<int>{exitAccepted, exitConflict}));
        EXPECT_TRUE(waitUntil([&]() {
            return this->agreedField(id, "share") == winner;
        })) << this->agreedField(id, "share");
    }
}

TEST_F(Configuration, OneOfTwoChangesAgainstOneRevisionIsAccepted)
{
    const Json revision = this->agreedField("bakery", "revision");
    ASSERT_TRUE(revision.is_number()) << revision;
    const std::vector<std::string> command{"account", "set", "--expect-revision", revision.dump()};
    std::vector<int> exitCodes = this->race(command, {account("bakery", 3.0), account("bakery", 4.0)});
    const double winner = exitCodes[0] == exitAccepted ? 3.0 : 4.0;
    std::sort(exitCodes.begin(), exitCodes.end());
    EXPECT_EQ(exitCodes, (std::vector<int>{exitAccepted, exitConflict}));
    EXPECT_TRUE(waitUntil([&]() {
        return this->agreedField("bakery", "share") == winner;
    }));
}

TEST_F(Configuration, ADaemonThatSleptThroughAWithdrawalRefusesTheKey)
{
    this->daemon(0).process.freeze();
    ASSERT_EQ(
        this->cluster.cli({"--admin", this->daemon(1).admin.text(), "key", "withdraw", this->key.id}).exitCode, exitAccepted);
    EXPECT_TRUE(waitUntil(
        [&]() {
            return statusOf(this->daemon(1), this->key) == 401;
        },
        withdrawalLimit));
    this->daemon(0).process.wake();
    EXPECT_TRUE(waitUntil(
        [&]() {
            return statusOf(this->daemon(0), this->key) == 401;
        },
        withdrawalLimit));
}

TEST_F(Configuration, AChangeWhoseAnswerIsLostIsMadeOnce)
{
    this->cluster.platform().setFaults({{"log", {{"loseAnswers", 3}}}});
    const CliResult created = this->cluster.cli({"account", "create", this->cluster.writeFile(account("village", 2.0))});
    EXPECT_EQ(created.exitCode, exitAccepted) << created.output;
    EXPECT_TRUE(waitUntil([&]() {
        return this->agreedField("village", "share") == 2.0;
    }));
}
