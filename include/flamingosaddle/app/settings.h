#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/error.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/log.h>
#include <flamingosaddle/state/homes.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingosaddle
{

/**
 * Where spans are written.
 */
enum class TraceOutput {
    None,
    Stdout, ///< a line of OTLP/JSON for each span
};

/**
 * Where the configuration and the backend servers come from.
 */
enum class ConfigurationSource {
    Log, ///< the project's own change log
    Operator, ///< records that the platform's operators and backend servers publish
};

/**
 * Which requests callers send.
 */
enum class CallerProtocol {
    OpenAi,
    Platform,
};

/**
 * Everything that a daemon is told at its start.
 */
struct Settings {
    std::string settingsFile; ///< read besides flags and environment; empty for none
    std::vector<std::string> ignoredNames; ///< that stand in the settings file and are unknown
    ConfigurationSource configuration = ConfigurationSource::Log;
    CallerProtocol callerProtocol = CallerProtocol::OpenAi;

    // Addresses and place.
    Endpoint listen{"127.0.0.1", 0}; ///< callers
    Endpoint adminListen{"127.0.0.1", 0}; ///< operators and metrics
    Endpoint peerListen{"127.0.0.1", 0}; ///< other instances
    Endpoint forwardListen{"127.0.0.1", 0}; ///< requests that other instances forward
    Endpoint readyListen; ///< answers only whether the instance is ready; without a port it is not opened
    Endpoint platform; ///< the platform's services, or its store
    Endpoint platformApi; ///< takes usage reports and server orders, where the store does not
    std::vector<Endpoint> seedPeers; ///< asked for the other instances besides the platform's list
    DataCentre dataCentre;
    DataCentreRegions dataCentreRegions;
    InstanceId instanceId; ///< made up at the start when it is not given

    // Secrets, from the environment only.
    std::string keySecret; ///< of the keyed hash of callers' keys

    // Limits on callers.
    std::size_t trafficThreads = 2;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxConnections = 4096;
    std::size_t memoryMegabytes = 0; ///< of the machine; 0 for what the system reports
    std::size_t maxDescriptors = 0; ///< that the process may open; 0 for no limit
    std::chrono::milliseconds headerTimeout{10000};
    std::chrono::milliseconds bodyTimeout{30000};
    std::chrono::milliseconds idleTimeout{120000};
    std::chrono::milliseconds writeTimeout{30000};
    std::size_t maxWaiting = 4096;

    // Backend servers.
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds firstByteTimeout{30000};
    std::chrono::milliseconds progressTimeout{10000};
    std::chrono::milliseconds backendIdleLimit{15000};
    std::chrono::milliseconds distanceTime{2};
    std::chrono::milliseconds distanceMegabyteTime{20};
    std::size_t maxAttempts = 3;
    std::size_t retryPercent = 10;
    std::size_t quarantineDeaths = 2;
    double resendRatio = 0.2;
    std::size_t resendExtra = 0;
    double coldOverage = 1.0;
    double coldTolerance = 0.0;
    std::chrono::milliseconds resendWindow{0};

    // Control.
    std::chrono::milliseconds freshnessLimit{5000};
    std::chrono::milliseconds heartbeatInterval{500};
    std::chrono::milliseconds serverHeartbeat{1200};
    std::chrono::milliseconds leaseDuration{2500};
    std::chrono::milliseconds usageFlushInterval{800};
    std::chrono::milliseconds usageWindow{60000};
    std::size_t snapshotRecordInterval = 500;
    std::chrono::milliseconds drainNotice{0};
    std::chrono::milliseconds drainTimeout{60000};

    // Observation.
    TraceOutput traceOutput = TraceOutput::None;
    double traceSampling = 0.01;
    LogLevel logLevel = LogLevel::Info;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/**
 * One setting: its flag, its environment variable and how its text is read.
 */
struct SettingDescription {
    std::string flag; ///< without the leading dashes; empty when the setting comes from the environment only
    std::string variable; ///< FLAMINGOSADDLE_...
    std::string unit; ///< "ms", "bytes", "IP:port", ...
    std::string help;
    std::function<std::string(const Settings &)> show; ///< the value as text; "(secret)" for a secret
    std::function<std::optional<Error>(Settings &, const std::string &)> assign;
    bool required = false;
};

/**
 * All settings, in the order of the reference page docs/SETTINGS.md.
 */
const std::vector<SettingDescription> &settingDescriptions();

/**
 * Looks up an environment variable; empty when it is not set.
 */
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

/**
 * Reads the environment and then the flags, which go before it. Answers every fault that there is, not just the first.
 */
std::variant<Settings, std::vector<Error>> loadSettings(
    const std::vector<std::string> &arguments, const EnvironmentLookup &environment);

/**
 * The reference page of all settings, in Markdown.
 */
std::string settingsReference();

} // namespace flamingosaddle
