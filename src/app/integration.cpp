#include <flamingosaddle/app/integration.h>

#include <flamingosaddle/platform/httpplatform.h>
#include <flamingosaddle/state/configvalidation.h>

namespace flamingosaddle
{

Integration ownIntegration(const Settings &settings)
{
    // Requests without a key have the lowest tier that there is.
    RequestClass openClass;
    openClass.tier = ConfigLimits::maxTier;
    Integration integration;
    integration.callerInterface = openAiInterface(settings.keySecret, openClass);
    integration.platform = httpPlatform(HttpPlatformOptions{settings.platform});
    return integration;
}

} // namespace flamingosaddle
