#include <flamingosaddle/relay/connectionregistry.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace flamingosaddle
{

using Connections = std::map<std::uint64_t, std::function<void()>>;

struct ConnectionRegistry::Table {
    mutable std::mutex mutex; // guards the rest
    std::unordered_map<KeyId, Connections> keys;
    std::uint64_t next = 0;
};

struct ConnectionRegistry::Registration::Entry {
    std::shared_ptr<Table> table;
    KeyId key;
    std::uint64_t number = 0;

    ~Entry()
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

ConnectionRegistry::Registration::Registration(std::shared_ptr<Entry> place)
    : entry(std::move(place))
{
}

ConnectionRegistry::Registration::~Registration() = default;
ConnectionRegistry::Registration &ConnectionRegistry::Registration::operator=(Registration &&other) noexcept = default;

ConnectionRegistry::ConnectionRegistry()
    : table(std::make_shared<Table>())
{
}

ConnectionRegistry::Registration ConnectionRegistry::add(const KeyId &key, std::function<void()> close)
{
    auto place = std::make_shared<Registration::Entry>();
    place->table = this->table;
    place->key = key;
    const std::scoped_lock lock(this->table->mutex);
    place->number = ++this->table->next;
    this->table->keys[key].emplace(place->number, std::move(close));
    return Registration(std::move(place));
}

std::size_t ConnectionRegistry::closeConnections(const KeyId &key)
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

std::size_t ConnectionRegistry::connectionCount(const KeyId &key) const
{
    const std::scoped_lock lock(this->table->mutex);
    const auto found = this->table->keys.find(key);
    return found == this->table->keys.end() ? 0 : found->second.size();
}

} // namespace flamingosaddle
