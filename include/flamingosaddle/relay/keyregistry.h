#pragma once

#include <flamingosaddle/base/id.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace flamingosaddle
{

/**
 * Callers' connections by the keys that were used on them, so that a withdrawn key ends its connections, running or idle.
 * Any thread may call anything.
 */
class KeyRegistry
{
public:
    KeyRegistry();

    /**
     * Keeps one connection registered for its lifetime. May outlive the registry.
     */
    class Registration
    {
    public:
        Registration() = default;
        ~Registration();
        Registration(Registration &&other) noexcept = default;
        Registration &operator=(Registration &&other) noexcept;

    private:
        friend class KeyRegistry;
        struct Place;
        explicit Registration(std::shared_ptr<Place> place);
        std::shared_ptr<Place> place;
    };

    // Commands.
    /**
     * @param close closes the connection; called from any thread, at most once, never while the registry is locked
     */
    [[nodiscard]] Registration add(const KeyId &key, std::function<void()> close);

    /** Closes every connection that used the key; answers how many. Comes after the withdrawal is published. */
    std::size_t cut(const KeyId &key);

    // Queries.
    std::size_t connectionCount(const KeyId &key) const;

private:
    struct Table;
    std::shared_ptr<Table> table;
};

} // namespace flamingosaddle
