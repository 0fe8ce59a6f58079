#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

struct HttpHeader {
    std::string name;
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/**
 * Compares two names of header fields, without regard to case.
 */
bool equalHeaderNames(std::string_view left, std::string_view right);

/**
 * Header fields in the order of the message. Names compare without regard to case.
 */
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    // Commands.
    void add(std::string name, std::string value);
    void set(std::string name, std::string value);
    void remove(std::string_view name);

    // Queries.
    /**
     * The first field of this name, or an empty text.
     */
    std::string_view find(std::string_view name) const;
    bool has(std::string_view name) const;
    std::size_t count(std::string_view name) const; ///< fields of this name
    const std::vector<HttpHeader> &fields() const;

    friend bool operator==(const HttpHeaders &, const HttpHeaders &) = default;

private:
    std::vector<HttpHeader> list;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    HttpHeaders headers;
    std::string body;
    /**
     * Sent in place of an empty body; belongs to another request, which outlives the sending. A large body is kept once.
     */
    std::string_view borrowedBody{};

    /**
     * The bytes that are sent as the body.
     */
    std::string_view payload() const;

    /**
     * The target without its query.
     */
    std::string_view path() const;

    /**
     * The value of a query parameter, or an empty text. Percent escapes are decoded.
     */
    std::string query(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/**
 * A response with @p json as its body and the content type that goes with it.
 */
HttpResponse jsonResponse(int status, std::string json);

} // namespace flamingosaddle
