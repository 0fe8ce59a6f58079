#include "forwarding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingosaddle
{

namespace
{

constexpr const char *fromField = "X-Flamingosaddle-Forwarded-By";
constexpr const char *requestIdField = "X-Flamingosaddle-Forwarded-Id";
constexpr const char *elapsedField = "X-Flamingosaddle-Elapsed-Ms";
constexpr const char *attemptsField = "X-Flamingosaddle-Earlier-Attempts";
constexpr const char *configField = "X-Flamingosaddle-Config-Offset";
constexpr const char *notTakenField = "X-Flamingosaddle-Not-Taken";
constexpr const char *servedByField = "X-Flamingosaddle-Served-By";
constexpr std::string_view unreachableText = "unreachable";
constexpr std::string_view otherText = "other";

constexpr std::array forwardingFields{
    fromField, requestIdField, elapsedField, attemptsField, configField, notTakenField, servedByField};

// Fields that apply to a single connection (RFC 9110, section 7.6.1) or are generated for each message.
constexpr std::array<std::string_view, 10> connectionFields = {"Connection", "Content-Length", "Expect", "Keep-Alive",
    "Proxy-Authenticate", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

template <typename List>
bool isListed(const List &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view listed) {
        return equalHeaderNames(listed, name);
    });
}

/** Returns the fields that the Connection field names. */
std::vector<std::string_view> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string_view> options;
    std::string_view list = headers.find("Connection");
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view option = list.substr(0, comma);
        const std::size_t first = std::min(option.find_first_not_of(" \t"), option.size());
        option.remove_prefix(first);
        options.push_back(option.substr(0, option.find_last_not_of(" \t") + 1));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return options;
}

HttpHeaders endToEndFields(const HttpHeaders &headers)
{
    const std::vector<std::string_view> options = connectionOptions(headers);
    HttpHeaders kept;
    for (const HttpHeader &field : headers.fields()) {
        if (!isListed(connectionFields, field.name) && !isListed(options, field.name)
            && !isListed(forwardingFields, field.name)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

template <typename T>
Result<T> numberIn(const HttpRequest &request, const char *field)
{
    const std::string_view text = request.headers.find(field);
    T number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || read.ec != std::errc() || read.ptr != text.data() + text.size()) {
        return fail(ErrorKind::InvalidRequest, std::string("the forwarded request has no valid field ") + field,
            "send callers' requests to the address for callers");
    }
    return number;
}

} // namespace

HttpRequest buildForwardedRequest(const HttpRequest &callerRequest, const ForwardedRequest &forwarded)
{
    HttpRequest request{
        callerRequest.method, callerRequest.target, endToEndFields(callerRequest.headers), {}, callerRequest.payload()};
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(forwarded.elapsed);
    request.headers.add(fromField, forwarded.from.text());
    request.headers.add(requestIdField, forwarded.requestId);
    request.headers.add(elapsedField, std::to_string(std::max<std::int64_t>(elapsed.count(), 0)));
    request.headers.add(attemptsField, std::to_string(forwarded.attempts));
    request.headers.add(configField, std::to_string(forwarded.configOffset));
    return request;
}

Result<ForwardedRequest> parseForwardedRequest(const HttpRequest &request)
{
    ForwardedRequest forwarded;
    BOOST_OUTCOME_TRY(elapsed, numberIn<std::uint32_t>(request, elapsedField));
    BOOST_OUTCOME_TRY(attempts, numberIn<std::uint32_t>(request, attemptsField));
    BOOST_OUTCOME_TRY(configOffset, numberIn<std::uint64_t>(request, configField));
    forwarded.from = InstanceId(std::string(request.headers.find(fromField)));
    forwarded.requestId = std::string(request.headers.find(requestIdField));
    forwarded.elapsed = std::chrono::milliseconds(elapsed);
    forwarded.attempts = attempts;
    forwarded.configOffset = configOffset;
    return forwarded;
}

HttpRequest withoutForwardingFields(HttpRequest request)
{
    for (const char *field : forwardingFields) {
        request.headers.remove(field);
    }
    return request;
}

HttpHeaders headersFromPeer(const HttpHeaders &fromPeer)
{
    return endToEndFields(fromPeer);
}

void markNotTaken(HttpHeaders &headers, bool isUnreachable)
{
    headers.set(notTakenField, std::string(isUnreachable ? unreachableText : otherText));
}

void addServedBy(HttpHeaders &headers, const BackendServerId &server)
{
    headers.set(servedByField, server.text());
}

BackendServerId servedBy(const HttpHeaders &fromPeer)
{
    return BackendServerId(std::string(fromPeer.find(servedByField)));
}

PeerRefusal peerRefusal(const HttpHeaders &fromPeer)
{
    if (!fromPeer.has(notTakenField)) {
        return PeerRefusal::None;
    }
    return fromPeer.find(notTakenField) == unreachableText ? PeerRefusal::Unreachable : PeerRefusal::Other;
}

} // namespace flamingosaddle
