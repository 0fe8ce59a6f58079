#pragma once

#include <flamingosaddle/http/message.h>

#include <boost/beast/http/fields.hpp>

#include <string>

namespace flamingosaddle
{

/**
 * Copies the fields that Beast has parsed.
 */
HttpHeaders headersFrom(const boost::beast::http::fields &fields);

/**
 * The bytes of a request up to the empty line after its header fields.
 */
std::string requestHead(const HttpRequest &request);

/**
 * The bytes of a response up to the empty line after its header fields.
 */
std::string responseHead(int status, const HttpHeaders &headers);

} // namespace flamingosaddle
