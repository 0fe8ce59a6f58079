#include "completionrequest.h"

#include <flamingosaddle/base/hash.h>

#include <nlohmann/json.hpp>

namespace flamingosaddle
{

using Json = nlohmann::json;

namespace
{

constexpr int maxNestingDepth = 64;
constexpr std::size_t prefixBytes = 2048;
constexpr std::size_t bytesPerToken = 4;
constexpr const char *resumeField = "flamingosaddle_resume_tokens";

auto invalidBody(const std::string &message, const std::string &remedy)
{
    return fail(ErrorKind::InvalidRequest, message, remedy);
}

/** Returns a discarded value if the text is not valid JSON or nested too deeply. */
Json parse(std::string_view text)
{
    bool tooDeep = false;
    const auto check = [&tooDeep](int depth, Json::parse_event_t, const Json &) {
        tooDeep = tooDeep || depth > maxNestingDepth;
        return !tooDeep;
    };
    Json json = Json::parse(text, check, false);
    return tooDeep ? Json(Json::value_t::discarded) : json;
}

struct PromptText {
    std::string prefix;
    std::size_t bytes = 0;
};

void collectText(const Json &json, PromptText &text)
{
    if (json.is_string()) {
        const std::string &part = json.get_ref<const std::string &>();
        text.bytes += part.size();
        text.prefix.append(part, 0, prefixBytes - text.prefix.size());
        return;
    }
    if (json.is_structured()) {
        for (const Json &member : json) {
            collectText(member, text);
        }
    }
}

/** Returns the hashes of all messages but the last, which belongs to the request itself. */
std::vector<std::uint64_t> sharedMessages(const Json &body)
{
    std::vector<std::uint64_t> hashes;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return hashes;
    }
    for (std::size_t i = 0; i + 1 < messages->size(); ++i) {
        hashes.push_back(hash64(messages->at(i).dump(-1, ' ', false, Json::error_handler_t::replace)));
    }
    return hashes;
}

std::uint64_t countIn(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

Result<CompletionRequest> parseCompletionRequest(std::string_view body)
{
    const Json json = parse(body);
    if (!json.is_object()) {
        return invalidBody("the body is no JSON object", "send a request object of the OpenAI API");
    }
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string()) {
        return invalidBody("the body does not name a model", "set \"model\" to the name of a model, see /v1/models");
    }
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean() && !stream->is_null()) {
        return invalidBody("\"stream\" is neither true nor false", "correct or omit the field");
    }
    CompletionRequest call;
    call.model = ModelName(model->get<std::string>());
    call.stream = stream != json.end() && stream->is_boolean() && stream->get<bool>();
    PromptText text;
    for (const char *field : {"messages", "prompt"}) {
        if (const auto found = json.find(field); found != json.end()) {
            collectText(*found, text);
        }
    }
    call.prefixHash = text.prefix.empty() ? 0 : hash64(text.prefix);
    call.promptParts = sharedMessages(json);
    call.promptTokens = static_cast<std::uint32_t>(text.bytes / bytesPerToken + 1);
    return call;
}

std::string withResumePosition(std::string_view body, std::uint64_t tokens)
{
    Json json = parse(body);
    if (!json.is_object()) {
        return std::string(body);
    }
    json[resumeField] = tokens;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<TokenUsage> parseUsage(std::string_view text)
{
    const Json json = parse(text);
    const auto found = json.is_object() ? json.find("usage") : json.end();
    if (found == json.end() || !found->is_object()) {
        return fail(ErrorKind::Protocol, "the response contains no usage report", "count its tokens");
    }
    return TokenUsage{countIn(*found, "prompt_tokens"), countIn(*found, "completion_tokens")};
}

} // namespace flamingosaddle
