#include <flamingosaddle/platform/httpplatform.h>

#include <flamingosaddle/http/client.h>
#include <flamingosaddle/platform/platformcodec.h>

#include <cctype>
#include <memory>

namespace flamingosaddle
{

namespace
{

using platformcodec::errorOf;

constexpr int statusOk = 200;

bool isUnreserved(unsigned char character)
{
    return std::isalnum(character) != 0 || character == '-' || character == '.' || character == '_' || character == '~';
}

/**
 * Escapes everything that is not allowed to stand in one segment of a path.
 */
std::string escaped(const std::string &segment)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string text;
    for (const unsigned char character : segment) {
        if (isUnreserved(character)) {
            text.push_back(static_cast<char>(character));
            continue;
        }
        text.push_back('%');
        text.push_back(digits[character >> 4]);
        text.push_back(digits[character & 0x0f]);
    }
    return text;
}

HttpRequest getRequest(std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    return request;
}

HttpRequest postRequest(std::string target, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers.set("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

std::string logTarget(LogStream stream)
{
    return std::string("/log/") + toString(stream);
}

std::string dataCentreTarget(const DataCentre &dataCentre, const char *what)
{
    return "/data-centres/" + escaped(dataCentre.text()) + "/" + what;
}

/**
 * Sends one call and answers the body of a 200 answer.
 */
Platform::Answer<std::string> call(
    HttpPlatformOptions options, HttpRequest request, Duration wait = Duration::zero(), std::function<Duration()> permission = {})
{
    FetchOptions fetchOptions;
    fetchOptions.permission = std::move(permission);
    fetchOptions.connectTimeout = options.connectTimeout;
    fetchOptions.timeout = options.timeout + wait;
    Result<HttpResponse> response = co_await fetch(options.endpoint, std::move(request), fetchOptions);
    if (response.has_error()) {
        co_return fail(response.error());
    }
    if (response.value().status != statusOk) {
        co_return fail(errorOf(response.value().status, response.value().body));
    }
    co_return std::move(response.value().body);
}

Platform::Answer<std::uint64_t> appendRecord(HttpPlatformOptions options, LogStream stream, std::string body)
{
    HttpRequest request = postRequest(logTarget(stream), std::move(body));
    const Result<std::string> answer = co_await call(std::move(options), std::move(request));
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    co_return platformcodec::decodeAppended(answer.value());
}

Platform::Answer<LogBatch> readRecords(
    HttpPlatformOptions options, LogStream stream, std::uint64_t from, std::chrono::milliseconds wait)
{
    HttpRequest request
        = getRequest(logTarget(stream) + "?from=" + std::to_string(from) + "&waitMs=" + std::to_string(wait.count()));
    const Result<std::string> answer = co_await call(std::move(options), std::move(request), wait);
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    co_return platformcodec::decodeLogBatch(answer.value());
}

Platform::Answer<LogBounds> streamBounds(HttpPlatformOptions options, LogStream stream)
{
    HttpRequest request = getRequest(logTarget(stream) + "?from=0&limit=0");
    const Result<std::string> answer = co_await call(std::move(options), std::move(request));
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    const Result<LogBatch> batch = platformcodec::decodeLogBatch(answer.value());
    if (batch.has_error()) {
        co_return fail(batch.error());
    }
    co_return LogBounds{batch.value().firstOffset, batch.value().headOffset};
}

Platform::Answer<std::vector<InstanceEntry>> listInstances(HttpPlatformOptions options)
{
    HttpRequest request = getRequest("/instances");
    const Result<std::string> answer = co_await call(std::move(options), std::move(request));
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    co_return platformcodec::decodeInstances(answer.value());
}

Platform::Answer<std::vector<BackendMachine>> listMachines(HttpPlatformOptions options, DataCentre dataCentre)
{
    HttpRequest request = getRequest(dataCentreTarget(dataCentre, "machines"));
    const Result<std::string> answer = co_await call(std::move(options), std::move(request));
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    co_return platformcodec::decodeMachines(answer.value());
}

Platform::Answer<void> send(
    HttpPlatformOptions options, std::string target, std::string body, std::function<Duration()> permission)
{
    HttpRequest request = postRequest(std::move(target), std::move(body));
    const Result<std::string> answer
        = co_await call(std::move(options), std::move(request), Duration::zero(), std::move(permission));
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    co_return done();
}

} // namespace

Platform httpPlatform(const HttpPlatformOptions &options)
{
    Platform platform;
    platform.append = [options](LogStream stream, std::string body) {
        return appendRecord(options, stream, std::move(body));
    };
    platform.read = [options](LogStream stream, std::uint64_t from, std::chrono::milliseconds wait) {
        return readRecords(options, stream, from, wait);
    };
    platform.bounds = [options](LogStream stream) {
        return streamBounds(options, stream);
    };
    platform.instances = [options]() {
        return listInstances(options);
    };
    platform.backendMachines = [options](DataCentre dataCentre) {
        return listMachines(options, std::move(dataCentre));
    };
    platform.order = [options](const PlatformOrder &order, std::function<Duration()> permission) {
        return send(
            options, dataCentreTarget(order.dataCentre, "orders"), platformcodec::encodeOrder(order), std::move(permission));
    };
    platform.reportUsage = [options](const UsageReport &report, std::function<Duration()> permission) {
        return send(options, "/usage-reports", platformcodec::encodeUsageReport(report), std::move(permission));
    };
    return platform;
}

} // namespace flamingosaddle
