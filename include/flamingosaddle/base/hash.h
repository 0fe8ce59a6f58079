#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * Computes a fast non-cryptographic hash for placement and fingerprints. Not suitable for secrets.
 */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/**
 * Returns the weight of @p node for @p key in rendezvous hashing. The node with the highest weight is selected.
 */
std::uint64_t rendezvousWeight(std::string_view node, std::uint64_t key);

/**
 * The HMAC-SHA256 of a caller's key. Keys themselves are never stored, sent or compared, only their digests.
 */
class KeyDigest
{
public:
    static constexpr std::size_t sizeBytes = 32;

    KeyDigest() = default;

    /**
     * Computes the digest of @p key with @p secret, which daemons and operators share.
     */
    static KeyDigest of(std::string_view key, std::string_view secret);

    /**
     * Parses 64 hexadecimal digits. Returns false and leaves @p digest unchanged for any other text.
     */
    static bool parse(std::string_view hex, KeyDigest &digest);

    std::string hex() const;

    /**
     * Returns the first 8 bytes of the digest, as a key for table lookups. A match still has to be confirmed with equals().
     */
    std::uint64_t prefix() const;

    /**
     * Compares in constant time.
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
