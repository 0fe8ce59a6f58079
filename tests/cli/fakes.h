#pragma once

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/cli/cli.h>
#include <flamingosaddle/state/configstate.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * The platform's config stream in memory. append() fails as often as failuresLeft says.
 */
class FakeLog
{
public:
    Platform platform();
    ConfigState config() const; ///< all records applied

    std::vector<std::string> records;
    int failuresLeft = 0;
    ErrorKind failure = ErrorKind::Timeout;
    bool isFailureAfterEffect = false; ///< the record is appended and the answer lost
    bool isDown = false;

private:
    boost::asio::awaitable<Result<std::uint64_t>> append(std::string body);
    boost::asio::awaitable<Result<LogBatch>> read(std::uint64_t from, std::chrono::milliseconds wait);
    void add(std::string body);

    std::list<Timer *> waiting;
};

/**
 * The client with files, log and daemons in memory.
 */
class CliBench
{
public:
    CliBench();

    ExitCode run(const std::vector<std::string> &arguments);
    /** Prints JSON from here on. */
    nlohmann::json result() const;

    FakeLog log;
    std::map<std::string, std::string> files;
    std::map<std::string, std::string> variables;
    /** Answers of daemons by their admin address; an address without one is unreachable. */
    std::map<std::string, std::function<HttpResponse(const HttpRequest &)>> daemons;
    std::string out;
    std::string err;

private:
    CliHooks hooks();

    int randomCalls = 0;
    std::ostringstream outStream;
    std::ostringstream errStream;
};

extern const char *const templateText;
extern const char *const accountText;

} // namespace flamingosaddle
