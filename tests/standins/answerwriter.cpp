#include "answerwriter.h"

#include "backendfront.h"

namespace flamingosaddle::standins
{

AnswerWriter::AnswerWriter(
    HttpExchange &exchange, const GenerationRequest &request, std::uint32_t tokensPerWrite, bool muted, HttpHeaders headers)
    : exchange(exchange)
    , request(request)
    , format(request)
    , tokensPerWrite(tokensPerWrite)
    , muted(muted)
    , headers(std::move(headers))
{
}

boost::asio::awaitable<bool> AnswerWriter::begin()
{
    if (this->muted || !this->request.stream) {
        co_return true;
    }
    this->headers.set("Content-Type", "text/event-stream");
    const Result<void> begun = co_await this->exchange.beginStream(200, this->headers);
    co_return begun.has_value();
}

boost::asio::awaitable<bool> AnswerWriter::token(std::uint32_t index)
{
    if (this->muted || !this->request.stream) {
        co_return true;
    }
    this->piece += this->format.tokenEvent(tokenText(this->request.mark, index));
    if (++this->unwritten < this->tokensPerWrite) {
        co_return true;
    }
    const Result<void> written = co_await this->exchange.writePiece(this->piece);
    this->piece.clear();
    this->unwritten = 0;
    co_return written.has_value();
}

boost::asio::awaitable<bool> AnswerWriter::finish()
{
    if (this->muted) {
        co_return true;
    }
    if (!this->request.stream) {
        const std::string text = answerText(this->request.mark, this->request.resumeFrom, this->request.maxTokens);
        HttpResponse whole = jsonResponse(200, this->format.whole(text));
        addHeaders(whole, this->headers);
        const Result<void> answered = co_await this->exchange.respond(std::move(whole));
        co_return answered.has_value();
    }
    const Result<void> written = co_await this->exchange.writePiece(this->piece + this->format.endEvents());
    if (written.has_error()) {
        co_return false;
    }
    const Result<void> ended = co_await this->exchange.endStream();
    co_return ended.has_value();
}

boost::asio::awaitable<void> AnswerWriter::endEarly()
{
    const Result<void> ignored = co_await this->exchange.endStream();
}

} // namespace flamingosaddle::standins
