#include <flamingosaddle/base/hash.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <charconv>
#include <cstring>

namespace flamingosaddle
{

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view node, std::uint64_t key)
{
    return hash64(node, key);
}

KeyDigest KeyDigest::of(std::string_view key, std::string_view secret)
{
    KeyDigest digest;
    unsigned int size = sizeBytes;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char *>(key.data()),
        key.size(), digest.bytes.data(), &size);
    return digest;
}

bool KeyDigest::parse(std::string_view hex, KeyDigest &digest)
{
    if (hex.size() != 2 * sizeBytes) {
        return false;
    }
    KeyDigest parsed;
    for (std::size_t i = 0; i < sizeBytes; ++i) {
        const char *first = hex.data() + 2 * i;
        const auto read = std::from_chars(first, first + 2, parsed.bytes[i], 16);
        if (read.ec != std::errc() || read.ptr != first + 2) {
            return false;
        }
    }
    digest = parsed;
    return true;
}

std::string KeyDigest::hex() const
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * sizeBytes);
    for (const unsigned char byte : this->bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

std::uint64_t KeyDigest::prefix() const
{
    std::uint64_t value = 0;
    std::memcpy(&value, this->bytes.data(), sizeof value);
    return value;
}

bool KeyDigest::equals(const KeyDigest &other) const
{
    return CRYPTO_memcmp(this->bytes.data(), other.bytes.data(), sizeBytes) == 0;
}

} // namespace flamingosaddle
