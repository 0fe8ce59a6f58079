#include "recordcodec.h"

namespace flamingosaddle
{

RecordReader::RecordReader(const Json &object, const RecordFormat &format, std::optional<Error> &failure)
    : object(object)
    , format(format)
    , failure(failure)
{
}

RecordReader::RecordReader(const Json &object, const RecordReader &parent, std::string name)
    : object(object)
    , format(parent.format)
    , failure(parent.failure)
    , parent(&parent)
    , name(std::move(name))
{
    if (!object.is_object()) {
        this->fail("", "must be an object");
    }
}

const Json *RecordReader::find(const char *field)
{
    if (this->hasFailed()) {
        return nullptr;
    }
    const auto found = this->object.find(field);
    if (found == this->object.end()) {
        return nullptr;
    }
    ++this->fieldsFound;
    return &*found;
}

void RecordReader::finish()
{
    if (this->format.unknownFieldsAllowed || this->hasFailed() || this->fieldsFound == this->object.size()) {
        return;
    }
    this->fail("", "has unknown fields");
}

std::string RecordReader::path() const
{
    if (this->parent == nullptr) {
        return "";
    }
    const std::string parentPath = this->parent->path();
    return parentPath.empty() ? this->name : parentPath + "." + this->name;
}

void RecordReader::fail(const char *field, const std::string &problem)
{
    if (this->hasFailed()) {
        return;
    }
    std::string fullPath = this->path();
    if (!fullPath.empty() && *field != '\0') {
        fullPath += ".";
    }
    fullPath += field;
    const std::string subject = fullPath.empty() ? std::string("the record ") : "field '" + fullPath + "' ";
    this->failure.emplace(this->format.errorKind, subject + problem, this->format.remedy);
}

void RecordReader::read(const Json &json, std::string &value, const char *field)
{
    if (!json.is_string()) {
        this->fail(field, "must be a string");
        return;
    }
    value = json.get_ref<const std::string &>();
}

void RecordReader::read(const Json &json, bool &value, const char *field)
{
    if (!json.is_boolean()) {
        this->fail(field, "must be true or false");
        return;
    }
    value = json.get<bool>();
}

void RecordReader::read(const Json &json, double &value, const char *field)
{
    if (!json.is_number() || !std::isfinite(json.get<double>())) {
        this->fail(field, "must be a finite number");
        return;
    }
    value = json.get<double>();
}

void RecordReader::read(const Json &json, Endpoint &value, const char *field)
{
    std::string text;
    this->read(json, text, field);
    auto endpoint = Endpoint::parse(text);
    if (endpoint.has_error()) {
        this->fail(field, "must be an IP address and a port, for example 127.0.0.1:8080");
        return;
    }
    value = std::move(endpoint).value();
}

void RecordReader::read(const Json &json, KeyDigest &value, const char *field)
{
    std::string text;
    this->read(json, text, field);
    if (!KeyDigest::parse(text, value)) {
        this->fail(field, "must be 64 hexadecimal digits");
    }
}

std::uint64_t RecordReader::readNumber(const Json &json, std::uint64_t max, const char *field)
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > max) {
        this->fail(field, "must be an integer from 0 to " + std::to_string(max));
        return 0;
    }
    return json.get<std::uint64_t>();
}

Result<Json> parseRecord(std::string_view text, const RecordFormat &format)
{
    if (text.size() > format.maxBytes) {
        return fail(format.errorKind, "the record has more than " + std::to_string(format.maxBytes) + " bytes", format.remedy);
    }
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return fail(format.errorKind, "the record is no JSON object", format.remedy);
    }
    return json;
}

std::string writeJson(const Json &json)
{
    constexpr int oneLine = -1;
    return json.dump(oneLine, ' ', false, Json::error_handler_t::replace);
}

} // namespace flamingosaddle
