#include <flamingosaddle/base/endpoint.h>

#include <arpa/inet.h>

#include <charconv>

namespace flamingosaddle
{

namespace
{

bool isIpAddress(const std::string &address)
{
    in6_addr scratch{};
    return inet_pton(AF_INET, address.c_str(), &scratch) == 1 || inet_pton(AF_INET6, address.c_str(), &scratch) == 1;
}

std::string stripBrackets(std::string_view host)
{
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    return std::string(host);
}

} // namespace

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::string remedy = "write an IP address and a port, for instance 127.0.0.1:8080 or [::1]:8080";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(ErrorKind::InvalidSetting, "'" + std::string(text) + "' has no port", remedy);
    }
    Endpoint endpoint;
    endpoint.address = stripBrackets(text.substr(0, colon));
    if (!isIpAddress(endpoint.address)) {
        return fail(ErrorKind::InvalidSetting, "'" + endpoint.address + "' is not an IP address", remedy);
    }
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (port.empty() || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
        return fail(ErrorKind::InvalidSetting, "'" + std::string(port) + "' is not a port number", remedy);
    }
    return endpoint;
}

std::string Endpoint::text() const
{
    if (this->address.find(':') != std::string::npos) {
        return "[" + this->address + "]:" + std::to_string(this->port);
    }
    return this->address + ":" + std::to_string(this->port);
}

} // namespace flamingosaddle
