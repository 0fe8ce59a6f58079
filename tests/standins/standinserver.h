#pragma once

#include <flamingosaddle/http/server.h>

namespace flamingosaddle::standins
{

/**
 * Serves @p handler on one thread until SIGTERM or SIGINT. Prints `listening IP:PORT` once it is ready. Answers the exit
 * code of the program.
 */
int runStandin(const Endpoint &endpoint, HttpHandler handler);

/** An error answer of the stand-ins. */
HttpResponse errorResponse(int status, const std::string &kind, const std::string &message);

} // namespace flamingosaddle::standins
