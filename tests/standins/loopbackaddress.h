#pragma once

#include <string>

namespace flamingosaddle::test
{

/**
 * A loopback address that no other process uses: a port that one test closed is not opened by another test that runs beside
 * it, so that no test receives requests or messages meant for a server that has gone.
 */
std::string ownLoopbackAddress();

} // namespace flamingosaddle::test
