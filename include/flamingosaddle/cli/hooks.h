#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/cli/options.h>
#include <flamingosaddle/http/client.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>

namespace flamingosaddle
{

/**
 * What the operators' client needs of the world around it. Tests put their own in.
 */
struct CliHooks {
    VariableLookup environment;
    std::function<Result<std::string>(const std::string &path)> readFile;
    std::function<Platform(const Endpoint &endpoint)> connectPlatform;
    std::function<boost::asio::awaitable<Result<HttpResponse>>(Endpoint endpoint, HttpRequest request, FetchOptions options)>
        fetch;
    /** Bytes from the system's generator of random numbers, as hexadecimal text. */
    std::function<Result<std::string>(std::size_t bytes)> randomHex;
    std::ostream *out = nullptr; ///< results
    std::ostream *err = nullptr; ///< errors and their remedies
};

/**
 * The hooks of the real program: files, sockets, the standard streams.
 * @param connectPlatform the change log at an address
 */
CliHooks systemHooks(std::function<Platform(const Endpoint &endpoint)> connectPlatform);

} // namespace flamingosaddle
