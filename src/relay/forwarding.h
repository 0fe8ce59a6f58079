#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/http/message.h>

#include <cstdint>
#include <string>

namespace flamingosaddle
{

/**
 * What an instance tells a peer of a caller's request that it forwards. It travels in header fields, which only requests that
 * arrive at the address for forwarded requests may carry.
 */
struct ForwardedRequest {
    InstanceId from;
    std::string requestId; ///< in the logs of both instances
    Duration elapsed{0}; ///< since the request arrived from its caller, in whole milliseconds
    std::uint32_t attempts = 0; ///< attempts that a backend server has seen or may have seen, rejected ones included
    std::uint64_t configOffset = 0; ///< of the configuration that the sender routed it by

    friend bool operator==(const ForwardedRequest &, const ForwardedRequest &) = default;
};

/** Returns the caller's request as it is sent to a peer: unchanged but for the fields of the connection and of @p forwarded. */
HttpRequest buildForwardedRequest(const HttpRequest &callerRequest, const ForwardedRequest &forwarded);

/** Reads what buildForwardedRequest() wrote. Fails with InvalidRequest if a field is missing or malformed. */
Result<ForwardedRequest> parseForwardedRequest(const HttpRequest &request);

/** Returns the caller's request without the fields of ForwardedRequest. */
HttpRequest withoutForwardingFields(HttpRequest request);

/** Returns the peer's response header as it is sent to the caller: without the fields of the connection and of forwarding. */
HttpHeaders headersFromPeer(const HttpHeaders &fromPeer);

/** Marks a refusal by which a peer leaves a forwarded request to others, because it cannot serve it. */
void markNotTaken(HttpHeaders &headers, bool isUnreachable);

/** Tells the instance that forwarded a request which backend server responded. */
void addServedBy(HttpHeaders &headers, const BackendServerId &server);

/** Returns the backend server that addServedBy() named, or an empty id. */
BackendServerId servedBy(const HttpHeaders &fromPeer);

enum class PeerRefusal {
    None, ///< the response is the caller's
    Unreachable, ///< the peer has no path to the servers either
    Other, ///< the peer cannot serve the request for another reason that may not hold elsewhere
};

/** Tells whether the response is a refusal that markNotTaken() marked. */
PeerRefusal peerRefusal(const HttpHeaders &fromPeer);

} // namespace flamingosaddle
