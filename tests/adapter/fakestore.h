#pragma once

#include "httpfixture.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingosaddle::test
{

/**
 * A stand-in of the platform's store that speaks its published protocol: appends with a condition, reads, the newest records
 * of keyed topics, groups. It answers reads at once.
 */
class FakeStore
{
public:
    FakeStore();

    Endpoint endpoint() const;

    // Commands; any thread.
    void append(const std::string &topic, std::string record);
    void appendKeyed(const std::string &topic, const std::string &key, const std::string &value);
    /** Drops the records before @p offset; the newest of each key stay. */
    void forget(const std::string &topic, std::uint64_t offset);
    /** The next call is answered with this status and does nothing. */
    void refuseNext(int status);
    /** The next append is carried out and its answer is lost. */
    void loseNextAnswer();

    // Queries; any thread.
    std::vector<std::string> records(const std::string &topic) const;

private:
    struct Topic {
        std::uint64_t first = 0;
        std::vector<std::string> records; // from `first` on
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    boost::asio::awaitable<void> answer(HttpExchange &exchange);
    HttpResponse respond(const HttpRequest &request);
    HttpResponse appendCall(const HttpRequest &request);
    HttpResponse readCall(const HttpRequest &request);
    HttpResponse newestCall(const HttpRequest &request);
    HttpResponse joinCall(const HttpRequest &request);
    HttpResponse ownersCall() const;
    void store(Topic &topic, const std::string &name, std::string record);

    mutable std::mutex mutex;
    std::map<std::string, Topic> topics;
    std::vector<std::string> members;
    std::optional<int> refusal;
    bool losesAnswer = false;
    TestServer server;
};

} // namespace flamingosaddle::test
