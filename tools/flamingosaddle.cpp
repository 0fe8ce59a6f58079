#include <platform/integration.h>

#include <flamingosaddle/base/log.h>
#include <flamingosaddle/cli/cli.h>

int main(int argumentCount, char **arguments)
{
    flamingosaddle::initializeLogging(flamingosaddle::LogLevel::Error);
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    return static_cast<int>(flamingosaddle::runCli(words, flamingosaddle::systemHooks(flamingosaddle::platform::changeLogAt)));
}
