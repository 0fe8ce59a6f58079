#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

/**
 * JSON codec for the records in the platform's log and for snapshots.
 *
 * A function template describes the fields of a type once, for both encoding and decoding:
 *
 *     template <typename Archive>
 *     void describe(Archive &archive, typename Archive::template Ref<Route> value)
 *     {
 *         archive.required("id", value.id);
 *         archive.optional("open", value.open);
 *     }
 *
 * Decoding never throws, whatever the input. The first error is kept and names the field; later reads do nothing.
 */
namespace flamingosaddle
{

using Json = nlohmann::json;

/**
 * Rules for decoding one kind of record.
 */
struct RecordFormat {
    ErrorKind errorKind = ErrorKind::Protocol;
    const char *remedy = "";
    std::size_t maxBytes = 0;
    bool unknownFieldsAllowed = true;
};

/**
 * Format of records that instances write. Unknown fields are ignored, so that instances of two versions can coexist.
 */
inline constexpr RecordFormat instanceRecordFormat{
    ErrorKind::Protocol, "skip the record and check the version of the instance that wrote it", std::size_t{1} << 20, true};

// Durations are added to time points with nanosecond resolution, which must not overflow.
inline constexpr std::uint64_t maxDurationCount = std::uint64_t{1} << 40;

/**
 * Names of an enumeration's values in records. A specialization defines `static constexpr std::array values` of pairs.
 */
template <typename Enum>
struct EnumNames;

/**
 * Returns the name of @p value in records; empty if it has none.
 */
template <typename Enum>
const char *enumName(Enum value)
{
    const auto &names = EnumNames<Enum>::values;
    const auto *found = std::find_if(names.begin(), names.end(), [value](const auto &entry) {
        return entry.first == value;
    });
    return found == names.end() ? "" : found->second;
}

template <typename T>
inline constexpr bool isOptional = false;
template <typename T>
inline constexpr bool isOptional<std::optional<T>> = true;
template <typename T>
inline constexpr bool isDuration = false;
template <typename Rep, typename Period>
inline constexpr bool isDuration<std::chrono::duration<Rep, Period>> = true;
template <typename T>
inline constexpr bool isVector = false;
template <typename T>
inline constexpr bool isVector<std::vector<T>> = true;
template <typename T>
inline constexpr bool isId = false;
template <typename Tag>
inline constexpr bool isId<Id<Tag>> = true;

/**
 * Writes the fields of one JSON object.
 */
class RecordWriter
{
public:
    template <typename T>
    using Ref = const T &;

    template <typename T>
    void required(const char *field, const T &value)
    {
        this->object[field] = toJson(value);
    }

    template <typename T>
    void optional(const char *field, const T &value)
    {
        if constexpr (isOptional<T>) {
            if (value.has_value()) {
                this->object[field] = toJson(*value);
            }
        } else {
            this->required(field, value);
        }
    }

    template <typename T>
    static Json toJson(const T &value)
    {
        if constexpr (isVector<T>) {
            Json array = Json::array();
            for (const auto &element : value) {
                array.push_back(toJson(element));
            }
            return array;
        } else if constexpr (isId<T> || std::is_same_v<T, Endpoint>) {
            return value.text();
        } else if constexpr (std::is_same_v<T, KeyDigest>) {
            return value.hex();
        } else if constexpr (isDuration<T>) {
            return value.count();
        } else if constexpr (std::is_enum_v<T>) {
            return enumName(value);
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        } else {
            RecordWriter writer;
            describe(writer, value);
            return std::move(writer.object);
        }
    }

private:
    Json object = Json::object();
};

/**
 * Reads the fields of one JSON object.
 */
class RecordReader
{
public:
    template <typename T>
    using Ref = T &;

    RecordReader(const Json &object, const RecordFormat &format, std::optional<Error> &failure);

    template <typename T>
    void required(const char *field, T &value)
    {
        if (const Json *found = this->find(field)) {
            this->read(*found, value, field);
        } else {
            this->fail(field, "is missing");
        }
    }

    /**
     * Leaves @p value unchanged if the object has no such field.
     */
    template <typename T>
    void optional(const char *field, T &value)
    {
        const Json *found = this->find(field);
        if (found == nullptr) {
            return;
        }
        if constexpr (isOptional<T>) {
            this->read(*found, value.emplace(), field);
        } else {
            this->read(*found, value, field);
        }
    }

    /**
     * Fails if the object has unknown fields and the format does not allow them.
     */
    void finish();

    /**
     * Records an error such as "field 'classes[1].tier' must be a string". Only the first one is kept.
     */
    void fail(const char *field, const std::string &problem);

    bool hasFailed() const
    {
        return this->failure.has_value();
    }

private:
    RecordReader(const Json &object, const RecordReader &parent, std::string name);

    const Json *find(const char *field);
    std::string path() const;

    void read(const Json &json, std::string &value, const char *field);
    void read(const Json &json, bool &value, const char *field);
    void read(const Json &json, double &value, const char *field);
    void read(const Json &json, Endpoint &value, const char *field);
    void read(const Json &json, KeyDigest &value, const char *field);
    std::uint64_t readNumber(const Json &json, std::uint64_t max, const char *field);

    template <typename T>
    void read(const Json &json, T &value, const char *field)
    {
        if constexpr (isVector<T>) {
            this->readArray(json, value, field);
        } else if constexpr (isId<T>) {
            std::string text;
            this->read(json, text, field);
            value = T(std::move(text));
        } else if constexpr (isDuration<T>) {
            value = T(this->readNumber(json, maxDurationCount, field));
        } else if constexpr (std::is_enum_v<T>) {
            this->readEnum(json, value, field);
        } else if constexpr (std::is_integral_v<T>) {
            value = static_cast<T>(this->readNumber(json, std::numeric_limits<T>::max(), field));
        } else {
            this->readObject(json, value, field);
        }
    }

    template <typename T>
    void readArray(const Json &json, std::vector<T> &value, const char *field)
    {
        if (!json.is_array()) {
            this->fail(field, "must be an array");
            return;
        }
        value.clear();
        value.reserve(json.size());
        for (const Json &element : json) {
            const std::string name = std::string(field) + "[" + std::to_string(value.size()) + "]";
            this->read(element, value.emplace_back(), name.c_str());
            if (this->hasFailed()) {
                return;
            }
        }
    }

    template <typename T>
    void readObject(const Json &json, T &value, const char *field)
    {
        RecordReader child(json, *this, field);
        describe(child, value);
        child.finish();
    }

    template <typename Enum>
    void readEnum(const Json &json, Enum &value, const char *field)
    {
        std::string text;
        this->read(json, text, field);
        std::string choices;
        for (const auto &[candidate, name] : EnumNames<Enum>::values) {
            if (text == name) {
                value = candidate;
                return;
            }
            choices += choices.empty() ? name : std::string(", ") + name;
        }
        this->fail(field, "must be one of " + choices);
    }

    const Json &object;
    const RecordFormat &format;
    std::optional<Error> &failure;
    const RecordReader *parent = nullptr;
    std::string name;
    std::size_t fieldsFound = 0;
};

/**
 * Parses @p text. Fails if it is not a JSON object or exceeds the size limit of the format.
 */
Result<Json> parseRecord(std::string_view text, const RecordFormat &format);

/**
 * Returns @p json as text. Invalid UTF-8 is replaced.
 */
std::string writeJson(const Json &json);

/**
 * Encodes @p value as the text of a record.
 */
template <typename T>
std::string encodeRecord(const T &value)
{
    return writeJson(RecordWriter::toJson(value));
}

/**
 * Decodes a value from the text of a record.
 */
template <typename T>
Result<T> decodeRecord(std::string_view text, const RecordFormat &format = instanceRecordFormat)
{
    const Result<Json> json = parseRecord(text, format);
    if (json.has_error()) {
        return fail(json.error());
    }
    std::optional<Error> failure;
    RecordReader reader(json.value(), format, failure);
    T value;
    describe(reader, value);
    reader.finish();
    if (failure.has_value()) {
        return fail(std::move(*failure));
    }
    return value;
}

} // namespace flamingosaddle
