#pragma once

#include "callwait.h"
#include "instancelist.h"
#include "logstore.h"
#include "machinedesk.h"
#include "platformfaults.h"

#include <flamingosaddle/http/server.h>

#include <set>

namespace flamingosaddle::standins
{

/**
 * The platform's interfaces of docs/PROTOCOL.md on one address, with faults that a test switches on under `/admin/`:
 *
 * - `POST /admin/faults` `{"log": {"down", "delayMs", "loseAnswers"}, "orders": {..}, "usage": {..}, "instances": {..},
 *   "checkFencing", "retention"}`; a field that is left out stays as it is
 * - `POST /admin/trim` `{"stream", "first"}`
 * - `POST /admin/instances` `{"instances": [..], "lagMs"}`
 * - `POST /admin/machines` `{"add": [..], "spare": [..], "remove": [id..], "reclaim": dataCentre}`
 * - `GET /admin/audit`: `{"appends", "orders", "usageReports"}`, each in the order of arrival
 */
class PlatformService
{
public:
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    boost::asio::awaitable<HttpResponse> readLog(const HttpRequest &request, const std::string &stream, CallWait &wait);
    HttpResponse call(const HttpRequest &request, const std::vector<std::string> &path);
    HttpResponse append(const std::string &stream, const std::string &body);
    HttpResponse instanceCall(const HttpRequest &request);
    HttpResponse dataCentreCall(const HttpRequest &request, const std::string &dataCentre, const std::string &what);
    HttpResponse usageCall(const HttpRequest &request);
    HttpResponse admin(const HttpRequest &request, const std::string &what);
    void setFaults(const Json &faults);
    void changeMachines(const Json &change);
    void wakeReaders();

    LogStore log;
    MachineDesk machines;
    InstanceList instances;
    PlatformFaults faults;
    Json usageReports = Json::array();
    std::set<CallWait *> readers;
};

} // namespace flamingosaddle::standins
