#pragma once

#include "childprocess.h"
#include "testclient.h"

namespace flamingosaddle::process
{

constexpr Duration startTimeout = std::chrono::seconds(20);

/** The address that follows @p prefix in @p line; throws when there is none. */
Endpoint endpointIn(const std::string &line, const std::string &prefix);

/** A stand-in, from the line on which it tells its address. */
struct Standin {
    explicit Standin(const ChildCommand &command);

    /** Switches faults on or off. */
    void setFaults(const Json &faults) const;

    ChildProcess process;
    Endpoint address;
};

} // namespace flamingosaddle::process
