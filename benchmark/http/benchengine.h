#pragma once

#include "callerfixture.h"

#include <flamingosaddle/base/clock.h>

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle::bench
{

/**
 * Length and pace of a stream.
 */
struct StreamShape {
    int tokens = 1;
    Duration interval{}; ///< between two tokens; 0 writes them as fast as the connection accepts them

    friend bool operator==(const StreamShape &, const StreamShape &) = default;
};

/** Returns the handler of an engine whose tokens carry the time at which they were written. */
test::FakeBackend::Handler timestampedStream(StreamShape shape);

/** Starts engines with one thread each. */
std::vector<std::unique_ptr<test::FakeBackend>> makeEngines(std::size_t count, StreamShape shape);

/** Calls @p visit with the delay since its write for each token in a part of a stream. */
template <typename Visit>
void visitTokenDelays(std::string_view piece, const Visit &visit)
{
    constexpr std::string_view mark = "\"content\":\"";
    const TimePoint now = RuntimeClock::now();
    for (std::size_t at = piece.find(mark); at != std::string_view::npos; at = piece.find(mark, at + 1)) {
        const std::string stamp(piece.substr(at + mark.size(), 24));
        visit(now - TimePoint(Duration(std::strtoll(stamp.c_str(), nullptr, 10))));
    }
}

} // namespace flamingosaddle::bench
