#pragma once

#include <nlohmann/json.hpp>

namespace flamingosaddle::standins
{

using Json = nlohmann::json;

} // namespace flamingosaddle::standins
