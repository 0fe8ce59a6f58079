#pragma once

#include "httpfixture.h"
#include "testclient.h"

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace flamingosaddle::process
{

/**
 * Writes to the platform's stand-in what an operator of the users' platform and backend servers write to its store, and makes the
 * requests of its callers. Each command fails the test if the store does not acknowledge it.
 */
class OperatorStore
{
public:
    static constexpr const char *service = "bookings";
    static constexpr const char *key = "a-key-of-the-bakery";

    explicit OperatorStore(Endpoint store);

    // Commands.

    /** Publishes a configuration with a route to the service at /catalogue/, for requests with the key, and one at /open/ for
     * all. */
    void publishConfiguration(unsigned version) const;
    void registerServer(const std::string &id, const Endpoint &endpoint, const std::string &dataCentre) const;
    void evacuate(const std::string &dataCentre) const;
    void takeBack(const std::string &dataCentre) const;

    // Queries.

    static HttpRequest lookup(const std::string &name);
    static HttpRequest openLookup(const std::string &name);

private:
    void append(const std::string &topic, const std::string &key, const std::string &value) const;

    Endpoint store;
};

/**
 * A backend server of the users' platform that answers every request at once and keeps the times of their arrival.
 */
class SignedServer
{
public:
    SignedServer();

    Endpoint endpoint() const;
    std::size_t arrivalCount() const;
    std::size_t arrivalsSince(TimePoint from) const;

private:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

    mutable std::mutex mutex;
    std::vector<TimePoint> arrivals;
    test::TestServer server;
};

} // namespace flamingosaddle::process
