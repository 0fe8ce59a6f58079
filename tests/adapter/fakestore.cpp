#include "fakestore.h"

#include <nlohmann/json.hpp>

#include <openssl/evp.h>

#include <algorithm>

namespace flamingosaddle::test
{

namespace
{

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i) {
        text.push_back(static_cast<char>((value >> (8 * (bytes - 1 - i))) & 0xff));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::uint64_t numberOf(const HttpRequest &request, const char *name)
{
    const std::string text = request.query(name);
    return text.empty() ? 0 : std::stoull(text);
}

HttpResponse binaryResponse(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

} // namespace

FakeStore::FakeStore()
    : server([this](HttpExchange &exchange) {
        return this->answer(exchange);
    })
{
}

Endpoint FakeStore::endpoint() const
{
    return this->server.endpoint();
}

void FakeStore::append(const std::string &topic, std::string record)
{
    const std::scoped_lock lock(this->mutex);
    this->store(this->topics[topic], topic, std::move(record));
}

void FakeStore::appendKeyed(const std::string &topic, const std::string &key, const std::string &value)
{
    this->append(topic, static_cast<char>(key.size()) + key + value);
}

void FakeStore::forget(const std::string &topic, std::uint64_t offset)
{
    const std::scoped_lock lock(this->mutex);
    Topic &entry = this->topics[topic];
    const auto count = static_cast<std::ptrdiff_t>(offset - entry.first);
    entry.records.erase(entry.records.begin(), entry.records.begin() + count);
    entry.first = offset;
}

void FakeStore::refuseNext(int status)
{
    const std::scoped_lock lock(this->mutex);
    this->refusal = status;
}

void FakeStore::loseNextAnswer()
{
    const std::scoped_lock lock(this->mutex);
    this->losesAnswer = true;
}

std::vector<std::string> FakeStore::records(const std::string &topic) const
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->topics.find(topic);
    return found == this->topics.end() ? std::vector<std::string>() : found->second.records;
}

boost::asio::awaitable<void> FakeStore::answer(HttpExchange &exchange)
{
    HttpResponse response;
    bool lost = false;
    {
        const std::scoped_lock lock(this->mutex);
        if (this->refusal.has_value()) {
            response = jsonResponse(*std::exchange(this->refusal, std::nullopt), "{}");
        } else {
            response = this->respond(exchange.request());
            lost = std::exchange(this->losesAnswer, false);
        }
    }
    if (lost) {
        exchange.abortHandle()();
        co_return;
    }
    const Result<void> ignored = co_await exchange.respond(std::move(response));
    static_cast<void>(ignored);
}

HttpResponse FakeStore::respond(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/-/log-append") {
        return this->appendCall(request);
    }
    if (path == "/-/log-read") {
        return this->readCall(request);
    }
    if (path == "/-/log-newest") {
        return this->newestCall(request);
    }
    if (path == "/-/log-join") {
        return this->joinCall(request);
    }
    if (path == "/-/log-owners") {
        return this->ownersCall();
    }
    return jsonResponse(404, "{}");
}

HttpResponse FakeStore::appendCall(const HttpRequest &request)
{
    const std::string name = request.query("topic");
    Topic &topic = this->topics[name];
    const std::uint64_t end = topic.first + topic.records.size();
    const std::string at = request.query("at");
    if (!at.empty() && std::stoull(at) != end) {
        return jsonResponse(412, nlohmann::json{{"end_offset", end}}.dump());
    }
    constexpr std::size_t lengthBytes = 4;
    this->store(topic, name, request.body.substr(lengthBytes));
    return jsonResponse(200, nlohmann::json{{"offset", end}, {"end_offset", end + 1}}.dump());
}

HttpResponse FakeStore::readCall(const HttpRequest &request)
{
    Topic &topic = this->topics[request.query("topic")];
    const std::uint64_t from = numberOf(request, "from");
    const std::uint64_t end = topic.first + topic.records.size();
    if (from < topic.first) {
        return jsonResponse(410, nlohmann::json{{"start_offset", topic.first}}.dump());
    }
    std::string body = bigEndian(end, 8) + bigEndian(topic.first, 8);
    for (std::uint64_t offset = from; offset < end; ++offset) {
        const std::string &record = topic.records[offset - topic.first];
        body += bigEndian(record.size(), 4) + record;
    }
    return binaryResponse(std::move(body));
}

HttpResponse FakeStore::newestCall(const HttpRequest &request)
{
    constexpr std::size_t pageSize = 2; // small, so that tests see several pages
    const Topic &topic = this->topics[request.query("topic")];
    nlohmann::json entries = nlohmann::json::array();
    auto entry = topic.newest.upper_bound(request.query("after"));
    for (; entry != topic.newest.end() && entries.size() < pageSize; ++entry) {
        entries.push_back({{"key", entry->first}, {"data", base64(entry->second.second)}, {"offset", entry->second.first}});
    }
    const nlohmann::json body = {{"entries", std::move(entries)}, {"has_more", entry != topic.newest.end()},
        {"end_offset", topic.first + topic.records.size()}};
    return jsonResponse(200, body.dump());
}

HttpResponse FakeStore::joinCall(const HttpRequest &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const std::string member = body.at("member_id");
    if (std::find(this->members.begin(), this->members.end(), member) == this->members.end()) {
        this->members.push_back(member);
    }
    return jsonResponse(
        200, nlohmann::json{{"generation", this->members.size()}, {"ttl_ms", body.at("ttl_ms")}, {"parts", {}}}.dump());
}

HttpResponse FakeStore::ownersCall() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (std::size_t part = 0; part < this->members.size(); ++part) {
        rows.push_back({"instances", part, this->members[part], 0});
    }
    return jsonResponse(200, nlohmann::json{{"owners", std::move(rows)}}.dump());
}

void FakeStore::store(Topic &topic, const std::string &name, std::string record)
{
    const std::uint64_t offset = topic.first + topic.records.size();
    if (name.starts_with("keyed.") && !record.empty()) {
        const auto keySize = static_cast<unsigned char>(record.front());
        const std::string key = record.substr(1, keySize);
        std::string value = record.substr(1 + keySize);
        if (value.empty()) {
            topic.newest.erase(key);
        } else {
            topic.newest[key] = {offset, std::move(value)};
        }
    }
    topic.records.push_back(std::move(record));
}

} // namespace flamingosaddle::test
