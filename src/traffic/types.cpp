#include <flamingosaddle/traffic/types.h>

namespace flamingosaddle
{

const char *toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Evicted:
        return "evicted";
    case RefusalReason::DeadlineMissed:
        return "deadline_missed";
    case RefusalReason::NoServer:
        return "no_server";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::RetriesExhausted:
        return "retries_exhausted";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::Cancelled:
        return "cancelled";
    }
    return "overloaded";
}

} // namespace flamingosaddle
