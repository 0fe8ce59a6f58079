#include "standardcluster.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <sys/stat.h>
#include <unistd.h>

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

// Guards against a process that is ended by a change of its settings while it starts.
TEST(ReloadAtStart, ASignalToReloadDoesNotEndAProcessThatReadsItsSettings)
{
    const Cluster cluster;
    const std::filesystem::path file
        = std::filesystem::temp_directory_path() / ("flamingosaddle-settings-" + std::to_string(::getpid()));
    ASSERT_EQ(::mkfifo(file.c_str(), S_IRUSR | S_IWUSR), 0);
    ChildProcess daemon(cluster.daemonCommand("dc-a", "i1", {"--settings-file", file.string()}));
    {
        std::ofstream settings(file); // opens once the daemon reads
        daemon.signal(SIGHUP);
        settings << "drain-notice = 0\n";
    }
    std::filesystem::remove(file);
    EXPECT_NE(daemon.waitForLine("listening ", startTimeout), "") << daemon.output();
}
