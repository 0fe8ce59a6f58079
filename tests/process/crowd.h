#pragma once

#include <flamingosaddle/base/endpoint.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace flamingosaddle::process
{

/**
 * What one caller of a crowd sends: a head, and then pieces of the same bytes.
 */
struct CrowdScript {
    std::string head;
    std::string piece; ///< sent again and again after the head
    std::size_t pieces = 0;
    std::size_t bytesPerWrite = 65536; ///< at most, so that a small value sends in small pieces
    bool readsAnswers = false;

    friend bool operator==(const CrowdScript &, const CrowdScript &) = default;
};

/**
 * Many connections to one address that are kept open, each of which sends the same script. The crowd takes as long as the other
 * side lets it; it has no time of its own.
 */
class Crowd
{
public:
    Crowd(const Endpoint &endpoint, std::size_t size);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** Sends until every connection has sent all, was closed by the other side, or none moved for a second. */
    void send(const CrowdScript &script);
    /** Sends up to @p rounds times @p bytes on each connection that is open, one connection after the other. */
    void drip(const CrowdScript &script, std::size_t rounds, std::size_t bytes);
    void close();

    std::size_t openCount() const;

private:
    struct Member {
        int socket = -1;
        std::size_t sent = 0; // of the script
        bool isRefused = false;
    };

    bool sendSome(Member &member, const CrowdScript &script, std::size_t limit) const;
    static void readSome(Member &member);

    std::vector<Member> members;
};

/** Figures of a process from /proc. */
std::size_t peakMemoryBytes(int processId);
std::size_t memoryBytes(int processId);
std::size_t descriptorCount(int processId);
std::size_t processorTicks(int processId);

} // namespace flamingosaddle::process
