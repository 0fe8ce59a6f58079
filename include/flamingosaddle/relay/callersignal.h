#pragma once

#include <functional>
#include <utility>

namespace flamingosaddle
{

/**
 * Tells the operation that a request waits for that its caller has gone. Used from one executor; lives longer than the
 * operations that listen to it.
 */
class CallerSignal
{
public:
    /**
     * Keeps a listener registered for the lifetime of the object.
     */
    class Listener
    {
    public:
        Listener(CallerSignal &signal, std::function<void()> onGone)
            : signal(signal)
        {
            this->signal.listener = std::move(onGone);
        }

        ~Listener()
        {
            this->signal.listener = nullptr;
        }

        Listener(const Listener &) = delete;
        Listener &operator=(const Listener &) = delete;

    private:
        CallerSignal &signal;
    };

    // Commands.
    void setGone()
    {
        this->gone = true;
        if (this->listener) {
            this->listener();
        }
    }

    // Queries.
    bool isGone() const
    {
        return this->gone;
    }

private:
    std::function<void()> listener;
    bool gone = false;
};

} // namespace flamingosaddle
