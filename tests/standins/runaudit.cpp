#include "runaudit.h"

#include <flamingosaddle/base/clock.h>

namespace flamingosaddle::standins
{

namespace
{

constexpr std::size_t maxBodyBytes = 4096; ///< of a request that the audit keeps

Json receivedJson(const HttpRequest &request)
{
    Json headers = Json::array();
    for (const HttpHeader &header : request.headers.fields()) {
        headers.push_back({{"name", header.name}, {"value", header.value}});
    }
    // The steady clock is common to all processes of a machine.
    const auto arrival = std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now().time_since_epoch());
    return {{"arrivalMs", arrival.count()}, {"method", request.method}, {"target", request.target},
        {"requestId", request.headers.find("X-Request-Id")}, {"idempotencyKey", request.headers.find("Idempotency-Key")},
        {"headers", std::move(headers)}, {"body", request.body.substr(0, maxBodyBytes)}};
}

} // namespace

const char *toString(RunEnd end)
{
    switch (end) {
    case RunEnd::Running:
        return "running";
    case RunEnd::NotRun:
        return "notRun";
    case RunEnd::Whole:
        return "whole";
    case RunEnd::Cancelled:
        return "cancelled";
    case RunEnd::Truncated:
        return "truncated";
    case RunEnd::ResponseLost:
        return "answerLost";
    }
    return "unknown";
}

void RunAudit::writeTo(const std::string &path)
{
    this->file.open(path, std::ios::app);
}

RunAudit::Run RunAudit::begin(const HttpRequest &request)
{
    this->entries.push_back({receivedJson(request)});
    this->write(this->entries.size() - 1);
    return this->entries.size() - 1;
}

void RunAudit::countToken(Run run)
{
    ++this->entries[run].tokens;
}

void RunAudit::end(Run run, RunEnd end)
{
    this->entries[run].end = end;
    this->write(run);
}

Json RunAudit::json() const
{
    Json result = Json::array();
    for (Run run = 0; run < this->entries.size(); ++run) {
        result.push_back(this->entryJson(run));
    }
    return result;
}

Json RunAudit::entryJson(Run run) const
{
    const Entry &entry = this->entries[run];
    Json json = entry.received;
    json["run"] = run;
    json["tokens"] = entry.tokens;
    json["end"] = toString(entry.end);
    return json;
}

void RunAudit::write(Run run)
{
    if (this->file.is_open()) {
        this->file << this->entryJson(run).dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
    }
}

} // namespace flamingosaddle::standins
