#include <flamingosaddle/app/daemonoptions.h>

#include <chrono>
#include <random>
#include <string>

namespace flamingosaddle
{

namespace
{

InstanceId instanceIdOf(const Settings &settings, std::uint64_t seed)
{
    if (!settings.instanceId.isEmpty()) {
        return settings.instanceId;
    }
    return InstanceId(settings.dataCentre.text() + "-" + std::to_string(seed));
}

std::chrono::milliseconds wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

HttpServerLimits limitsOf(const Settings &settings)
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.maxConnections = settings.maxConnections;
    limits.headerTimeout = settings.headerTimeout;
    limits.bodyTimeout = settings.bodyTimeout;
    limits.idleTimeout = settings.idleTimeout;
    limits.writeTimeout = settings.writeTimeout;
    return limits;
}

CallerOptions callerOptionsOf(const Settings &settings, const InstanceId &instance)
{
    CallerOptions options;
    options.pool.connectTimeout = settings.connectTimeout;
    options.pool.idleTimeout = settings.backendIdleLimit;
    options.headTimeout = settings.firstByteTimeout;
    options.progressTimeout = settings.progressTimeout;
    const bool ownLog = settings.configuration == ConfigurationSource::Log;
    options.freshnessLimit = settings.freshnessLimit;
    options.instance = instance;
    options.closeOnKeyWithdrawal = ownLog;
    options.pool.confirmDeathByReconnect = !ownLog;
    options.pool.allowBodyUntilClose = !ownLog;
    return options;
}

DispatcherOptions dispatcherOptionsOf(const Settings &settings, std::uint64_t seed)
{
    DispatcherOptions options;
    options.maxWaiting = settings.maxWaiting;
    options.retryPercent = static_cast<std::uint32_t>(settings.retryPercent);
    options.maxAttempts = static_cast<std::uint32_t>(settings.maxAttempts);
    options.quarantineDeaths = static_cast<std::uint32_t>(settings.quarantineDeaths);
    options.exemptUnsentAttempts = settings.configuration == ConfigurationSource::Operator;
    options.confirmDeathsByPathCheck = true;
    options.disputeTime = entryRemovalTime(settings.serverHeartbeat);
    options.serializeSuspects = settings.configuration == ConfigurationSource::Log;
    options.resendLimit
        = {settings.resendWindow, settings.resendRatio, static_cast<std::uint32_t>(settings.resendExtra), RuntimeClock::now()};
    options.coldServers = {settings.coldOverage, settings.coldTolerance, RuntimeClock::now()};
    options.seed = seed;
    options.dataCentre = settings.dataCentre;
    options.distanceCost = {settings.distanceTime, settings.distanceMegabyteTime};
    return options;
}

ControllerOptions controllerOptionsOf(const Settings &settings, std::uint64_t seed)
{
    ControllerOptions options;
    options.self = {instanceIdOf(settings, seed), static_cast<std::uint64_t>(wallMilliseconds().count())};
    options.dataCentre = settings.dataCentre;
    options.freshnessLimit = settings.freshnessLimit;
    options.leaseDuration = settings.leaseDuration;
    options.usageFlushInterval = settings.usageFlushInterval;
    options.usageWindow = std::chrono::duration_cast<std::chrono::seconds>(settings.usageWindow);
    options.snapshotRecordInterval = settings.snapshotRecordInterval;
    options.wallTime = [] {
        return std::chrono::duration_cast<std::chrono::seconds>(wallMilliseconds());
    };
    options.systemTime = wallMilliseconds;
    options.seedPeers = settings.seedPeers;
    options.peerTiming.heartbeatInterval = settings.heartbeatInterval;
    options.servers.withholdPeriod = entryRemovalTime(settings.serverHeartbeat);
    options.seed = seed;
    return options;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace flamingosaddle
