#include "messages.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;

namespace
{

std::string payloadOf(const std::string &frame)
{
    return frame.substr(PeerFrameFormat::headerBytes);
}

PeerFrameHeader headerOf(const std::string &frame)
{
    PeerFrameHeader header{};
    std::copy_n(frame.begin(), header.size(), header.begin());
    return header;
}

HeartbeatMessage anyHeartbeat()
{
    HeartbeatMessage message = sampleHeartbeatMessage(*rc::gen::arbitrary<std::string>());
    message.heartbeat.state
        = *rc::gen::element(MemberState::Joining, MemberState::Serving, MemberState::Draining, MemberState::Gone);
    message.configOffset = *rc::gen::arbitrary<std::uint64_t>();
    for (const int tier : *rc::gen::arbitrary<std::vector<int>>()) {
        message.waitingTiers.push_back({ModelName(*rc::gen::arbitrary<std::string>()), ServiceName(), tier});
    }
    for (const std::string &server : *rc::gen::arbitrary<std::vector<std::string>>()) {
        message.loads.push_back(
            {BackendServerId(server), *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint64_t>()});
        message.demands.push_back({ServiceName(server), *rc::gen::arbitrary<std::uint64_t>()});
        message.prefills.push_back({BackendServerId(server), *rc::gen::arbitrary<std::uint64_t>()});
        message.servedTokens.push_back({ClientAccountId(server), ModelName(server), ServiceName(server),
            *rc::gen::arbitrary<std::int32_t>(), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()});
    }
    return message;
}

RegisteredServer registeredServer(const BackendServerId &id)
{
    RegisteredServer registered;
    registered.server.id = id;
    registered.server.endpoint = {"10.0.0.1", 8080};
    return registered;
}

ServersMessage anyServers()
{
    ServersMessage message{1, 2, *rc::gen::arbitrary<bool>(), {}, std::chrono::milliseconds(0)};
    for (const std::string &id : *rc::gen::arbitrary<std::vector<std::string>>()) {
        ServerChange change{BackendServerId(id), std::nullopt};
        if (*rc::gen::arbitrary<bool>()) {
            change.server = registeredServer(change.id);
            change.server->startedAt = *rc::gen::arbitrary<std::uint64_t>();
            change.server->coldFor = std::chrono::milliseconds(*rc::gen::element(0, 1, 2900));
        }
        message.changes.push_back(std::move(change));
    }
    return message;
}

PeerMessage anyMessage()
{
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const Incarnation from{InstanceId(text), number};
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return HelloMessage{from, DataCentre(text), number, Endpoint{"10.0.0.1", static_cast<std::uint16_t>(number)}};
    case 1:
        return anyHeartbeat();
    case 2:
        return TombstonesMessage{{KeyId(text), KeyId("k")}};
    case 3:
        return QuarantinesMessage{{{number, BackendServerId(text), {number, 1}, std::chrono::milliseconds(number % 100000)}},
            {{number, std::chrono::milliseconds(number % 100000)}},
            {{number, static_cast<std::uint32_t>(number), std::chrono::milliseconds(number % 100000)}},
            {{number, std::chrono::milliseconds(number % 100000)}}, {number}};
    case 4:
        return InstancesMessage{{{InstanceId(text), {"10.0.0.1", static_cast<std::uint16_t>(number)}}}};
    case 5:
        return ConfigSnapshotMessage{text};
    case 6:
        return LeaveMessage{from};
    case 7:
        return anyServers();
    default:
        return AckMessage{number};
    }
}

} // namespace

TEST(PeerFrame, RoundTripsEveryMessage)
{
    EXPECT_TRUE(rc::check("decode inverts encode", [] {
        const PeerFrame frame{*rc::gen::arbitrary<std::uint64_t>(), anyMessage()};
        const auto bytes = encodeFrame(frame);
        RC_ASSERT(bytes.has_value());
        RC_ASSERT(decodeFrameLength(headerOf(bytes.value())).value() == bytes.value().size() - PeerFrameFormat::headerBytes);
        const auto decoded = decodeFrame(payloadOf(bytes.value()));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == frame);
    }));
}

// Instances that do not know the cold time of a server read the messages of those that do, as long as no server is cold.
TEST(PeerFrame, TheColdTimeOfAServerIsLeftOutWhileItIsWarm)
{
    ServersMessage message{
        1, 2, true, {{BackendServerId("s"), registeredServer(BackendServerId("s"))}}, std::chrono::milliseconds(0)};
    constexpr char fieldsOfAnEntry = '\x93'; // msgpack's array of three
    EXPECT_NE(encodeMessage(message).fields.find(std::string("\xa1s\x91") + fieldsOfAnEntry), std::string::npos);
    message.changes[0].server->coldFor = std::chrono::milliseconds(2900);
    EXPECT_EQ(encodeMessage(message).fields.find(std::string("\xa1s\x91") + fieldsOfAnEntry), std::string::npos);
    EXPECT_EQ(decodeFrame(payloadOf(frameBytes(1, message))).value().message, PeerMessage(message));
}

TEST(PeerFrame, DecodesOrRejectsAnyBytes)
{
    EXPECT_TRUE(rc::check("a payload is decoded or rejected", [](const std::string &bytes) {
        (void)decodeFrame(bytes);
        (void)decodeFrame(std::string(1, static_cast<char>(PeerFrameFormat::version)) + bytes);
    }));
}

TEST(PeerFrame, RejectsTruncatedAndExtendedFrames)
{
    EXPECT_TRUE(rc::check("only complete frames are decoded", [] {
        const std::string payload = payloadOf(frameBytes(1, anyMessage()));
        const auto length = *rc::gen::inRange<std::size_t>(0, payload.size());
        RC_ASSERT(decodeFrame(payload.substr(0, length)).has_error());
        RC_ASSERT(decodeFrame(payload + "x").has_error());
    }));
}

TEST(PeerFrame, DecodesOrRejectsADamagedFrame)
{
    EXPECT_TRUE(rc::check("a damaged frame is decoded or rejected", [] {
        std::string payload = payloadOf(frameBytes(1, anyMessage()));
        const auto at = *rc::gen::inRange<std::size_t>(0, payload.size());
        payload[at] = *rc::gen::arbitrary<char>();
        (void)decodeFrame(payload);
    }));
}

TEST(PeerFrame, RejectsUnsupportedVersionsAndOversizedLengths)
{
    std::string payload = payloadOf(frameBytes(0, AckMessage{0}));
    payload[0] = static_cast<char>(PeerFrameFormat::version + 1);
    EXPECT_EQ(decodeFrame(payload).error().kind(), ErrorKind::Protocol);
    // Arrays, maps and byte strings with a declared size of 4294967295 elements.
    for (const char *oversized : {"\x01\xdd\xff\xff\xff\xff", "\x01\xdf\xff\xff\xff\xff", "\x01\xc6\xff\xff\xff\xff"}) {
        EXPECT_EQ(decodeFrame(oversized).error().kind(), ErrorKind::Protocol);
    }
    EXPECT_EQ(decodeFrameLength({0xff, 0xff, 0xff, 0xff}).error().kind(), ErrorKind::TooLarge);
    EXPECT_EQ(decodeFrameLength({0, 0, 0, 0}).error().kind(), ErrorKind::Protocol);
}

TEST(PeerFrame, RefusesToEncodeAnOversizedMessage)
{
    const ConfigSnapshotMessage large{std::string(PeerFrameFormat::maxFrameBytes, 'x')};
    EXPECT_EQ(encodeFrame(PeerFrame{0, large}).error().kind(), ErrorKind::TooLarge);
}
