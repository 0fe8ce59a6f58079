#include <flamingosaddle/app/integration.h>

#include <flamingosaddle/state/configvalidation.h>

namespace flamingosaddle
{

ProtocolAdapter ownCallerInterface(const Settings &settings)
{
    // Requests without a key have the lowest tier that there is.
    RequestClass openClass;
    openClass.tier = ConfigLimits::maxTier;
    return openAiAdapter(settings.keySecret, openClass);
}

} // namespace flamingosaddle
