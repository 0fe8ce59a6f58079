#include <flamingosaddle/app/integration.h>

#include <flamingosaddle/state/configvalidation.h>

namespace flamingosaddle
{

CallerInterface ownCallerInterface(const Settings &settings)
{
    // Requests without a key have the lowest tier that there is.
    RequestClass openClass;
    openClass.tier = ConfigLimits::maxTier;
    return openAiInterface(settings.keySecret, openClass);
}

} // namespace flamingosaddle
