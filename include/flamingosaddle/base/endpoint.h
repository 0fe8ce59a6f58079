#pragma once

#include <flamingosaddle/base/result.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * An IP address and a TCP port. Host names are not accepted, so no DNS lookup ever happens.
 */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    /**
     * Parses "192.0.2.1:8080" or "[2001:db8::1]:8080". Fails with InvalidSetting for any other text.
     */
    static Result<Endpoint> parse(std::string_view text);

    /** Returns the endpoint in the format that parse() reads. */
    std::string text() const;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace flamingosaddle
