#pragma once

#include <flamingosaddle/app/settings.h>
#include <flamingosaddle/base/clock.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace flamingosaddle
{

/**
 * Reads the settings again at a signal and when their file changes without one. Lives on the control thread. A file with a
 * fault changes nothing.
 */
class SettingsWatch
{
public:
    using Load = std::function<std::variant<Settings, std::vector<Error>>()>;

    static constexpr Duration lookInterval = std::chrono::seconds(1); ///< between two looks at the file

    /** @param onChange called with settings that differ from those before */
    SettingsWatch(Settings settings, Load load, std::function<void(const Settings &)> onChange);

    // Commands.

    /** Reads the settings now. */
    void reload();
    /** Looks at the file until stop(); the object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

private:
    void logChanges(const Settings &after) const;

    Settings present;
    Load load;
    std::function<void(const Settings &)> onChange;
    std::string seenText;
    bool stopped = false;
};

} // namespace flamingosaddle
