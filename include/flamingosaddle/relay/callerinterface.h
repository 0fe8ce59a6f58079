#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/trace.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/http/client.h>
#include <flamingosaddle/http/message.h>
#include <flamingosaddle/relay/answerverdict.h>
#include <flamingosaddle/relay/refusal.h>
#include <flamingosaddle/relay/routedrequest.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * One request on its way to one backend server.
 */
struct BackendRequestContext {
    const HttpRequest &fromCaller;
    std::string_view requestId;
    const TraceContext &trace;
    const RequestProfile &profile;
    const BackendServerId &server;
    Duration timeLeft; ///< to the request's deadline
    std::optional<std::uint64_t> resumeAfter; ///< where a stream that broke off goes on
};

/**
 * The ways in which callers and backend servers speak: everything that differs between the project's own interface and
 * that of a platform. The hooks are pure and run on the traffic threads.
 */
struct CallerInterface {
    /** The id that the request has in logs and towards backend servers: the caller's own, or one that is made up. */
    std::function<std::string(const HttpRequest &request)> requestId;
    /** Decides for whom a request runs and where it goes. */
    std::function<Result<RoutedRequest>(const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now)> route;
    std::function<HttpRequest(const BackendRequestContext &context)> backendRequest;
    std::function<AnswerVerdict(const HttpRequest &sent, const HttpResponseHead &head)> judgeAnswer;
    /** Fields of a backend server's answer that its caller gets. */
    std::function<HttpHeaders(const HttpHeaders &fromBackend)> answerHeaders;
    /** Fields that every answer carries besides. */
    std::function<HttpHeaders(std::string_view requestId, const TraceContext &trace)> ownHeaders;
    /** Whether another backend server may do better than an answer with @p status. */
    std::function<bool(const RequestProfile &profile, int status)> isWorthRetry;
    std::function<HttpResponse(const RefusalAnswer &answer)> renderRefusal;
    /** The event that tells the caller of a stream why it broke off; an empty text where there is none. */
    std::function<std::string(const Error &error)> brokenStreamEvent;

    bool streamsHaveEndMark = true; ///< otherwise a stream is whole when its body is, and its events carry numbers
    bool answersMayEndWithConnection = false; ///< whether an answer without a length counts as whole when it is closed
};

/** The OpenAI-shaped interface. @param keySecret that keys are digested with @param openClass of routes open to all */
CallerInterface openAiInterface(const std::string &keySecret, const RequestClass &openClass);

} // namespace flamingosaddle
