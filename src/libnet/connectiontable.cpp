#include "libnet/connectiontable.h"

#include <tuple>

namespace Apricot {

namespace {

    // Time in which a client that reads its response accepts part of it.
    constexpr Milliseconds stalledWriteTime { 1000 };

}

ConnectionTable::Entry::Entry(ConnectionTable& table, boost::asio::ip::tcp::socket& socket)
    : m_table(table)
    , m_socket(socket)
    , m_since(RuntimeClock::now())
    , m_position(table.m_entries.insert(table.m_entries.end(), this))
{
}

ConnectionTable::Entry::~Entry()
{
    m_table.m_entries.erase(m_position);
}

void ConnectionTable::Entry::setState(ConnectionState state)
{
    m_state = state;
    m_since = RuntimeClock::now();
}

void ConnectionTable::closeWaiting(
    const std::function<bool(boost::asio::ip::tcp::socket&, bool isNew)>& predicate)
{
    boost::system::error_code ignored;
    for (Entry* entry : m_entries) {
        const bool isNew = entry->m_state == ConnectionState::New;
        if ((isNew || entry->m_state == ConnectionState::Idle) && predicate(entry->m_socket, isNew))
            entry->m_socket.close(ignored); // NOLINT(bugprone-unused-return-value)
    }
}

ConnectionState ConnectionTable::closeOne()
{
    const TimePoint now = RuntimeClock::now();
    // Connections that wait for a request go first, then those that send one.
    const auto rankOf = [](const Entry& entry) {
        return std::tuple(entry.m_state == ConnectionState::Writing, entry.m_state == ConnectionState::Reading, entry.m_since);
    };
    const auto isStalled = [now](const Entry& entry) {
        return entry.m_state != ConnectionState::Writing || entry.m_since + stalledWriteTime <= now;
    };
    Entry* first = nullptr;
    for (Entry* entry : m_entries) {
        const bool mayClose
            = entry->m_state != ConnectionState::Serving && entry->m_socket.is_open() && isStalled(*entry);
        if (mayClose && (!first || rankOf(*entry) < rankOf(*first)))
            first = entry;
    }
    if (!first)
        return ConnectionState::Serving;
    boost::system::error_code ignored;
    first->m_socket.close(ignored); // NOLINT(bugprone-unused-return-value)
    return first->m_state;
}

}
