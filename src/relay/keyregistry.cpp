#include <flamingosaddle/relay/keyregistry.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace flamingosaddle
{

using Connections = std::map<std::uint64_t, std::function<void()>>;

struct KeyRegistry::Table {
    mutable std::mutex mutex; // guards the rest
    std::unordered_map<KeyId, Connections> keys;
    std::uint64_t next = 0;
};

struct KeyRegistry::Registration::Place {
    std::shared_ptr<Table> table;
    KeyId key;
    std::uint64_t number = 0;

    ~Place()
    {
        const std::scoped_lock lock(this->table->mutex);
        const auto found = this->table->keys.find(this->key);
        if (found == this->table->keys.end()) {
            return;
        }
        found->second.erase(this->number);
        if (found->second.empty()) {
            this->table->keys.erase(found);
        }
    }
};

KeyRegistry::Registration::Registration(std::shared_ptr<Place> place)
    : place(std::move(place))
{
}

KeyRegistry::Registration::~Registration() = default;
KeyRegistry::Registration &KeyRegistry::Registration::operator=(Registration &&other) noexcept = default;

KeyRegistry::KeyRegistry()
    : table(std::make_shared<Table>())
{
}

KeyRegistry::Registration KeyRegistry::add(const KeyId &key, std::function<void()> close)
{
    auto place = std::make_shared<Registration::Place>();
    place->table = this->table;
    place->key = key;
    const std::scoped_lock lock(this->table->mutex);
    place->number = ++this->table->next;
    this->table->keys[key].emplace(place->number, std::move(close));
    return Registration(std::move(place));
}

std::size_t KeyRegistry::cut(const KeyId &key)
{
    Connections connections;
    {
        const std::scoped_lock lock(this->table->mutex);
        auto node = this->table->keys.extract(key);
        if (!node.empty()) {
            connections = std::move(node.mapped());
        }
    }
    for (const auto &[number, close] : connections) {
        close();
    }
    return connections.size();
}

std::size_t KeyRegistry::connectionCount(const KeyId &key) const
{
    const std::scoped_lock lock(this->table->mutex);
    const auto found = this->table->keys.find(key);
    return found == this->table->keys.end() ? 0 : found->second.size();
}

} // namespace flamingosaddle
