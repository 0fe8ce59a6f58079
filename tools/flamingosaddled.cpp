#include <platform/integration.h>

#include <flamingosaddle/app/daemon.h>
#include <flamingosaddle/app/settings.h>
#include <flamingosaddle/base/log.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace flamingosaddle;

constexpr int exitUsage = 1;
constexpr int exitFailed = 2;

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

// Takes a switch without a value out of the arguments; answers whether it was there.
bool takeSwitch(std::vector<std::string> &arguments, const std::string &name)
{
    return std::erase(arguments, name) > 0;
}

void printHelp()
{
    std::cout << "flamingosaddled: routes language-model traffic. Settings are flags or environment variables.\n\n"
              << "  --help                 print this text\n"
              << "  --check                check the settings, print every fault and end\n"
              << "  --settings-reference   print the reference page of all settings\n\n";
    for (const SettingDescription &description : settingDescriptions()) {
        const std::string flag = description.flag.empty() ? "" : "--" + description.flag + ", ";
        std::cout << "  " << flag << description.variable << " (" << description.unit << ")\n      " << description.help << '\n';
    }
}

/**
 * Keeps signals from ending the process while no daemon handles them, at its start and at its end. The first daemon handles those
 * that came before it.
 */
void holdSignals()
{
    // Never destroyed: the end of the last registration of a signal restores its default action.
    static auto &context = *new boost::asio::io_context();
    static const auto &signals = *new boost::asio::signal_set(context, SIGHUP, SIGTERM, SIGINT);
    static_cast<void>(signals);
}

/**
 * Large blocks, such as bodies, go back to the system as soon as they are freed. By default the allocator would keep blocks of
 * the sizes that it has seen freed, each with the pages that were ever used in it.
 */
void returnLargeBlocks()
{
    constexpr int largeBlockBytes = 128 * 1024;
    constexpr int freeBytesKept = 1024 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, freeBytesKept);
}

int runDaemon(const Settings &settings, SettingsWatch::Load reload)
{
    initializeLogging(settings.logLevel, LogOutput::StandardOutput);
    auto daemon = Daemon::create(settings, platform::integration(settings), std::move(reload));
    if (daemon.has_error()) {
        std::cerr << "flamingosaddled: " << daemon.error().text() << '\n';
        return exitFailed;
    }
    const Daemon::Addresses addresses = daemon.value()->addresses();
    std::cout << "listening caller=" << addresses.caller.text() << " admin=" << addresses.admin.text()
              << " peer=" << addresses.peer.text() << std::endl;
    daemon.value()->run();
    shutDownLogging();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    holdSignals();
    returnLargeBlocks();
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (takeSwitch(arguments, "--help")) {
        printHelp();
        return EXIT_SUCCESS;
    }
    if (takeSwitch(arguments, "--settings-reference")) {
        std::cout << settingsReference();
        return EXIT_SUCCESS;
    }
    const bool checkOnly = takeSwitch(arguments, "--check");
    const auto load = [&arguments] {
        return loadSettings(arguments, environmentVariable);
    };
    const auto loaded = load();
    if (const auto *errors = std::get_if<std::vector<Error>>(&loaded)) {
        for (const Error &error : *errors) {
            std::cerr << "flamingosaddled: " << error.text() << '\n';
        }
        return exitUsage;
    }
    if (checkOnly) {
        std::cout << "settings: ok\n";
        return EXIT_SUCCESS;
    }
    return runDaemon(std::get<Settings>(loaded), load);
}
