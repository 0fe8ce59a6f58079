#include "batch.h"

#include <algorithm>

namespace flamingosaddle::standins
{

Batch::Batch(std::uint32_t slots, Duration reportLag)
    : slots(slots)
    , reportLag(reportLag)
{
}

boost::asio::awaitable<bool> Batch::enter(CallWait &wait, std::uint32_t tokens)
{
    if (this->running < this->slots) {
        ++this->running;
        this->remember();
        co_return true;
    }
    Waiting entry{&wait, tokens, false};
    this->queue.push_back(&entry);
    this->remember();
    while (!entry.admitted && !wait.isCallerGone()) {
        co_await wait.untilWoken();
    }
    if (!entry.admitted) {
        std::erase(this->queue, &entry);
        this->remember();
    }
    co_return entry.admitted;
}

void Batch::leave()
{
    if (this->queue.empty()) {
        --this->running;
    } else {
        Waiting *next = this->queue.front();
        this->queue.pop_front();
        next->admitted = true; // takes over the slot of the one that leaves
        next->wait->wake();
    }
    this->remember();
}

EngineLoad Batch::reported(TimePoint now) const
{
    const auto newest = std::find_if(this->samples.rbegin(), this->samples.rend(), [&](const Sample &sample) {
        return sample.since + this->reportLag <= now;
    });
    return newest == this->samples.rend() ? EngineLoad{} : newest->load;
}

void Batch::remember()
{
    const TimePoint now = RuntimeClock::now();
    while (this->samples.size() > 1 && this->samples[1].since + this->reportLag <= now) {
        this->samples.pop_front();
    }
    EngineLoad load{this->running, static_cast<std::uint32_t>(this->queue.size()), 0};
    for (const Waiting *waiting : this->queue) {
        load.waitingTokens += waiting->tokens;
    }
    this->samples.push_back({now, load});
}

} // namespace flamingosaddle::standins
