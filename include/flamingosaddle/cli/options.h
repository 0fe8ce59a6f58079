#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

enum class OutputFormat {
    Json,
    Table,
};

/**
 * The options that every command takes.
 */
struct CliOptions {
    std::optional<Endpoint> platform;
    std::vector<Endpoint> admins; ///< admin addresses of daemons
    std::string keySecret; ///< of the keyed hash of callers' keys; the same as the daemons'
    OutputFormat output = OutputFormat::Json;
    std::chrono::milliseconds timeout{10000}; ///< for the whole command
    bool dryRun = false;
    bool wait = true; ///< until the change is in force
    std::optional<ChangeId> changeId;
    std::optional<std::uint64_t> expectedRevision;
    std::optional<KeyId> keyId;
    std::string author;

    friend bool operator==(const CliOptions &, const CliOptions &) = default;
};

/**
 * One call of the client: the words that are no options, and the options.
 */
struct Invocation {
    std::vector<std::string> words;
    CliOptions options;
    bool isHelpWanted = false;

    friend bool operator==(const Invocation &, const Invocation &) = default;
};

/**
 * Looks up an environment variable; empty when it is not set.
 */
using VariableLookup = std::function<std::optional<std::string>(const std::string &name)>;

/**
 * Reads flags, and the environment for what no flag says. Fails with InvalidSetting.
 */
Result<Invocation> parseInvocation(const std::vector<std::string> &arguments, const VariableLookup &environment);

/**
 * The text that describes the options, for --help.
 */
std::string describeOptions();

} // namespace flamingosaddle
