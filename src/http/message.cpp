#include <flamingosaddle/http/message.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace flamingosaddle
{

namespace
{

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char *first = text.data() + i + 1;
            const auto read = std::from_chars(first, first + 2, byte, 16);
            if (read.ec == std::errc() && read.ptr == first + 2) {
                decoded.push_back(static_cast<char>(byte));
                i += 2;
                continue;
            }
        }
        decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return decoded;
}

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lowerCase(a) == lowerCase(b);
    });
}

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> fields)
    : list(fields)
{
}

void HttpHeaders::add(std::string name, std::string value)
{
    this->list.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::set(std::string name, std::string value)
{
    this->remove(name);
    this->add(std::move(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(this->list, [name](const HttpHeader &field) {
        return equalHeaderNames(field.name, name);
    });
}

std::string_view HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &field : this->list) {
        if (equalHeaderNames(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(this->list.begin(), this->list.end(), [name](const HttpHeader &field) {
        return equalHeaderNames(field.name, name);
    }));
}

bool HttpHeaders::has(std::string_view name) const
{
    return std::any_of(this->list.begin(), this->list.end(), [name](const HttpHeader &field) {
        return equalHeaderNames(field.name, name);
    });
}

const std::vector<HttpHeader> &HttpHeaders::fields() const
{
    return this->list;
}

std::string_view HttpRequest::payload() const
{
    return this->body.empty() ? this->borrowedBody : std::string_view(this->body);
}

std::string_view HttpRequest::path() const
{
    const std::string_view whole = this->target;
    return whole.substr(0, whole.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = this->target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(this->target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (decodePercent(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string() : decodePercent(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

HttpResponse jsonResponse(int status, std::string json)
{
    return {status, HttpHeaders{{"Content-Type", "application/json"}}, std::move(json)};
}

} // namespace flamingosaddle
