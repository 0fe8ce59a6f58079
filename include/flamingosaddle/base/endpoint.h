#pragma once

#include <flamingosaddle/base/result.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * An IP number and a TCP port. Addresses are numbers, never names: no resolver is asked.
 */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    /**
     * Reads "192.0.2.1:8080" or "[2001:db8::1]:8080". Fails with InvalidSetting when it is neither.
     */
    static Result<Endpoint> parse(std::string_view text);

    std::string text() const;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace flamingosaddle
