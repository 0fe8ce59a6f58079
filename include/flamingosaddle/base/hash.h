#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * A fast hash for placement and fingerprints. Not for secrets.
 */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/**
 * The weight of @p node for @p key in rendezvous hashing: the node of the highest weight is chosen.
 */
std::uint64_t rendezvousWeight(std::string_view node, std::uint64_t key);

/**
 * HMAC-SHA256 of a secret. Only digests of keys are stored, sent or compared.
 */
class KeyDigest
{
public:
    static constexpr std::size_t sizeBytes = 32;

    KeyDigest() = default;

    /**
     * The digest of @p key under @p secret, the secret that daemons and operators share.
     */
    static KeyDigest of(std::string_view key, std::string_view secret);

    /**
     * Reads 64 hexadecimal digits; answers false and leaves @p digest alone when @p hex is anything else.
     */
    static bool parse(std::string_view hex, KeyDigest &digest);

    std::string hex() const;

    /**
     * A part of the digest for looking it up in a table; the match is then decided by equals().
     */
    std::uint64_t prefix() const;

    /**
     * Compares in a time that does not depend on where the digests differ.
     */
    bool equals(const KeyDigest &other) const;

    friend bool operator==(const KeyDigest &left, const KeyDigest &right)
    {
        return left.equals(right);
    }

private:
    std::array<unsigned char, sizeBytes> bytes{};
};

} // namespace flamingosaddle
