#include <flamingosaddle/cli/hooks.h>

#include <sys/random.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>
#include <vector>

namespace flamingosaddle
{

namespace
{

Result<std::string> readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        return fail(ErrorKind::NotFound, "cannot read '" + path + "'", "give the path of a file that you may read");
    }
    return text;
}

Result<std::string> systemRandomHex(std::size_t bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::vector<unsigned char> raw(bytes);
    if (getentropy(raw.data(), raw.size()) != 0) {
        return fail(ErrorKind::Internal, "the system gives no random bytes", "try again");
    }
    std::string text;
    for (const unsigned char byte : raw) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

std::optional<std::string> systemVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value != nullptr ? std::optional<std::string>(value) : std::nullopt;
}

} // namespace

CliHooks systemHooks(std::function<Platform(const Endpoint &endpoint)> connectPlatform)
{
    CliHooks hooks;
    hooks.environment = systemVariable;
    hooks.readFile = readWholeFile;
    hooks.connectPlatform = std::move(connectPlatform);
    hooks.fetch = fetch;
    hooks.randomHex = systemRandomHex;
    hooks.out = &std::cout;
    hooks.err = &std::cerr;
    return hooks;
}

} // namespace flamingosaddle
