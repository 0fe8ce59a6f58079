#pragma once

#include <flamingosaddle/peer/message.h>

#include <msgpack.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

/**
 * The msgpack encoding of values: a structure is an array of its fields in the order of fieldsOf(), a vector is an array, and
 * an optional value is an array with one element or none. Decoding throws msgpack::type_error for any other input.
 */
namespace flamingosaddle::wire
{

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T, typename Type>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Type>;

template <typename T>
inline constexpr bool isVector = false;
template <typename T>
inline constexpr bool isVector<std::vector<T>> = true;
template <typename T>
inline constexpr bool isOptional = false;
template <typename T>
inline constexpr bool isOptional<std::optional<T>> = true;
template <typename T>
inline constexpr bool isId = false;
template <typename Tag>
inline constexpr bool isId<Id<Tag>> = true;

/**
 * Number of fields at the end of a structure that were added to a version of the protocol in use. They are left out of a message
 * while they have their default values, and take these if a message lacks them, so that instances that do not know them
 * understand all messages without them.
 */
template <typename T>
inline constexpr std::size_t addedFields = 0;
template <>
inline constexpr std::size_t addedFields<RegisteredServer> = 1;

auto fieldsOf(MaybeConst<Incarnation> auto &value)
{
    return std::tie(value.instance, value.number);
}

auto fieldsOf(MaybeConst<Heartbeat> auto &value)
{
    return std::tie(value.from, value.sequence, value.state, value.address, value.dataCentre);
}

auto fieldsOf(MaybeConst<WaitingTier> auto &value)
{
    return std::tie(value.model, value.service, value.tier);
}

auto fieldsOf(MaybeConst<ServerLoad> auto &value)
{
    return std::tie(value.server, value.inFlight, value.backlogTokens);
}

auto fieldsOf(MaybeConst<PromptPrefill> auto &value)
{
    return std::tie(value.server, value.prefixHash);
}

auto fieldsOf(MaybeConst<ServiceDemand> auto &value)
{
    return std::tie(value.service, value.serverMilliseconds);
}

auto fieldsOf(MaybeConst<ServedTokens> auto &value)
{
    return std::tie(value.clientAccount, value.model, value.service, value.tier, value.weightThousandths, value.tokens);
}

auto fieldsOf(MaybeConst<RateLimitReport> auto &value)
{
    return std::tie(value.server, value.requestsPer1000Seconds, value.age);
}

auto fieldsOf(MaybeConst<TargetName> auto &value)
{
    return std::tie(value.model, value.service);
}

auto fieldsOf(MaybeConst<DeathNotice> auto &value)
{
    return std::tie(value.fingerprint, value.server, value.promptParts, value.ranFor);
}

auto fieldsOf(MaybeConst<SuspectNotice> auto &value)
{
    return std::tie(value.fingerprint, value.validFor);
}

auto fieldsOf(MaybeConst<DeathCountNotice> auto &value)
{
    return std::tie(value.fingerprint, value.deaths, value.validFor);
}

auto fieldsOf(MaybeConst<PromptPartNotice> auto &value)
{
    return std::tie(value.part, value.validFor);
}

auto fieldsOf(MaybeConst<KnownInstance> auto &value)
{
    return std::tie(value.id, value.address);
}

auto fieldsOf(MaybeConst<TopicProgress> auto &value)
{
    return std::tie(value.nextOffset, value.age);
}

auto fieldsOf(MaybeConst<StoreProgress> auto &value)
{
    return std::tie(value.config, value.servers);
}

auto fieldsOf(MaybeConst<BackendServer> auto &value)
{
    return std::tie(value.id, value.endpoint, value.dataCentre, value.kind, value.models, value.service, value.slots, value.cheap,
        value.leaving, value.softwareVersion, value.checksFencing);
}

auto fieldsOf(MaybeConst<RegisteredServer> auto &value)
{
    return std::tie(value.server, value.startedAt, value.leavesIn, value.coldFor);
}

auto fieldsOf(MaybeConst<ServerChange> auto &value)
{
    return std::tie(value.id, value.server);
}

auto fieldsOf(MaybeConst<HelloMessage> auto &value)
{
    return std::tie(value.from, value.dataCentre, value.connection, value.forwardAddress);
}

auto fieldsOf(MaybeConst<RejectionLimitReport> auto &value)
{
    return std::tie(value.target, value.rejectionsPerSecond, value.age);
}

auto fieldsOf(MaybeConst<HeartbeatMessage> auto &value)
{
    return std::tie(value.heartbeat, value.configOffset, value.hasFreshConfig, value.isLeader, value.waitingTiers, value.loads,
        value.servedTokens, value.prefills, value.demands, value.rateLimits, value.unreachableTargets, value.rejectionLimits);
}

auto fieldsOf(MaybeConst<TombstonesMessage> auto &value)
{
    return std::tie(value.keys);
}

auto fieldsOf(MaybeConst<QuarantinesMessage> auto &value)
{
    return std::tie(value.deaths, value.suspects, value.deathCounts, value.quarantinedParts, value.clearedParts);
}

auto fieldsOf(MaybeConst<InstancesMessage> auto &value)
{
    return std::tie(value.instances);
}

auto fieldsOf(MaybeConst<ConfigSnapshotMessage> auto &value)
{
    return std::tie(value.text);
}

auto fieldsOf(MaybeConst<LeaveMessage> auto &value)
{
    return std::tie(value.from);
}

auto fieldsOf(MaybeConst<AckMessage> auto &value)
{
    return std::tie(value.sequence, value.progress);
}

auto fieldsOf(MaybeConst<ServersRequestMessage> auto &value)
{
    return std::tie(value.fromOffset);
}

auto fieldsOf(MaybeConst<ServersMessage> auto &value)
{
    return std::tie(value.fromOffset, value.nextOffset, value.isComplete, value.changes, value.gracePeriod);
}

auto fieldsOf(MaybeConst<UsageCountsMessage> auto &value)
{
    return std::tie(value.sequence, value.record);
}

auto fieldsOf(MaybeConst<UsageCountsAckMessage> auto &value)
{
    return std::tie(value.sequence);
}

/** Returns how many fields of the structure are sent, see addedFields. */
template <typename T>
std::size_t sentFields(const T &value)
{
    const auto fields = fieldsOf(value);
    constexpr std::size_t size = std::tuple_size_v<decltype(fields)>;
    std::size_t count = size - addedFields<T>;
    if constexpr (addedFields < T >> 0) {
        std::size_t index = 0;
        const auto countSet = [&index, &count](const auto &...field) {
            ((++index, count = field == std::remove_cvref_t<decltype(field)>() ? count : std::max(count, index)), ...);
        };
        std::apply(countSet, fields);
    }
    return count;
}

template <typename T>
void encode(Packer &packer, const T &value)
{
    if constexpr (std::is_integral_v<T> || std::is_same_v<T, std::string>) {
        packer.pack(value);
    } else if constexpr (isId<T> || std::is_same_v<T, Endpoint>) {
        packer.pack(value.text());
    } else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
        packer.pack(value.count());
    } else if constexpr (std::is_enum_v<T>) {
        packer.pack(static_cast<unsigned>(value));
    } else if constexpr (isOptional<T>) {
        packer.pack_array(value.has_value() ? 1 : 0);
        if (value.has_value()) {
            encode(packer, *value);
        }
    } else if constexpr (isVector<T>) {
        packer.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto &element : value) {
            encode(packer, element);
        }
    } else {
        const auto fields = fieldsOf(value);
        const std::size_t count = sentFields(value);
        packer.pack_array(static_cast<std::uint32_t>(count));
        const auto encodeEach = [&packer, count](const auto &...field) {
            std::size_t index = 0;
            ((index++ < count ? encode(packer, field) : void()), ...);
        };
        std::apply(encodeEach, fields);
    }
}

inline const msgpack::object_array &asArray(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    return object.via.array;
}

inline Endpoint decodeEndpoint(const msgpack::object &object)
{
    const auto endpoint = Endpoint::parse(object.as<std::string>());
    if (endpoint.has_error()) {
        throw msgpack::type_error();
    }
    return endpoint.value();
}

/** Decodes an enumerator. @param last the enumeration's last value */
template <typename T>
T decodeEnum(const msgpack::object &object, T last)
{
    const auto number = object.as<unsigned>();
    if (number > static_cast<unsigned>(last)) {
        throw msgpack::type_error();
    }
    return static_cast<T>(number);
}

template <typename T>
T decode(const msgpack::object &object);

template <typename T>
T decodeStructure(const msgpack::object &object)
{
    T value;
    const auto fields = fieldsOf(value);
    const msgpack::object_array &array = asArray(object);
    constexpr std::size_t size = std::tuple_size_v<decltype(fields)>;
    if (array.size > size || array.size < size - addedFields<T>) {
        throw msgpack::type_error();
    }
    std::size_t index = 0;
    const auto decodeNext = [&array, &index](auto &field) {
        if (index < array.size) {
            field = decode<std::remove_reference_t<decltype(field)>>(array.ptr[index]);
        }
        ++index;
    };
    const auto decodeEach = [&decodeNext](auto &...field) {
        (decodeNext(field), ...);
    };
    std::apply(decodeEach, fields);
    return value;
}

template <typename T>
T decodeList(const msgpack::object &object)
{
    T list;
    const msgpack::object_array &array = asArray(object);
    list.reserve(array.size);
    for (std::uint32_t i = 0; i < array.size; ++i) {
        list.push_back(decode<typename T::value_type>(array.ptr[i]));
    }
    return list;
}

template <typename T>
T decodeOptional(const msgpack::object &object)
{
    const msgpack::object_array &array = asArray(object);
    if (array.size > 1) {
        throw msgpack::type_error();
    }
    return array.size == 0 ? T() : T(decode<typename T::value_type>(array.ptr[0]));
}

template <typename T>
T decode(const msgpack::object &object)
{
    if constexpr (std::is_integral_v<T> || std::is_same_v<T, std::string>) {
        return object.as<T>();
    } else if constexpr (isId<T>) {
        return T(object.as<std::string>());
    } else if constexpr (std::is_same_v<T, Endpoint>) {
        return decodeEndpoint(object);
    } else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
        return T(object.as<std::int64_t>());
    } else if constexpr (std::is_same_v<T, MemberState>) {
        return decodeEnum(object, MemberState::Gone);
    } else if constexpr (std::is_same_v<T, BackendKind>) {
        return decodeEnum(object, BackendKind::Service);
    } else if constexpr (isOptional<T>) {
        return decodeOptional<T>(object);
    } else if constexpr (isVector<T>) {
        return decodeList<T>(object);
    } else {
        return decodeStructure<T>(object);
    }
}

} // namespace flamingosaddle::wire
