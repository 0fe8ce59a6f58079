#pragma once

#include "json.h"

#include <chrono>
#include <string>
#include <vector>

namespace flamingosaddle::process
{

using standins::Json;

/**
 * What a checker found wrong, one text each; empty when the invariant holds. The checkers read the stand-ins' audits,
 * which the product cannot influence.
 */
using Violations = std::vector<std::string>;

/**
 * No request id and no idempotency key of a call that changes something ran more than once, over the audits of all
 * backend servers. Calls that may be repeated (GET, HEAD and generations of a model) are left out.
 */
Violations checkRunAtMostOnce(const std::vector<Json> &backendAudits);

/** No request that was refused as not run, by the request ids of the refusals, was run by a backend server. */
Violations checkNotRun(const std::vector<Json> &backendAudits, const std::vector<std::string> &requestIds);

/**
 * No backend server ran a request with one of these names, which stand at the end of the target or quoted in the body. The
 * callers of these requests saw their connection closed without an answer.
 */
Violations checkLost(const std::vector<Json> &backendAudits, const std::vector<std::string> &names);

/** No backend server received one of the callers' keys, in a header, the target or the body. */
Violations checkNoKeySeen(const std::vector<Json> &backendAudits, const std::vector<std::string> &keys);

/**
 * In each 4 s after @p from, on the steady clock, the backend server received at most one and a half times the requests that its
 * rate limit allows, and 5 more.
 */
Violations checkRateLimit(const Json &backendAudit, double requestsPerSecond, std::chrono::milliseconds from);

/** The backend server received at most @p allowed requests after @p from, on the steady clock. */
Violations checkArrivals(const Json &backendAudit, std::chrono::milliseconds from, std::size_t allowed);

/** No stream went on at the other one of two engines of different software versions. */
Violations checkStreamVersions(const Json &firstAudit, const Json &secondAudit);

/** What the events of a streamed answer carry, joined. */
struct StreamedAnswer {
    std::string text;
    bool done = false; ///< whether the stream ended with `data: [DONE]`

    friend bool operator==(const StreamedAnswer &, const StreamedAnswer &) = default;
};

StreamedAnswer parseStream(const std::string &body);

/** The streamed body is the whole answer to the generation request @p request and to no other, with its end mark. */
Violations checkStreamedAnswer(const std::string &path, const std::string &request, const std::string &body);

/** The body of an answer that was not streamed is the whole answer to the generation request @p request. */
Violations checkPlainAnswer(const std::string &path, const std::string &request, const std::string &body);

/**
 * Orders that the platform applied came from one holder in each epoch, and for a service never from an older epoch after a
 * newer one. @p orders is in the order of arrival, fencing numbers in `epoch`.
 */
Violations checkOrders(const Json &orders);

/**
 * Every window was reported with one set of counts, by one holder in each epoch, and never from an older epoch after a newer
 * one.
 */
Violations checkUsageReports(const Json &reports);

} // namespace flamingosaddle::process
