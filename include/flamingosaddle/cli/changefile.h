#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/configchange.h>

#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * What the records that a file turns into have in common.
 */
struct ChangeOrigin {
    ChangeId id; ///< of the only change; of several, "-1", "-2" and so on is appended
    std::string author;

    friend bool operator==(const ChangeOrigin &, const ChangeOrigin &) = default;
};

/**
 * The changes in a file that holds one value of a `config` record, or an array of them. Fails with
 * InvalidConfiguration, naming the element and the field.
 *
 * @param kind of all changes, for instance "putRoute"
 */
Result<std::vector<ConfigChange>> readValues(std::string_view text, const std::string &kind, const ChangeOrigin &origin);

/**
 * The changes in a file that holds an array of {"kind", "value"}, each with an optional "expectedRevision".
 */
Result<std::vector<ConfigChange>> readKindsAndValues(std::string_view text, const ChangeOrigin &origin);

} // namespace flamingosaddle
