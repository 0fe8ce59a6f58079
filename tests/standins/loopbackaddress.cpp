#include "loopbackaddress.h"

#include <unistd.h>

namespace flamingosaddle::test
{

std::string ownLoopbackAddress()
{
    const auto process = static_cast<unsigned>(::getpid());
    const auto part = [process](unsigned shift, unsigned mask) {
        return std::to_string((process >> shift) & mask);
    };
    // Between 127.64.0.0 and 127.127.255.255, which the machine's own services do not use.
    return "127." + std::to_string(64 + ((process >> 16) & 0x3f)) + "." + part(8, 0xff) + "." + part(0, 0xff);
}

} // namespace flamingosaddle::test
