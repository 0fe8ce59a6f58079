#include "apidesk.h"

#include <flamingosaddle/http/server.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle::standins
{

std::string ApiDesk::interfaceOf(std::string_view path)
{
    if (path == "/usage") {
        return "usage";
    }
    return path == "/scaling" ? "orders" : "";
}

std::optional<HttpResponse> ApiDesk::answer(const HttpRequest &request)
{
    const std::string interface = interfaceOf(request.path());
    if (interface.empty()) {
        return std::nullopt;
    }
    const Json body = Json::parse(request.body);
    if (interface == "usage") {
        Json report = {{"window", body.at("window_id")}, {"counts", body.at("counts")}};
        return this->enter(request, "usage", std::move(report), this->reports);
    }
    Json order = {{"service", body.at("service")}, {"dataCentre", body.at("zone")}, {"count", body.at("desired")},
        {"cheap", body.value("spot", false)}};
    const std::string duty = "scaling of " + body.at("service").get<std::string>();
    return this->enter(request, duty, std::move(order), this->serverOrders);
}

void ApiDesk::setFencingCheck(bool check)
{
    this->checkFencing = check;
}

const Json &ApiDesk::usageReports() const
{
    return this->reports;
}

const Json &ApiDesk::orders() const
{
    return this->serverOrders;
}

bool ApiDesk::isInOrder(const std::string &duty, std::uint64_t fencing)
{
    std::uint64_t &newest = this->newestFencing[duty];
    if (this->checkFencing && fencing < newest) {
        return false;
    }
    newest = std::max(newest, fencing);
    return true;
}

HttpResponse ApiDesk::enter(const HttpRequest &request, const std::string &duty, Json call, Json &calls)
{
    const std::uint64_t fencing = std::stoull("0" + std::string(request.headers.find("Flamingosaddle-Fencing-Token")));
    const bool isApplied = this->isInOrder(duty, fencing);
    call["arrival"] = calls.size();
    call["holder"] = request.headers.find("Flamingosaddle-Lease-Holder");
    call["epoch"] = fencing;
    call["outcome"] = isApplied ? "applied" : "refused";
    calls.push_back(std::move(call));
    return jsonResponse(isApplied ? 200 : 409, "{}");
}

} // namespace flamingosaddle::standins
