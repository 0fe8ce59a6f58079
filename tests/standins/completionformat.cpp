#include "completionformat.h"

namespace flamingosaddle::standins
{

namespace
{

constexpr const char *tokenPlace = "TOKEN";

std::string event(const Json &json)
{
    return "data: " + json.dump() + "\n\n";
}

} // namespace

CompletionFormat::CompletionFormat(const GenerationRequest &request)
    : request(request)
{
    // Every event of a stream differs in its token alone, so the rest is written once.
    Json json = this->head(request.chat ? "chat.completion.chunk" : "text_completion");
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (request.chat) {
        choice["delta"] = {{"content", tokenPlace}};
    } else {
        choice["text"] = tokenPlace;
    }
    json["choices"] = Json::array({choice});
    const std::string text = event(json);
    const std::size_t place = text.find(tokenPlace);
    this->beforeToken = text.substr(0, place);
    this->afterToken = text.substr(place + std::char_traits<char>::length(tokenPlace));
}

std::string CompletionFormat::tokenEvent(const std::string &token) const
{
    return this->beforeToken + token + this->afterToken;
}

std::string CompletionFormat::endEvents() const
{
    Json last = this->head(this->request.chat ? "chat.completion.chunk" : "text_completion");
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (this->request.chat) {
        choice["delta"] = Json::object();
    } else {
        choice["text"] = "";
    }
    last["choices"] = Json::array({choice});
    std::string events = event(last);
    if (this->request.includeUsage) {
        last["choices"] = Json::array();
        last["usage"] = this->usage();
        events += event(last);
    }
    return events + "data: [DONE]\n\n";
}

std::string CompletionFormat::whole(const std::string &text) const
{
    Json json = this->head(this->request.chat ? "chat.completion" : "text_completion");
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (this->request.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    json["choices"] = Json::array({choice});
    json["usage"] = this->usage();
    return json.dump();
}

Json CompletionFormat::head(const char *object) const
{
    return {{"id", "cmpl-" + this->request.mark}, {"object", object}, {"created", 0}, {"model", this->request.model}};
}

Json CompletionFormat::usage() const
{
    return {{"prompt_tokens", this->request.promptTokens}, {"completion_tokens", this->request.maxTokens},
        {"total_tokens", this->request.promptTokens + this->request.maxTokens}};
}

} // namespace flamingosaddle::standins
