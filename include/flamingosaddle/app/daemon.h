#pragma once

#include <flamingosaddle/app/integration.h>
#include <flamingosaddle/app/settings.h>
#include <flamingosaddle/app/settingswatch.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>

#include <memory>

namespace flamingosaddle
{

/**
 * One instance of the router: the control thread, the traffic threads and what they share, wired from settings.
 */
class Daemon
{
public:
    struct Addresses {
        Endpoint caller;
        Endpoint admin;
        Endpoint peer;

        friend bool operator==(const Addresses &, const Addresses &) = default;
    };

    /**
     * Binds the addresses. Fails with InvalidSetting when one of them cannot be bound. Nothing is served before run().
     * @param reload reads the settings anew, at SIGHUP and when their file changes
     */
    static Result<std::unique_ptr<Daemon>> create(const Settings &settings, Integration integration, SettingsWatch::Load reload);

    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Queries.

    /** The addresses with the ports that were taken. */
    Addresses addresses() const;

    // Commands.

    /**
     * Serves until SIGTERM or SIGINT, then drains: is no longer ready, takes no new connections once the drain notice is
     * over, lets running requests finish for at most the drain timeout, and returns. A second signal ends it at once. The
     * calling thread becomes the control thread.
     */
    void run();

    /** Begins the drain as a signal does. Any thread. */
    void shutDown();

private:
    class Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace flamingosaddle
