#pragma once

#include "answerwriter.h"
#include "backendfront.h"
#include "batch.h"
#include "generation.h"

#include <set>
#include <string>
#include <vector>

namespace flamingosaddle::standins
{

struct EngineOptions {
    std::vector<std::string> models;
    std::uint32_t slots = 8;
    std::chrono::microseconds tokenInterval{0}; ///< 0 writes tokens as fast as the connection takes them
    std::uint32_t tokensPerWrite = 1;
    std::chrono::milliseconds loadLag{0};

    friend bool operator==(const EngineOptions &, const EngineOptions &) = default;
};

/**
 * An OpenAI-compatible model engine with a bounded batch. The text of an answer follows from the request's prompt alone;
 * its length is the request's `max_tokens`.
 */
class EngineService
{
public:
    EngineService(EngineOptions options, BackendFront &front);

    // Commands.
    boost::asio::awaitable<void> run(BackendFront::Call call);
    void loadModel(const std::string &model);

    // Queries.
    std::optional<HttpResponse> status(const HttpRequest &request) const;

private:
    boost::asio::awaitable<RunEnd> generate(BackendFront::Call call, const GenerationRequest &request);
    boost::asio::awaitable<void> cut(BackendFront::Call call, const GenerationRequest &request, AnswerWriter &writer) const;
    boost::asio::awaitable<bool> pace(CallWait &wait, TimePoint &next, bool stalled) const;
    bool isCutAt(const GenerationRequest &request, std::uint32_t index) const;
    Duration interval() const;

    EngineOptions options;
    BackendFront &front;
    Batch batch;
    std::set<std::string> models;
};

} // namespace flamingosaddle::standins
