#include <flamingosaddle/app/settingswatch.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace flamingosaddle
{

namespace
{

std::string textOfFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

SettingsWatch::SettingsWatch(Settings settings, Load load, std::function<void(const Settings &)> onChange)
    : present(std::move(settings))
    , load(std::move(load))
    , onChange(std::move(onChange))
    , seenText(textOfFile(this->present.settingsFile))
{
}

void SettingsWatch::reload()
{
    const auto loaded = this->load();
    if (const auto *errors = std::get_if<std::vector<Error>>(&loaded)) {
        for (const Error &error : *errors) {
            logEvent(LogLevel::Error, "app", "the settings were not reloaded", {{"reason", error.text()}});
        }
        return;
    }
    const Settings &after = std::get<Settings>(loaded);
    this->logChanges(after);
    if (!(after == this->present)) {
        this->present = after;
        this->onChange(after);
    }
}

boost::asio::awaitable<void> SettingsWatch::run()
{
    while (!this->stopped && !this->present.settingsFile.empty()) {
        co_await delay(lookInterval);
        std::string text = textOfFile(this->present.settingsFile);
        // A file that is being written anew may be empty for a moment.
        if (!this->stopped && !text.empty() && text != this->seenText) {
            this->seenText = std::move(text);
            this->reload();
        }
    }
}

void SettingsWatch::stop()
{
    this->stopped = true;
}

void SettingsWatch::logChanges(const Settings &after) const
{
    std::string changed;
    for (const SettingDescription &description : settingDescriptions()) {
        if (description.show(this->present) != description.show(after)) {
            changed += (changed.empty() ? "" : ",") + description.flag;
        }
    }
    logEvent(LogLevel::Info, "app", "the settings were reloaded", {{"changed", changed.empty() ? "none" : changed}});
}

} // namespace flamingosaddle
