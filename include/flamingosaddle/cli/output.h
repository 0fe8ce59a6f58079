#pragma once

#include <flamingosaddle/cli/options.h>

#include <nlohmann/json.hpp>

#include <iosfwd>

namespace flamingosaddle
{

/** Results in the order in which their fields are to be printed. */
using Output = nlohmann::ordered_json;

/**
 * Prints @p result as indented JSON; or as tables: an array of objects becomes one table, an object one table for each of
 * its arrays with a line for each other field.
 */
void print(std::ostream &stream, OutputFormat format, const Output &result);

} // namespace flamingosaddle
