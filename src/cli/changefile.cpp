#include <flamingosaddle/cli/changefile.h>

#include <nlohmann/json.hpp>

namespace flamingosaddle
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxFileBytes = std::size_t{16} << 20;

/**
 * The objects of a file: its array's elements, or its only object.
 */
Result<std::vector<Json>> readObjects(std::string_view text)
{
    if (text.size() > maxFileBytes) {
        return fail(ErrorKind::TooLarge, "the file is too large", "split it into files below 16 MiB");
    }
    const Json json = Json::parse(text, nullptr, false, true);
    if (json.is_discarded()) {
        return fail(ErrorKind::InvalidConfiguration, "the file is no JSON", "check its brackets, quotes and commas");
    }
    std::vector<Json> objects;
    if (json.is_array()) {
        objects.assign(json.begin(), json.end());
    } else {
        objects.push_back(json);
    }
    for (const Json &object : objects) {
        if (!object.is_object()) {
            return fail(ErrorKind::InvalidConfiguration, "the file holds something else than objects",
                "write one JSON object or an array of them");
        }
    }
    if (objects.empty()) {
        return fail(ErrorKind::InvalidConfiguration, "the file holds no object", "write at least one");
    }
    return objects;
}

Result<ConfigChange> decodeElement(const Json &record, std::size_t index)
{
    const std::string text = record.dump(-1, ' ', false, Json::error_handler_t::replace);
    auto change = decodeConfigChange(text);
    if (change.has_error()) {
        const Error &error = change.error();
        return fail(error.kind(), "object " + std::to_string(index) + ": " + error.message(), error.remedy());
    }
    return std::move(change).value();
}

/**
 * Completes each record with its origin and decodes it.
 */
Result<std::vector<ConfigChange>> decodeRecords(std::vector<Json> records, const ChangeOrigin &origin)
{
    std::vector<ConfigChange> changes;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const std::string suffix = records.size() > 1 ? "-" + std::to_string(i + 1) : std::string();
        records[i]["id"] = origin.id.text() + suffix;
        records[i]["author"] = origin.author;
        BOOST_OUTCOME_TRY(change, decodeElement(records[i], i + 1));
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace

Result<std::vector<ConfigChange>> readValues(std::string_view text, const std::string &kind, const ChangeOrigin &origin)
{
    BOOST_OUTCOME_TRY(values, readObjects(text));
    std::vector<Json> records;
    for (Json &value : values) {
        Json record;
        record["kind"] = kind;
        record["value"] = std::move(value);
        records.push_back(std::move(record));
    }
    return decodeRecords(std::move(records), origin);
}

Result<std::vector<ConfigChange>> readKindsAndValues(std::string_view text, const ChangeOrigin &origin)
{
    BOOST_OUTCOME_TRY(records, readObjects(text));
    return decodeRecords(std::move(records), origin);
}

} // namespace flamingosaddle
