#include "fakes.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace flamingosaddle
{

const char *const templateText = R"({"name": "bakery", "version": 1, "classes": [{"name": "chat", "tier": 0}]})";
const char *const accountText = R"({"id": "bakers", "templateName": "bakery", "templateVersion": 1, "models": ["m"]})";

void FakeLog::add(std::string body)
{
    this->records.push_back(std::move(body));
    for (Timer *timer : this->waiting) {
        timer->cancel();
    }
}

boost::asio::awaitable<Result<std::uint64_t>> FakeLog::append(std::string body)
{
    if (this->isDown) {
        co_return fail(ErrorKind::Unreachable, "down", "wait");
    }
    const bool fails = this->failuresLeft > 0;
    if (!fails || this->isFailureAfterEffect) {
        this->add(std::move(body));
    }
    if (fails) {
        --this->failuresLeft;
        co_return fail(this->failure, "no answer", "wait");
    }
    co_return this->records.size() - 1;
}

boost::asio::awaitable<Result<LogBatch>> FakeLog::read(std::uint64_t from, std::chrono::milliseconds wait)
{
    if (from >= this->records.size()) {
        Timer timer(co_await boost::asio::this_coro::executor, wait);
        const auto entry = this->waiting.insert(this->waiting.end(), &timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        this->waiting.erase(entry);
    }
    LogBatch batch;
    batch.endOffset = this->records.size();
    for (std::uint64_t offset = from; offset < this->records.size(); ++offset) {
        batch.records.push_back({offset, this->records[offset]});
    }
    batch.nextOffset = std::max<std::uint64_t>(from, batch.endOffset);
    co_return batch;
}

Platform FakeLog::platform()
{
    this->waiting.clear();
    Platform platform;
    platform.append = [this](LogStream, std::string body) {
        return this->append(std::move(body));
    };
    platform.read = [this](LogStream, std::uint64_t from, std::chrono::milliseconds wait) {
        return this->read(from, wait);
    };
    platform.bounds = [this](LogStream stream) -> Platform::AsyncResult<LogBounds> {
        if (this->isDown) {
            co_return fail(ErrorKind::Unreachable, "down", "wait");
        }
        co_return LogBounds{0, stream == LogStream::Config ? this->records.size() : 0};
    };
    platform.newestSnapshot = [this](LogStream) -> Platform::AsyncResult<std::optional<std::string>> {
        if (this->isDown) {
            co_return fail(ErrorKind::Unreachable, "down", "wait");
        }
        co_return std::nullopt;
    };
    return platform;
}

ConfigState FakeLog::config() const
{
    ConfigState state;
    for (std::size_t offset = 0; offset < this->records.size(); ++offset) {
        state.apply(offset, decodeConfigChange(this->records[offset]).value());
    }
    return state;
}

CliBench::CliBench()
{
    this->variables["FLAMINGOSADDLE_PLATFORM"] = "127.0.0.1:1";
    this->variables["FLAMINGOSADDLE_KEY_SECRET"] = "a secret for tests only";
    this->files["template"] = templateText;
    this->files["account"] = accountText;
}

ExitCode CliBench::run(const std::vector<std::string> &arguments)
{
    this->outStream.str("");
    this->errStream.str("");
    const ExitCode exitCode = runCli(arguments, this->hooks());
    this->out = this->outStream.str();
    this->err = this->errStream.str();
    return exitCode;
}

nlohmann::json CliBench::result() const
{
    return nlohmann::json::parse(this->out, nullptr, false);
}

CliHooks CliBench::hooks()
{
    CliHooks hooks;
    hooks.environment = [this](const std::string &name) {
        const auto found = this->variables.find(name);
        return found == this->variables.end() ? std::nullopt : std::optional<std::string>(found->second);
    };
    hooks.readFile = [this](const std::string &path) -> Result<std::string> {
        const auto found = this->files.find(path);
        if (found == this->files.end()) {
            return fail(ErrorKind::NotFound, "no file", "name another");
        }
        return found->second;
    };
    hooks.connectPlatform = [this](const Endpoint &) {
        return this->log.platform();
    };
    hooks.fetch = [this](Endpoint endpoint, HttpRequest request, FetchOptions) -> boost::asio::awaitable<Result<HttpResponse>> {
        const auto found = this->daemons.find(endpoint.text());
        if (found == this->daemons.end()) {
            co_return fail(ErrorKind::Unreachable, "nobody listens", "start it");
        }
        co_return found->second(request);
    };
    hooks.randomHex = [this](std::size_t bytes) -> Result<std::string> {
        std::string text = std::to_string(++this->randomCalls);
        return std::string(2 * bytes - text.size(), '0') + text;
    };
    hooks.out = &this->outStream;
    hooks.err = &this->errStream;
    return hooks;
}

} // namespace flamingosaddle
