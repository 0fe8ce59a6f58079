#include "operatorstore.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle::process
{

namespace
{

constexpr const char *host = "desk.example";

HttpRequest requestTo(const std::string &target, const std::string &name)
{
    HttpRequest request = getRequest(target + name);
    request.headers.set("Host", host);
    request.headers.set("Flamingosaddle-Request-Id", name);
    request.headers.set("Flamingosaddle-Deadline-Ms", "4000");
    return request;
}

Json routeOf(const std::string &name, const std::string &prefix, bool open)
{
    return {{"name", name}, {"host", host}, {"path_prefix", prefix}, {"type", "idempotent"}, {"timeout_ms", 4000},
        {"latency_goal_ms", 1000}, {"priority", 0}, {"service", OperatorStore::service}, {"max_attempts", 2}, {"public", open}};
}

} // namespace

OperatorStore::OperatorStore(Endpoint store)
    : store(std::move(store))
{
}

void OperatorStore::publishConfiguration(unsigned version) const
{
    const Json config = {{"version", version},
        {"routes", Json::array({routeOf("catalogue", "/catalogue/", false), routeOf("open", "/open/", true)})},
        {"services", Json::array({{{"name", service}}})},
        {"tenants", Json::array({{{"name", "bakery"}, {"api_keys", Json::array({key})}, {"priority", 0}}})}};
    this->append("keyed.op", "config", config.dump());
}

void OperatorStore::registerServer(const std::string &id, const Endpoint &endpoint, const std::string &dataCentre) const
{
    const Json entry = {{"service", service}, {"address", endpoint.text()}, {"zone", dataCentre}, {"version", "v1"},
        {"slots", 64}, {"state", "ready"}, {"cold_remaining_ms", 0}, {"sequence", 1}, {"born", 1700000000000}};
    this->append("keyed.servers", id, entry.dump());
}

void OperatorStore::evacuate(const std::string &dataCentre) const
{
    this->append("keyed.op", "evacuate/" + dataCentre, "{}");
}

void OperatorStore::takeBack(const std::string &dataCentre) const
{
    this->append("keyed.op", "evacuate/" + dataCentre, "");
}

HttpRequest OperatorStore::lookup(const std::string &name)
{
    return withKey(requestTo("/catalogue/", name), key);
}

HttpRequest OperatorStore::openLookup(const std::string &name)
{
    return requestTo("/open/", name);
}

void OperatorStore::append(const std::string &topic, const std::string &key, const std::string &value) const
{
    const std::string record = static_cast<char>(key.size()) + key + value;
    HttpRequest request;
    request.method = "POST";
    request.target = "/-/log-append?topic=" + topic + "&part=0";
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        request.body.push_back(static_cast<char>((record.size() >> shift) & 0xffU));
    }
    request.body += record;
    const Result<HttpResponse> response = call(this->store, request);
    ASSERT_TRUE(response.has_value()) << response.error().text();
    ASSERT_EQ(response.value().status, 200) << response.value().body;
}

SignedServer::SignedServer()
    : server([this](HttpExchange &exchange) {
        return this->handle(exchange);
    })
{
}

Endpoint SignedServer::endpoint() const
{
    return this->server.endpoint();
}

std::size_t SignedServer::arrivalCount() const
{
    return this->arrivalsSince(TimePoint::min());
}

std::size_t SignedServer::arrivalsSince(TimePoint from) const
{
    const std::scoped_lock lock(this->mutex);
    return static_cast<std::size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(), [from](TimePoint arrival) {
        return arrival >= from;
    }));
}

boost::asio::awaitable<void> SignedServer::handle(HttpExchange &exchange)
{
    HttpResponse response = jsonResponse(200, "{}");
    response.headers.set("Flamingosaddle-Request-Id", std::string(exchange.request().headers.find("Flamingosaddle-Request-Id")));
    response.headers.set("Flamingosaddle-Response-Signature", "signed");
    {
        const std::scoped_lock lock(this->mutex);
        this->arrivals.push_back(RuntimeClock::now());
    }
    const Result<void> ignored = co_await exchange.respond(std::move(response));
    static_cast<void>(ignored);
}

} // namespace flamingosaddle::process
