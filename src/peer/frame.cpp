#include <flamingosaddle/peer/frame.h>

#include "wire.h"

#include <msgpack.hpp>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t maxDepth = 8;
constexpr std::size_t maxElements = 65536;
constexpr std::uint32_t frameFields = 3;
constexpr unsigned bitsPerByte = 8;
constexpr const char *versionRemedy = "run only instances of adjacent versions together; see docs/PROTOCOL.md";

auto protocolError(const std::string &message)
{
    return fail(ErrorKind::Protocol, message, versionRemedy);
}

/**
 * Decodes the alternative @p index of PeerMessage.
 */
template <std::size_t alternative = 0>
PeerMessage decodeMessage(std::size_t index, const msgpack::object &fields)
{
    if constexpr (alternative < std::variant_size_v<PeerMessage>) {
        if (index == alternative) {
            return wire::decode<std::variant_alternative_t<alternative, PeerMessage>>(fields);
        }
        return decodeMessage<alternative + 1>(index, fields);
    }
    throw msgpack::type_error();
}

PeerFrame decodeFrameFields(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != frameFields) {
        throw msgpack::type_error();
    }
    const msgpack::object *fields = object.via.array.ptr;
    PeerFrame frame;
    frame.sequence = fields[1].as<std::uint64_t>();
    frame.message = decodeMessage(fields[0].as<std::size_t>(), fields[2]);
    return frame;
}

std::string encodeHeader(std::size_t length)
{
    std::string header;
    for (std::size_t i = PeerFrameFormat::headerBytes; i > 0; --i) {
        header.push_back(static_cast<char>(length >> (bitsPerByte * (i - 1))));
    }
    return header;
}

} // namespace

EncodedMessage encodeMessage(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    const auto encode = [&packer](const auto &value) {
        wire::encode(packer, value);
    };
    std::visit(encode, message);
    return {message.index(), std::string(buffer.data(), buffer.size())};
}

Result<std::string> encodeFrame(std::uint64_t sequence, const EncodedMessage &message)
{
    msgpack::sbuffer envelope;
    msgpack::packer<msgpack::sbuffer> packer(envelope);
    packer.pack_array(frameFields);
    packer.pack(message.typeIndex);
    packer.pack(sequence);
    const std::size_t length = sizeof PeerFrameFormat::version + envelope.size() + message.fields.size();
    if (length > PeerFrameFormat::maxFrameBytes) {
        return fail(ErrorKind::TooLarge, "a peer message of " + std::to_string(length) + " bytes exceeds the size limit",
            "split it into several messages");
    }
    std::string bytes = encodeHeader(length);
    bytes.reserve(bytes.size() + length);
    bytes.push_back(static_cast<char>(PeerFrameFormat::version));
    bytes.append(envelope.data(), envelope.size());
    bytes.append(message.fields);
    return bytes;
}

Result<std::string> encodeFrame(const PeerFrame &frame)
{
    return encodeFrame(frame.sequence, encodeMessage(frame.message));
}

Result<std::size_t> decodeFrameLength(const PeerFrameHeader &header)
{
    std::size_t length = 0;
    for (const unsigned char byte : header) {
        length = (length << bitsPerByte) | byte;
    }
    if (length > PeerFrameFormat::maxFrameBytes) {
        return fail(ErrorKind::TooLarge,
            "a peer announced a frame of " + std::to_string(length) + " bytes, which exceeds the size limit", versionRemedy);
    }
    if (length == 0) {
        return protocolError("a peer announced an empty frame");
    }
    return length;
}

Result<PeerFrame> decodeFrame(std::string_view payload)
{
    if (payload.empty() || static_cast<std::uint8_t>(payload.front()) != PeerFrameFormat::version) {
        return protocolError("a peer uses an unsupported protocol version");
    }
    payload.remove_prefix(sizeof PeerFrameFormat::version);
    const msgpack::unpack_limit limit(maxElements, 0, payload.size(), 0, 0, maxDepth);
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size(), offset, nullptr, nullptr, limit);
        if (offset != payload.size()) {
            return protocolError("a peer sent trailing bytes after a message");
        }
        return decodeFrameFields(handle.get());
    } catch (const std::exception &) {
        return protocolError("a peer sent a frame without a valid message");
    }
}

} // namespace flamingosaddle
