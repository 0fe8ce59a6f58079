#pragma once

#include <flamingosaddle/http/server.h>
#include <flamingosaddle/relay/keyregistry.h>

namespace flamingosaddle
{

/**
 * Registers the connection of @p exchange under @p key for the lifetime of the connection. Idempotent.
 */
void rememberKey(HttpExchange &exchange, KeyRegistry &registry, const KeyId &key);

} // namespace flamingosaddle
