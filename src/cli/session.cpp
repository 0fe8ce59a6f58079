#include <flamingosaddle/cli/session.h>

#include <algorithm>
#include <ostream>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr std::chrono::seconds longestExchange(2);

/**
 * What a daemon said about its refusal, or its body when it is not the usual error object.
 */
std::string refusalText(const HttpResponse &response)
{
    const Output json = Output::parse(response.body, nullptr, false);
    const auto error = json.is_object() ? json.find("error") : json.end();
    if (error != json.end() && error->is_object() && error->contains("message") && (*error)["message"].is_string()) {
        return (*error)["message"].get<std::string>();
    }
    return response.body;
}

} // namespace

CliSession::CliSession(boost::asio::io_context &context, CliOptions options, CliHooks hooks)
    : context(context)
    , cliOptions(std::move(options))
    , cliHooks(std::move(hooks))
    , endsAt(RuntimeClock::now() + this->cliOptions.timeout)
{
    if (this->cliOptions.platform.has_value()) {
        this->platform = this->cliHooks.connectPlatform(*this->cliOptions.platform);
    }
}

boost::asio::awaitable<Result<LogView *>> CliSession::openLog()
{
    if (!this->cliOptions.platform.has_value()) {
        co_return fail(ErrorKind::InvalidSetting, "the platform's address is missing",
            "give --platform IP:PORT or set FLAMINGOSADDLE_PLATFORM");
    }
    if (!this->log) {
        this->log = std::make_unique<LogView>(this->context, this->platform);
    }
    const Result<void> opened = co_await this->log->open(this->endsAt);
    if (opened.has_error()) {
        co_return fail(opened.error());
    }
    co_return this->log.get();
}

Platform::AsyncResult<std::uint64_t> CliSession::append(std::string record)
{
    return this->platform.append(LogStream::Config, std::move(record));
}

boost::asio::awaitable<Result<Output>> CliSession::askDaemon(Endpoint admin, HttpRequest request)
{
    FetchOptions fetchOptions;
    fetchOptions.timeout = std::min<Duration>(longestExchange, this->cliOptions.timeout);
    Result<HttpResponse> answer = co_await this->cliHooks.fetch(std::move(admin), std::move(request), fetchOptions);
    if (answer.has_error()) {
        co_return fail(answer.error());
    }
    const HttpResponse &response = answer.value();
    if (response.status != statusOk) {
        const ErrorKind kind = response.status == statusNotFound ? ErrorKind::NotFound : ErrorKind::Refused;
        co_return fail(kind, "the daemon answered " + std::to_string(response.status) + ": " + refusalText(response),
            "check that --admin names a daemon's admin address");
    }
    Output json = Output::parse(response.body, nullptr, false);
    if (json.is_discarded()) {
        co_return fail(
            ErrorKind::Protocol, "the daemon's answer is no JSON", "check that --admin names a daemon's admin address");
    }
    co_return json;
}

void CliSession::print(const Output &result)
{
    flamingosaddle::print(*this->cliHooks.out, this->cliOptions.output, result);
}

ExitCode CliSession::report(const Error &error)
{
    *this->cliHooks.err << "flamingosaddle: " << toString(error.kind()) << ": " << error.text() << '\n';
    return exitCodeOf(error);
}

const CliOptions &CliSession::options() const
{
    return this->cliOptions;
}

const CliHooks &CliSession::hooks() const
{
    return this->cliHooks;
}

TimePoint CliSession::deadline() const
{
    return this->endsAt;
}

ExitCode exitCodeOf(const Error &error)
{
    switch (error.kind()) {
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::Unreachable:
    case ErrorKind::Unavailable:
    case ErrorKind::ConnectionLost:
    case ErrorKind::Protocol:
        return ExitCode::Unreachable;
    case ErrorKind::Timeout:
        return ExitCode::Unknown;
    default:
        return ExitCode::Invalid;
    }
}

} // namespace flamingosaddle
