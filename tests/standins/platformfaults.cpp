#include "platformfaults.h"

namespace flamingosaddle::standins
{

void PlatformFaults::set(const Json &faults)
{
    for (auto &[name, state] : this->interfaces) {
        if (!faults.contains(name)) {
            continue;
        }
        const Json &given = faults.at(name);
        state.down = given.value("down", state.down);
        state.delay = std::chrono::milliseconds(given.value("delayMs", state.delay.count()));
        state.loseAnswers = given.value("loseAnswers", state.loseAnswers);
    }
}

bool PlatformFaults::takeLostAnswer(const std::string &interface)
{
    unsigned &left = this->interfaces.at(interface).loseAnswers;
    if (left == 0) {
        return false;
    }
    --left;
    return true;
}

const InterfaceFaults &PlatformFaults::of(const std::string &interface) const
{
    return this->interfaces.at(interface);
}

} // namespace flamingosaddle::standins
