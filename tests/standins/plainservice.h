#pragma once

#include "backendfront.h"

#include <map>
#include <string>

namespace flamingosaddle::standins
{

/**
 * A plain service on any path. GET and HEAD change nothing; each other call counts one run for its `X-Request-Id` and its
 * `Idempotency-Key`. The answer repeats what was asked, so that a crossed answer shows.
 */
class PlainService
{
public:
    PlainService(std::chrono::milliseconds workTime, BackendFront &front);

    boost::asio::awaitable<void> run(BackendFront::Call call);

private:
    Json perform(const HttpRequest &request);

    std::chrono::milliseconds workTime;
    BackendFront &front;
    std::map<std::string, unsigned> runsByRequestId;
    std::map<std::string, unsigned> runsByIdempotencyKey;
};

} // namespace flamingosaddle::standins
