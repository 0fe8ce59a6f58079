#pragma once

#include <flamingosaddle/base/id.h>

#include <compare>
#include <string>

namespace flamingosaddle
{

/**
 * What requests are sent to: a model or a plain service.
 */
struct TargetName {
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model

    std::string text() const
    {
        return this->model.isEmpty() ? this->service.text() : this->model.text();
    }

    friend auto operator<=>(const TargetName &, const TargetName &) = default;
};

} // namespace flamingosaddle
