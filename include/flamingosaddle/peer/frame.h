#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/peer/message.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/**
 * The frame format of connections between instances: the payload length in four bytes, big-endian, one byte with the
 * protocol version, and a msgpack array of message type, sequence number and message fields.
 */
namespace flamingosaddle
{

struct PeerFrameFormat {
    static constexpr std::uint8_t version = 8;
    static constexpr std::size_t headerBytes = 4;
    static constexpr std::size_t maxFrameBytes = std::size_t{8}
        << 20; ///< without the header; twice the size of a snapshot of 12,000 backend servers
};

using PeerFrameHeader = std::array<unsigned char, PeerFrameFormat::headerBytes>;

struct PeerFrame {
    std::uint64_t sequence = 0; ///< number of the frame within one direction of a connection, from 0
    PeerMessage message;

    friend bool operator==(const PeerFrame &, const PeerFrame &) = default;
};

/**
 * A message that is encoded once to be sent on several connections.
 */
struct EncodedMessage {
    std::size_t typeIndex = 0; ///< index of the alternative of PeerMessage
    std::string fields; ///< msgpack array of the message's fields

    friend bool operator==(const EncodedMessage &, const EncodedMessage &) = default;
};

/** Encodes @p message without a frame. */
EncodedMessage encodeMessage(const PeerMessage &message);

/** Encodes a frame, including its header, around an encoded message. Fails with TooLarge like the overload below. */
Result<std::string> encodeFrame(std::uint64_t sequence, const EncodedMessage &message);

/**
 * Encodes a frame, including its header. Fails with TooLarge if it exceeds maxFrameBytes; the message then has to be split.
 */
Result<std::string> encodeFrame(const PeerFrame &frame);

/**
 * Returns the number of bytes that follow the header. Fails with TooLarge or Protocol, so that an invalid length is
 * detected before memory is allocated for the payload.
 */
Result<std::size_t> decodeFrameLength(const PeerFrameHeader &header);

/**
 * Decodes the bytes that follow the header. Fails with Protocol for an unsupported version or an invalid message. For any
 * input, it does not throw and its memory use is bounded by a multiple of the frame size.
 */
Result<PeerFrame> decodeFrame(std::string_view payload);

} // namespace flamingosaddle
