#include "wire.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/message.hpp>

namespace flamingosaddle
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned int httpVersion = 11;

boost::beast::string_view view(const std::string &text)
{
    return {text.data(), text.size()};
}

void copyFields(const HttpHeaders &headers, http::fields &fields)
{
    for (const HttpHeader &header : headers.fields()) {
        fields.insert(view(header.name), view(header.value));
    }
}

} // namespace

HttpHeaders headersFrom(const http::fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields) {
        headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

std::string requestHead(const HttpRequest &request)
{
    http::request_header<> head;
    head.version(httpVersion);
    head.method_string(view(request.method));
    head.target(view(request.target));
    copyFields(request.headers, head);
    const http::fields::writer writer(head, head.version(), head.method());
    return boost::beast::buffers_to_string(writer.get());
}

std::string responseHead(int status, const HttpHeaders &headers)
{
    http::response_header<> head;
    head.version(httpVersion);
    head.result(static_cast<unsigned int>(status));
    copyFields(headers, head);
    const http::fields::writer writer(head, head.version(), head.result_int());
    return boost::beast::buffers_to_string(writer.get());
}

} // namespace flamingosaddle
