#include <flamingosaddle/app/settings.h>

#include <charconv>
#include <cmath>
#include <map>
#include <sstream>
#include <string_view>
#include <type_traits>

namespace flamingosaddle
{

namespace
{

using MaybeError = std::optional<Error>;

constexpr std::size_t minSecretBytes = 16;
constexpr double maxResendRatio = 100.0;
constexpr double maxColdOverage = 100.0;
constexpr double maxColdTolerance = 1e6;

Error settingError(std::string message, std::string remedy)
{
    return {ErrorKind::InvalidSetting, std::move(message), std::move(remedy)};
}

/** Reads a number that may have a fraction and an exponent, whatever the type of the setting. */
std::optional<double> parseNumber(std::string_view text)
{
    double value = 0.0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber = read.ec == std::errc() && read.ptr == text.data() + text.size() && std::isfinite(value);
    return isNumber ? std::optional(value) : std::nullopt;
}

/** Reads a number; a fraction is rounded down where the setting has none. All limits are exact as floating-point numbers. */
template <typename Number>
MaybeError readNumber(std::string_view text, Number smallest, Number largest, Number &target, double scale = 1.0)
{
    std::optional<double> value = parseNumber(text);
    if (value.has_value()) {
        *value *= scale;
        *value = std::is_integral_v<Number> ? std::floor(*value) : *value;
    }
    if (!value.has_value() || *value < static_cast<double>(smallest) || *value > static_cast<double>(largest)) {
        std::ostringstream remedy;
        remedy << "give a number from " << smallest << " to " << largest;
        return settingError("'" + std::string(text) + "' is out of range or no number", remedy.str());
    }
    target = static_cast<Number>(*value);
    return std::nullopt;
}

/** Reads a time: a number of milliseconds, or of seconds if it ends with "s". */
MaybeError readTime(const std::string &text, std::int64_t smallest, std::int64_t largest, std::chrono::milliseconds &target)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const bool isInSeconds = text.ends_with('s');
    const std::string_view number = std::string_view(text).substr(0, text.size() - (isInSeconds ? 1 : 0));
    std::int64_t count = 0;
    MaybeError error = readNumber(number, smallest, largest, count, isInSeconds ? millisecondsPerSecond : 1.0);
    if (!error) {
        target = std::chrono::milliseconds(count);
    }
    return error;
}

MaybeError readEndpoint(const std::string &text, Endpoint &target)
{
    auto parsed = Endpoint::parse(text);
    if (parsed.has_error()) {
        return parsed.error();
    }
    target = std::move(parsed).value();
    return std::nullopt;
}

MaybeError readEndpoints(const std::string &text, std::vector<Endpoint> &target)
{
    std::vector<Endpoint> endpoints;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        Endpoint endpoint;
        if (MaybeError error = readEndpoint(part, endpoint)) {
            return error;
        }
        endpoints.push_back(std::move(endpoint));
    }
    target = std::move(endpoints);
    return std::nullopt;
}

template <typename IdType>
MaybeError readName(const std::string &text, IdType &target)
{
    if (text.empty()
        || text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != std::string::npos) {
        return settingError("'" + text + "' is no name", "use letters, digits, '-', '_' and '.'");
    }
    target = IdType(text);
    return std::nullopt;
}

MaybeError readLogLevel(const std::string &text, LogLevel &target)
{
    static const std::map<std::string, LogLevel> levels = {
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warning", LogLevel::Warning},
        {"error", LogLevel::Error},
    };
    const auto found = levels.find(text);
    if (found == levels.end()) {
        return settingError("'" + text + "' is no log level", "use debug, info, warning or error");
    }
    target = found->second;
    return std::nullopt;
}

std::string logLevelText(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

std::string endpointsText(const std::vector<Endpoint> &endpoints)
{
    std::string text;
    for (const Endpoint &endpoint : endpoints) {
        text += (text.empty() ? "" : ",") + endpoint.text();
    }
    return text;
}

std::string variableOf(const std::string &flag)
{
    std::string name = "FLAMINGOSADDLE_";
    for (const char character : flag) {
        name.push_back(character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
    }
    return name;
}

SettingDescription describe(const std::string &flag, const std::string &unit, const std::string &help)
{
    SettingDescription description;
    description.flag = flag;
    description.variable = variableOf(flag);
    description.unit = unit;
    description.help = help;
    return description;
}

SettingDescription endpointSetting(const std::string &flag, const std::string &help, Endpoint Settings::*member)
{
    SettingDescription description = describe(flag, "IP:port", help);
    description.show = [member](const Settings &settings) {
        return (settings.*member).text();
    };
    description.assign = [member](Settings &settings, const std::string &text) {
        return readEndpoint(text, settings.*member);
    };
    return description;
}

SettingDescription sizeSetting(const std::string &flag, const std::string &unit, const std::string &help,
    std::size_t Settings::*member, std::size_t smallest, std::size_t largest)
{
    SettingDescription description = describe(flag, unit, help);
    description.show = [member](const Settings &settings) {
        return std::to_string(settings.*member);
    };
    description.assign = [member, smallest, largest](Settings &settings, const std::string &text) {
        return readNumber(text, smallest, largest, settings.*member);
    };
    return description;
}

SettingDescription timeSetting(const std::string &flag, const std::string &help, std::chrono::milliseconds Settings::*member,
    std::int64_t smallest, std::int64_t largest)
{
    SettingDescription description = describe(flag, "ms", help);
    description.show = [member](const Settings &settings) {
        return std::to_string((settings.*member).count());
    };
    description.assign = [member, smallest, largest](Settings &settings, const std::string &text) {
        return readTime(text, smallest, largest, settings.*member);
    };
    return description;
}

template <typename IdType>
SettingDescription nameSetting(const std::string &flag, const std::string &help, IdType Settings::*member)
{
    SettingDescription description = describe(flag, "name", help);
    description.show = [member](const Settings &settings) {
        return (settings.*member).text();
    };
    description.assign = [member](Settings &settings, const std::string &text) {
        return readName(text, settings.*member);
    };
    return description;
}

SettingDescription keySecretSetting()
{
    SettingDescription description;
    description.variable = "FLAMINGOSADDLE_KEY_SECRET";
    description.unit = "text, at least 16 bytes";
    description.help
        = "Secret of the keyed hash under which callers' keys are stored; the same for daemons and operators. Never printed.";
    description.show = [](const Settings &) -> std::string {
        return "(secret)";
    };
    description.assign = [](Settings &settings, const std::string &text) -> MaybeError {
        if (text.size() < minSecretBytes) {
            return settingError("the key secret is too short", "use at least 16 random bytes");
        }
        settings.keySecret = text;
        return std::nullopt;
    };
    return description;
}

SettingDescription seedPeersSetting()
{
    SettingDescription description = describe(
        "seed-peers", "IP:port,...", "Peer addresses to contact at the start besides the platform's list of instances.");
    description.show = [](const Settings &settings) {
        return endpointsText(settings.seedPeers);
    };
    description.assign = [](Settings &settings, const std::string &text) {
        return readEndpoints(text, settings.seedPeers);
    };
    return description;
}

MaybeError readRegions(const std::string &text, DataCentreRegions &target)
{
    DataCentreRegions regions;
    std::istringstream list(text);
    for (std::string entry; std::getline(list, entry, ',');) {
        const std::size_t colon = entry.find(':');
        if (colon == 0 || colon == std::string::npos || colon + 1 == entry.size()) {
            return settingError(
                "'" + entry + "' names no data centre and its region", "give DATA-CENTRE:REGION, separated by commas");
        }
        regions[DataCentre(entry.substr(0, colon))] = RegionName(entry.substr(colon + 1));
    }
    target = std::move(regions);
    return std::nullopt;
}

SettingDescription regionsSetting()
{
    SettingDescription description = describe("data-centre-regions", "name:region,...",
        "Region of each data centre. Requests restricted to regions are not served in data centres that are missing here.");
    description.show = [](const Settings &settings) {
        std::string text;
        for (const auto &[dataCentre, region] : settings.dataCentreRegions) {
            text += (text.empty() ? "" : ",") + dataCentre.text() + ":" + region.text();
        }
        return text;
    };
    description.assign = [](Settings &settings, const std::string &text) {
        return readRegions(text, settings.dataCentreRegions);
    };
    return description;
}

SettingDescription traceOutputSetting()
{
    SettingDescription description
        = describe("trace-output", "none or stdout", "Where spans are written, as lines of OTLP/JSON.");
    description.show = [](const Settings &settings) -> std::string {
        return settings.traceOutput == TraceOutput::Stdout ? "stdout" : "none";
    };
    description.assign = [](Settings &settings, const std::string &text) -> MaybeError {
        if (text != "none" && text != "stdout") {
            return settingError("'" + text + "' is no trace output", "use none or stdout");
        }
        settings.traceOutput = text == "stdout" ? TraceOutput::Stdout : TraceOutput::None;
        return std::nullopt;
    };
    return description;
}

SettingDescription traceSamplingSetting()
{
    SettingDescription description = describe(
        "trace-sampling", "fraction", "Fraction of requests whose spans are exported when the caller sent no decision.");
    description.show = [](const Settings &settings) {
        std::ostringstream text;
        text << settings.traceSampling;
        return text.str();
    };
    description.assign = [](Settings &settings, const std::string &text) {
        return readNumber(text, 0.0, 1.0, settings.traceSampling);
    };
    return description;
}

SettingDescription logLevelSetting()
{
    SettingDescription description
        = describe("log-level", "level", "Lowest level that is logged: debug, info, warning or error.");
    description.show = [](const Settings &settings) {
        return logLevelText(settings.logLevel);
    };
    description.assign = [](Settings &settings, const std::string &text) {
        return readLogLevel(text, settings.logLevel);
    };
    return description;
}

SettingDescription settingsFileSetting()
{
    SettingDescription description = describe("settings-file", "path",
        "File with a line NAME = VALUE for each setting, under the names of the flags; flags and environment go before it. It is "
        "read again at SIGHUP and when it changes.");
    description.show = [](const Settings &settings) {
        return settings.settingsFile;
    };
    description.assign = [](Settings &settings, const std::string &text) -> MaybeError {
        settings.settingsFile = text;
        return std::nullopt;
    };
    return description;
}

SettingDescription configurationSetting()
{
    SettingDescription description = describe("configuration", "log or operator",
        "Where configuration and backend servers come from: the project's change log, or records that the platform keeps.");
    description.show = [](const Settings &settings) -> std::string {
        return settings.configuration == ConfigurationSource::Log ? "log" : "operator";
    };
    description.assign = [](Settings &settings, const std::string &text) -> MaybeError {
        if (text != "log" && text != "operator") {
            return settingError("'" + text + "' is no source of configuration", "use log or operator");
        }
        settings.configuration = text == "log" ? ConfigurationSource::Log : ConfigurationSource::Operator;
        return std::nullopt;
    };
    return description;
}

SettingDescription callerProtocolSetting()
{
    SettingDescription description
        = describe("caller-protocol", "openai or platform", "Which requests callers send and backend servers take.");
    description.show = [](const Settings &settings) -> std::string {
        return settings.callerProtocol == CallerProtocol::OpenAi ? "openai" : "platform";
    };
    description.assign = [](Settings &settings, const std::string &text) -> MaybeError {
        if (text != "openai" && text != "platform") {
            return settingError("'" + text + "' is no caller protocol", "use openai or platform");
        }
        settings.callerProtocol = text == "openai" ? CallerProtocol::OpenAi : CallerProtocol::Platform;
        return std::nullopt;
    };
    return description;
}

SettingDescription resendRatioSetting()
{
    SettingDescription description = describe("resend-ratio", "fraction",
        "Requests sent once more in a resend window, as a part of a service's requests, over all instances.");
    description.show = [](const Settings &settings) {
        std::ostringstream text;
        text << settings.resendRatio;
        return text.str();
    };
    description.assign = [](Settings &settings, const std::string &text) {
        return readNumber(text, 0.0, maxResendRatio, settings.resendRatio);
    };
    return description;
}

SettingDescription coldSetting(
    const std::string &flag, const std::string &unit, const std::string &help, double largest, double Settings::*field)
{
    SettingDescription description = describe(flag, unit, help);
    description.show = [field](const Settings &settings) {
        std::ostringstream text;
        text << settings.*field;
        return text.str();
    };
    description.assign = [largest, field](Settings &settings, const std::string &text) {
        return readNumber(text, 0.0, largest, settings.*field);
    };
    return description;
}

SettingDescription resendWindowSetting()
{
    SettingDescription description
        = describe("resend-window", "s", "Sliding window of the limit on requests sent once more; 0 for no limit.");
    description.show = [](const Settings &settings) {
        std::ostringstream text;
        text << std::chrono::duration<double>(settings.resendWindow).count();
        return text.str();
    };
    description.assign = [](Settings &settings, const std::string &text) {
        constexpr std::int64_t hour = 3600000;
        return readTime(text + "s", 0, hour, settings.resendWindow);
    };
    return description;
}

SettingDescription required(SettingDescription description)
{
    description.required = true;
    return description;
}

void addPlaceSettings(std::vector<SettingDescription> &all)
{
    all.push_back(settingsFileSetting());
    all.push_back(configurationSetting());
    all.push_back(callerProtocolSetting());
    all.push_back(endpointSetting("listen", "Address for callers; port 0 takes a free one.", &Settings::listen));
    all.push_back(
        endpointSetting("admin-listen", "Address for operators: health, metrics, status, withdrawal.", &Settings::adminListen));
    all.push_back(endpointSetting("peer-listen", "Address for other instances.", &Settings::peerListen));
    all.push_back(endpointSetting("forward-listen",
        "Address for requests that other instances forward because they cannot reach the backend servers; only instances may "
        "reach it.",
        &Settings::forwardListen));
    all.push_back(endpointSetting("ready-listen",
        "Address that answers only whether the instance takes requests; port 0 for none.", &Settings::readyListen));
    all.push_back(required(endpointSetting("platform", "Address of the platform's store.", &Settings::platform)));
    all.push_back(endpointSetting("platform-api",
        "Address that takes usage reports and server orders; port 0 for that of the store.", &Settings::platformApi));
    all.push_back(seedPeersSetting());
    all.push_back(required(nameSetting("data-centre", "Data centre that this instance stands in.", &Settings::dataCentre)));
    all.push_back(regionsSetting());
    all.push_back(
        nameSetting("instance-id", "Name of this instance; made up at the start when not given.", &Settings::instanceId));
    all.push_back(keySecretSetting());
}

void addCallerSettings(std::vector<SettingDescription> &all)
{
    constexpr std::int64_t hour = 3600000;
    all.push_back(sizeSetting("traffic-threads", "threads", "Threads that carry requests.", &Settings::trafficThreads, 1, 64));
    all.push_back(
        sizeSetting("max-header-bytes", "bytes", "Longest header of a request.", &Settings::maxHeaderBytes, 1024, 1 << 20));
    all.push_back(sizeSetting("max-body-bytes", "bytes", "Longest body of a request.", &Settings::maxBodyBytes, 1024, 1 << 30));
    all.push_back(
        sizeSetting("max-connections", "connections", "Callers' connections at a time.", &Settings::maxConnections, 1, 1 << 20));
    all.push_back(sizeSetting("memory-mb", "MB",
        "Memory of the machine, half of which may be held for callers and other instances; 0 for what the system reports.",
        &Settings::memoryMegabytes, 0, 1 << 24));
    all.push_back(sizeSetting("max-fds", "descriptors",
        "Descriptors that the process may open, 200 of which are kept for files; limits the connections at each address. 0 for "
        "no "
        "such limit.",
        &Settings::maxDescriptors, 0, 1 << 24));
    all.push_back(
        timeSetting("header-timeout", "Longest time for a request's header to arrive.", &Settings::headerTimeout, 1, hour));
    all.push_back(timeSetting("body-timeout", "Longest time for a request's body to arrive.", &Settings::bodyTimeout, 1, hour));
    all.push_back(timeSetting("idle-timeout", "Time after which an idle connection is closed.", &Settings::idleTimeout, 1, hour));
    all.push_back(timeSetting(
        "write-timeout", "Longest time for a caller to take a piece of its answer.", &Settings::writeTimeout, 1, hour));
    all.push_back(
        sizeSetting("max-waiting", "requests", "Longest queue of waiting requests.", &Settings::maxWaiting, 1, 1 << 20));
}

void addBackendSettings(std::vector<SettingDescription> &all)
{
    constexpr std::int64_t hour = 3600000;
    all.push_back(
        timeSetting("connect-timeout", "Longest time to connect to a backend server.", &Settings::connectTimeout, 1, hour));
    all.push_back(timeSetting(
        "first-byte-timeout", "Longest time for a backend server to begin its answer.", &Settings::firstByteTimeout, 1, hour));
    all.push_back(timeSetting("progress-timeout", "Longest time between two pieces of a backend server's answer.",
        &Settings::progressTimeout, 1, hour));
    all.push_back(timeSetting("backend-idle-limit", "Time after which an idle connection to a backend server is closed.",
        &Settings::backendIdleLimit, 1, hour));
    all.push_back(timeSetting("distance-time",
        "Time by which a server in another data centre has to be faster to be used; 0 for this and distance-megabyte-time "
        "chooses "
        "servers regardless of their data centre.",
        &Settings::distanceTime, 0, hour));
    all.push_back(timeSetting("distance-megabyte-time",
        "Time by which it has to be faster for each megabyte of prompt and answer, as the price of the bytes.",
        &Settings::distanceMegabyteTime, 0, hour));
    all.push_back(
        sizeSetting("max-attempts", "attempts", "Backend servers tried for one request.", &Settings::maxAttempts, 1, 10));
    all.push_back(sizeSetting(
        "retry-percent", "percent", "Retries as a percentage of a client account's successes.", &Settings::retryPercent, 0, 100));
    all.push_back(sizeSetting("quarantine-deaths", "backend servers", "Backend servers that one request may cost.",
        &Settings::quarantineDeaths, 1, 10));
    all.push_back(resendRatioSetting());
    all.push_back(sizeSetting("resend-extra", "requests",
        "Requests sent once more in a resend window beyond the ratio, over all instances.", &Settings::resendExtra, 0, 1 << 20));
    all.push_back(resendWindowSetting());
    all.push_back(coldSetting("cold-overage", "ratio",
        "Requests that a cold backend server may get in one second, as a multiple of what its service states that it bears.",
        maxColdOverage, &Settings::coldOverage));
    all.push_back(coldSetting("cold-tolerance", "requests",
        "Requests that a cold backend server may get in one second beyond that.", maxColdTolerance, &Settings::coldTolerance));
}

void addControlSettings(std::vector<SettingDescription> &all)
{
    constexpr std::int64_t hour = 3600000;
    all.push_back(timeSetting("freshness-limit",
        "Time without word from the log and from every peer after which requests with a key are refused.",
        &Settings::freshnessLimit, 100, hour));
    all.push_back(
        timeSetting("heartbeat-interval", "Time between two heartbeats to a peer.", &Settings::heartbeatInterval, 10, 60000));
    all.push_back(timeSetting("server-heartbeat",
        "Time between two renewals of a backend server's entry, which disappears after three that are missing.",
        &Settings::serverHeartbeat, 10, 60000));
    all.push_back(timeSetting("lease-duration", "Length of the lease of the instance that reports usage and orders servers.",
        &Settings::leaseDuration, 100, hour));
    all.push_back(timeSetting("usage-flush-interval",
        "Time between two appends of usage counts: what is lost at most when the instance dies.", &Settings::usageFlushInterval,
        10, hour));
    all.push_back(timeSetting("usage-window", "Length of a window of usage reports.", &Settings::usageWindow, 1000, 24 * hour));
    all.push_back(timeSetting("drain-notice",
        "Time from the signal to shut down during which new connections are still served, for the balancer to notice.",
        &Settings::drainNotice, 0, hour));
    all.push_back(timeSetting(
        "drain-timeout", "Longest time that a shutdown waits for running requests.", &Settings::drainTimeout, 0, hour));
    all.push_back(traceOutputSetting());
    all.push_back(traceSamplingSetting());
    all.push_back(logLevelSetting());
}

std::vector<SettingDescription> makeDescriptions()
{
    std::vector<SettingDescription> all;
    addPlaceSettings(all);
    addCallerSettings(all);
    addBackendSettings(all);
    addControlSettings(all);
    return all;
}

} // namespace

const std::vector<SettingDescription> &settingDescriptions()
{
    static const std::vector<SettingDescription> descriptions = makeDescriptions();
    return descriptions;
}

} // namespace flamingosaddle
