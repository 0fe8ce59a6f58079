#include <flamingosaddle/app/daemon.h>

#include <flamingosaddle/app/adminhandler.h>
#include <flamingosaddle/app/workerthreads.h>
#include <flamingosaddle/base/log.h>
#include <flamingosaddle/base/metrics.h>
#include <flamingosaddle/control/controller.h>
#include <flamingosaddle/control/delay.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/platform/httpplatform.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <random>
#include <utility>

namespace flamingosaddle
{
// PLACEHOLDER
}
