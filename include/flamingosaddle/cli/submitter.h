#pragma once

#include <flamingosaddle/cli/session.h>
#include <flamingosaddle/cli/submission.h>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace flamingosaddle
{

/**
 * Checks @p changes, appends them in order and waits for their outcomes, as the session's options say. An append whose
 * answer was lost is repeated under the same change id. Fails only when the configuration cannot be read, so that
 * nothing was appended.
 */
boost::asio::awaitable<Result<std::vector<Submission>>> submitChanges(
    CliSession &session, std::vector<ConfigChange> changes, RevisionRule rule);

/**
 * Appends @p submission, when it is Planned. Needs a platform.
 */
boost::asio::awaitable<Submission> appendChange(CliSession &session, Submission submission);

} // namespace flamingosaddle
