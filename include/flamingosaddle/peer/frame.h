#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/peer/message.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/**
 * Frames on a connection between instances: the length of what follows in four bytes, most significant first, one byte
 * with the version of the protocol, and a msgpack array of the message's type, its sequence number and its fields.
 */
namespace flamingosaddle
{

struct PeerFrameFormat {
    static constexpr std::uint8_t version = 4;
    static constexpr std::size_t headerBytes = 4;
    static constexpr std::size_t maxFrameBytes = std::size_t{8}
        << 20; ///< after the header; holds a snapshot of 12,000 backend servers twice
};

using PeerFrameHeader = std::array<unsigned char, PeerFrameFormat::headerBytes>;

struct PeerFrame {
    std::uint64_t sequence = 0; ///< counts the frames of one direction of a connection, from 0
    PeerMessage message;

    friend bool operator==(const PeerFrame &, const PeerFrame &) = default;
};

/**
 * A message that is encoded once and sent on many connections.
 */
struct EncodedMessage {
    std::size_t type = 0; ///< the alternative of PeerMessage
    std::string fields;

    friend bool operator==(const EncodedMessage &, const EncodedMessage &) = default;
};

EncodedMessage encodeMessage(const PeerMessage &message);

/** As encodeFrame() of the message's frame. */
Result<std::string> encodeFrame(std::uint64_t sequence, const EncodedMessage &message);

/**
 * The whole frame with its header. Fails with TooLarge when it is over the limit: send the message in parts.
 */
Result<std::string> encodeFrame(const PeerFrame &frame);

/**
 * The number of bytes that follow the header. Fails with TooLarge or Protocol, before anything is read.
 */
Result<std::size_t> decodeFrameLength(const PeerFrameHeader &header);

/**
 * Reads what follows the header. Fails with Protocol for a foreign version and for anything that is no message. Never
 * throws and never asks for more memory than a multiple of the frame's size, whatever the bytes.
 */
Result<PeerFrame> decodeFrame(std::string_view payload);

} // namespace flamingosaddle
