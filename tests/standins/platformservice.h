#pragma once

#include "apidesk.h"
#include "callwait.h"
#include "platformfaults.h"
#include "storecalls.h"

#include <flamingosaddle/http/server.h>

#include <set>

namespace flamingosaddle::standins
{

/**
 * The platform's store and API on one address, with faults that a test switches on under `/admin/`:
 *
 * - `POST /admin/faults` `{"log": {"down", "delayMs", "loseAnswers"}, "orders": {..}, "usage": {..}, "instances": {..},
 *   "checkFencing", "retention"}`; a field that is left out stays as it is
 * - `POST /admin/trim` `{"topic", "first"}`
 * - `GET /admin/audit`: `{"appends", "orders", "usageReports"}`, each in the order of arrival
 */
class PlatformService
{
public:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    boost::asio::awaitable<void> waitForRecord(const HttpRequest &request, CallWait &wait);
    HttpResponse call(const HttpRequest &request);
    HttpResponse admin(const HttpRequest &request);
    void setFaults(const Json &faults);
    void wakeReaders();

    StoreCalls store;
    ApiDesk api;
    PlatformFaults faults;
    std::set<CallWait *> readers;
};

} // namespace flamingosaddle::standins
