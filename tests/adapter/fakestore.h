#pragma once

#include "httpfixture.h"
#include "storecalls.h"

#include <platform/storeclient.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle::test
{

/**
 * The stand-in of the platform's store within the test's process. Pages of newest records are short, so that tests see
 * several; reads are answered at once.
 */
class FakeStore
{
public:
    FakeStore();

    /** A client of this store, which has to outlive it. */
    std::shared_ptr<const platform::StoreClient> client() const;

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
    std::size_t calls(const std::string &path) const; ///< that came so far

private:
    boost::asio::awaitable<void> answer(HttpExchange &exchange);

    mutable std::mutex mutex;
    standins::StoreCalls store{2};
    std::optional<int> refusal;
    bool losesAnswer = false;
    std::map<std::string, std::size_t, std::less<>> callCounts; // by path
    TestServer server;
};

} // namespace flamingosaddle::test
