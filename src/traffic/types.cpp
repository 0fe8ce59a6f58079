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
    case RefusalReason::NoHomeServer:
        return "no_home_server";
    case RefusalReason::DataCentreEvacuated:
        return "data_centre_evacuated";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::PromptQuarantined:
        return "prompt_quarantined";
    case RefusalReason::RetriesExhausted:
        return "retries_exhausted";
    case RefusalReason::Unreachable:
        return "unreachable";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::Cancelled:
        return "cancelled";
    }
    return "overloaded";
}

const char *toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::Rejected:
        return "rejected";
    case AttemptOutcome::ServerError:
        return "server_error";
    case AttemptOutcome::ServerFailed:
        return "server_failed";
    case AttemptOutcome::CallerDisconnected:
        return "caller_disconnected";
    }
    return "server_error";
}

} // namespace flamingosaddle
