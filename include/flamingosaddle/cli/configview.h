#pragma once

#include <flamingosaddle/cli/output.h>
#include <flamingosaddle/state/configstate.h>

#include <string>
#include <vector>

namespace flamingosaddle
{

/** The sections that describeConfig() knows. */
const std::vector<std::string> &configSections();

/**
 * The objects of one section of @p config with their revisions; for an empty @p section an object with all sections and
 * the offset. No digest of a key is shown.
 */
Output describeConfig(const ConfigState &config, const std::string &section);

/** The last changes and what became of them, oldest first. */
Output describeHistory(const ConfigState &config);

} // namespace flamingosaddle
