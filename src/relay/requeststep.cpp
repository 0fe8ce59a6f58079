#include <flamingosaddle/relay/requeststep.h>

namespace flamingosaddle
{

const char *toString(RequestStep step)
{
    switch (step) {
    case RequestStep::Accept:
        return "accept";
    case RequestStep::Authenticate:
        return "authenticate";
    case RequestStep::Claim:
        return "claim";
    case RequestStep::Queue:
        return "queue";
    case RequestStep::Connect:
        return "connect";
    case RequestStep::FirstByteSent:
        return "first_byte_sent";
    case RequestStep::BodySent:
        return "body_sent";
    case RequestStep::FirstToken:
        return "first_token";
    case RequestStep::MidStream:
        return "mid_stream";
    case RequestStep::LastByte:
        return "last_byte";
    }
    return "accept";
}

} // namespace flamingosaddle
