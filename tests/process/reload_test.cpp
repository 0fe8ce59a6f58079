#include "standardcluster.h"

#include <csignal>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

using Reload = StandardCluster;

TEST_F(Reload, ASignalToReloadNeverEndsTheProcess)
{
    DaemonProcess &daemon = this->daemon(0);
    for (int i = 0; i < 3; ++i) {
        daemon.process.signal(SIGHUP);
    }
    EXPECT_TRUE(waitUntil([&daemon] {
        return daemon.process.output().find("the settings were reloaded") != std::string::npos;
    })) << daemon.process.output();
    EXPECT_EQ(statusOf(daemon, this->key), 200) << daemon.process.output();
}
