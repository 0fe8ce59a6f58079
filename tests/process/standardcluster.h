#pragma once

#include "cluster.h"

#include <gtest/gtest.h>

namespace flamingosaddle::process
{

/**
 * Four daemons in three data centres before two engines and two plain services, configured by the CLI. Every invariant
 * that the stand-ins' audits show is checked at the end of each test.
 */
class StandardCluster : public testing::Test
{
protected:
    void SetUp() override;
    void TearDown() override;

    /** Flags of each daemon beside its addresses and place. */
    virtual std::vector<std::string> daemonFlags() const;
    DaemonProcess &daemon(std::size_t index);

    Cluster cluster;
    GivenKey key;
};

/** The status with which the daemon answers a lookup with the key; 0 when it does not answer. */
int statusOf(const DaemonProcess &daemon, const GivenKey &key);

} // namespace flamingosaddle::process
