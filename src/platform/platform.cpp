#include <flamingosaddle/platform/platform.h>

namespace flamingosaddle
{

const char *toString(LogStream stream)
{
    switch (stream) {
    case LogStream::Config:
        return "config";
    case LogStream::Claims:
        return "claims";
    }
    return "";
}

} // namespace flamingosaddle
