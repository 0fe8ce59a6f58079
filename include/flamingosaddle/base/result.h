#pragma once

#include <flamingosaddle/base/error.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace flamingosaddle
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/**
 * The value of a call, or the Error that it failed with. Accessing a value that does not exist terminates the program.
 */
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/**
 * Creates a failed Result of any value type: `return fail(ErrorKind::NotFound, "no template 'a'", "publish it first");`
 */
inline auto fail(ErrorKind kind, std::string message, std::string remedy)
{
    return outcome::failure(Error(kind, std::move(message), std::move(remedy)));
}

/**
 * Propagates @p error as a failed Result of another value type.
 */
inline auto fail(Error error)
{
    return outcome::failure(std::move(error));
}

/**
 * Creates a successful Result<void>.
 */
inline auto success()
{
    return outcome::success();
}

} // namespace flamingosaddle
