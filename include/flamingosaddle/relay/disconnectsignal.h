#pragma once

#include <functional>
#include <utility>

namespace flamingosaddle
{

/**
 * Notifies the pending operation of a request that its caller has disconnected. Holds one listener at a time. Used from one
 * executor; must outlive its listener.
 */
class DisconnectSignal
{
public:
    /**
     * Registers a callback for the lifetime of the object.
     */
    class Listener
    {
    public:
        Listener(DisconnectSignal &signal, std::function<void()> onGone)
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
        DisconnectSignal &signal;
    };

    // Commands.
    void setDisconnected()
    {
        this->gone = true;
        if (this->listener) {
            this->listener();
        }
    }

    // Queries.
    bool isDisconnected() const
    {
        return this->gone;
    }

private:
    std::function<void()> listener;
    bool gone = false;
};

} // namespace flamingosaddle
