#include <flamingosaddle/platform/platformcodec.h>

#include <nlohmann/json.hpp>

#include <optional>

namespace flamingosaddle
{

const char *toString(LogStream stream)
{
    switch (stream) {
    case LogStream::Config:
        return "config";
    case LogStream::ConfigSnapshot:
        return "config-snapshot";
    case LogStream::Leases:
        return "leases";
    case LogStream::LeasesSnapshot:
        return "leases-snapshot";
    case LogStream::Orders:
        return "orders";
    case LogStream::OrdersSnapshot:
        return "orders-snapshot";
    case LogStream::Usage:
        return "usage";
    case LogStream::UsageSnapshot:
        return "usage-snapshot";
    case LogStream::Claims:
        return "claims";
    case LogStream::ClaimsSnapshot:
        return "claims-snapshot";
    }
    return "";
}

} // namespace flamingosaddle

namespace flamingosaddle::platformcodec
{

namespace
{

using Json = nlohmann::json;

constexpr const char *protocolRemedy = "check that the address is the platform's and that its version fits docs/PROTOCOL.md";

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/**
 * Reads fields of one JSON object and remembers the first that is missing or of another type.
 */
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : object(object)
    {
    }

    std::string text(const char *name)
    {
        const Json *field = this->find(name, &Json::is_string);
        return field != nullptr ? field->get<std::string>() : std::string();
    }

    std::uint64_t number(const char *name)
    {
        const Json *field = this->find(name, &Json::is_number_unsigned);
        return field != nullptr ? field->get<std::uint64_t>() : 0;
    }

    bool flag(const char *name)
    {
        const Json *field = this->find(name, &Json::is_boolean);
        return field != nullptr && field->get<bool>();
    }

    const Json *list(const char *name)
    {
        return this->find(name, &Json::is_array);
    }

    std::optional<Error> fault() const
    {
        if (this->faultyField.empty()) {
            return std::nullopt;
        }
        return Error(
            ErrorKind::Protocol, "the platform's answer lacks a valid field '" + this->faultyField + "'", protocolRemedy);
    }

private:
    const Json *find(const char *name, bool (Json::*isType)() const)
    {
        const auto field = this->object.is_object() ? this->object.find(name) : this->object.end();
        if (field != this->object.end() && ((*field).*isType)()) {
            return &*field;
        }
        if (this->faultyField.empty()) {
            this->faultyField = name;
        }
        return nullptr;
    }

    const Json &object;
    std::string faultyField;
};

Result<Json> parse(std::string_view body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return fail(ErrorKind::Protocol, "the platform's answer is no JSON object", protocolRemedy);
    }
    return json;
}

LogRecord readRecord(FieldReader &fields)
{
    LogRecord record;
    record.offset = fields.number("offset");
    record.body = fields.text("body");
    return record;
}

InstanceEntry readInstance(FieldReader &fields)
{
    InstanceEntry entry;
    entry.id = InstanceId(fields.text("id"));
    entry.peerAddress = fields.text("peerAddress");
    entry.dataCentre = DataCentre(fields.text("dataCentre"));
    entry.leaving = fields.flag("leaving");
    return entry;
}

BackendMachine readMachine(FieldReader &fields)
{
    BackendMachine machine;
    machine.id = fields.text("id");
    machine.address = fields.text("address");
    machine.dataCentre = DataCentre(fields.text("dataCentre"));
    machine.model = fields.text("model");
    machine.cheap = fields.flag("cheap");
    machine.reclaimNotice = fields.flag("reclaimNotice");
    machine.orderId = fields.text("orderId");
    return machine;
}

/**
 * The list @p name of @p object, each element read by @p read.
 */
template <typename T>
Result<std::vector<T>> readList(const Json &object, const char *name, T (*read)(FieldReader &))
{
    FieldReader outer(object);
    const Json *list = outer.list(name);
    if (list == nullptr) {
        return fail(*outer.fault());
    }
    std::vector<T> values;
    values.reserve(list->size());
    for (const Json &element : *list) {
        FieldReader fields(element);
        values.push_back(read(fields));
        if (auto fault = fields.fault()) {
            return fail(std::move(*fault));
        }
    }
    return values;
}

bool isOrdered(const LogBatch &batch)
{
    std::uint64_t lowest = batch.firstOffset;
    for (const LogRecord &record : batch.records) {
        if (record.offset < lowest || record.offset >= batch.nextOffset) {
            return false;
        }
        lowest = record.offset + 1;
    }
    return true;
}

std::string messageIn(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) {
        return "";
    }
    FieldReader fields(json["error"]);
    return fields.text("message");
}

Error trimmed(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    FieldReader fields(json);
    const std::uint64_t first = fields.number("first");
    if (auto fault = fields.fault()) {
        return std::move(*fault);
    }
    return {ErrorKind::Trimmed, "the log begins at offset " + std::to_string(first), "load a snapshot and read on from there"};
}

} // namespace

std::string encodeOrder(const PlatformOrder &order)
{
    Json json;
    json["id"] = order.id;
    json["kind"] = toString(order.kind);
    json["server"] = order.server;
    json["model"] = order.model;
    json["cheap"] = order.cheap;
    json["fencing"] = order.fencing;
    json["holder"] = order.holder;
    return dump(json);
}

std::string encodeUsageReport(const UsageReport &report)
{
    Json json;
    json["clientAccount"] = report.clientAccount;
    json["window"] = report.window;
    json["requests"] = report.requests;
    json["promptTokens"] = report.promptTokens;
    json["completionTokens"] = report.completionTokens;
    json["fencing"] = report.fencing;
    json["holder"] = report.holder;
    return dump(json);
}

Result<std::uint64_t> decodeAppended(std::string_view body)
{
    BOOST_OUTCOME_TRY(json, parse(body));
    FieldReader fields(json);
    const std::uint64_t offset = fields.number("offset");
    if (auto fault = fields.fault()) {
        return fail(std::move(*fault));
    }
    return offset;
}

Result<LogBatch> decodeLogBatch(std::string_view body)
{
    BOOST_OUTCOME_TRY(json, parse(body));
    FieldReader fields(json);
    LogBatch batch;
    batch.firstOffset = fields.number("first");
    batch.nextOffset = fields.number("next");
    batch.headOffset = fields.number("head");
    if (auto fault = fields.fault()) {
        return fail(std::move(*fault));
    }
    BOOST_OUTCOME_TRY(records, readList<LogRecord>(json, "records", readRecord));
    batch.records = std::move(records);
    if (!isOrdered(batch)) {
        return fail(ErrorKind::Protocol, "the offsets in the log's answer do not count up", protocolRemedy);
    }
    return batch;
}

Result<std::vector<InstanceEntry>> decodeInstances(std::string_view body)
{
    BOOST_OUTCOME_TRY(json, parse(body));
    return readList<InstanceEntry>(json, "instances", readInstance);
}

Result<std::vector<BackendMachine>> decodeMachines(std::string_view body)
{
    BOOST_OUTCOME_TRY(json, parse(body));
    return readList<BackendMachine>(json, "machines", readMachine);
}

Error errorOf(int status, std::string_view body)
{
    constexpr int gone = 410;
    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;
    if (status == gone) {
        return trimmed(body);
    }
    const std::string message = "the platform answered " + std::to_string(status) + " " + messageIn(body);
    if (status >= firstServerError) {
        return {ErrorKind::Unavailable, message, "try again; the call may have taken effect"};
    }
    if (status >= firstClientError) {
        return {ErrorKind::Refused, message, "correct what the message names before trying again"};
    }
    return {ErrorKind::Protocol, message, protocolRemedy};
}

} // namespace flamingosaddle::platformcodec
