#pragma once

#include "json.h"

#include <flamingosaddle/http/message.h>

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace flamingosaddle::standins
{

enum class RunEnd {
    Running,
    NotRun, ///< a fault kept the request from running
    Whole,
    Cancelled, ///< the caller closed the connection
    Truncated,
    ResponseLost, ///< it ran and the connection was closed unanswered
};

const char *toString(RunEnd end);

/**
 * Every request that a backend server received, with all that it was sent and what became of it. With a file, each entry
 * is written there as one JSON line when it begins and again when it ends, so that the audit outlives the process.
 */
class RunAudit
{
public:
    using Run = std::size_t;

    // Commands.
    void writeTo(const std::string &path);
    Run begin(const HttpRequest &request);
    void countToken(Run run);
    void end(Run run, RunEnd end);

    // Queries.
    Json json() const;

private:
    struct Entry {
        Json received;
        std::uint32_t tokens = 0;
        RunEnd end = RunEnd::Running;
    };

    Json entryJson(Run run) const;
    void write(Run run);

    std::vector<Entry> entries;
    std::ofstream file;
};

} // namespace flamingosaddle::standins
