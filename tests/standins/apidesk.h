#pragma once

#include "json.h"

#include <flamingosaddle/http/message.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace flamingosaddle::standins
{

/**
 * The platform's API for duties, usage reports and server orders: refuses a call with a lower fencing number than one that it
 * has seen for the same duty, and keeps every call with what became of it.
 */
class ApiDesk
{
public:
    // Commands.
    /** Carries a call out, or answers nothing when the path is none of the API's. */
    std::optional<HttpResponse> answer(const HttpRequest &request);
    void setFencingCheck(bool check);

    // Queries.
    /** The interface, as PlatformFaults names it, that a path belongs to; empty when it is none. */
    static std::string interfaceOf(std::string_view path);
    /** Every call in the order of arrival, with "outcome": "applied" or "refused". */
    const Json &usageReports() const;
    const Json &orders() const;

private:
    /** Whether a call with this number of the duty @p duty is carried out. */
    bool isInOrder(const std::string &duty, std::uint64_t fencing);
    HttpResponse enter(const HttpRequest &request, const std::string &duty, Json call, Json &calls);

    bool checkFencing = true;
    std::map<std::string, std::uint64_t> newestFencing; // by duty
    Json reports = Json::array();
    Json serverOrders = Json::array();
};

} // namespace flamingosaddle::standins
