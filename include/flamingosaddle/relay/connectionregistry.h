#pragma once

#include <flamingosaddle/base/id.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace flamingosaddle
{

/**
 * Registry of callers' connections by the keys that were used on them. Closes the connections of a withdrawn key, with or
 * without an exchange in flight. Thread-safe.
 */
class ConnectionRegistry
{
public:
    ConnectionRegistry();

    /**
     * Keeps one connection registered for the lifetime of the object. May outlive the registry.
     */
    class Registration
    {
    public:
        Registration() = default;
        ~Registration();
        Registration(Registration &&other) noexcept = default;
        Registration &operator=(Registration &&other) noexcept;

    private:
        friend class ConnectionRegistry;
        struct Entry;
        explicit Registration(std::shared_ptr<Entry> place);
        std::shared_ptr<Entry> entry;
    };

    // Commands.
    /**
     * Registers a connection under a key.
     * @param close closes the connection; called on any thread, at most once, without the registry's lock
     */
    [[nodiscard]] Registration add(const KeyId &key, std::function<void()> close);

    /** Closes every connection that used the key and returns their number. Call it after publishing the withdrawal. */
    std::size_t closeConnections(const KeyId &key);

    // Queries.
    std::size_t connectionCount(const KeyId &key) const;

private:
    struct Table;
    std::shared_ptr<Table> table;
};

} // namespace flamingosaddle
