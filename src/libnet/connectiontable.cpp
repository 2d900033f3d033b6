#include "libnet/connectiontable.h"

#include <tuple>

namespace Apricot {

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
    const auto rankOf = [](const Entry& entry) { return std::tuple(entry.m_state == ConnectionState::Reading, entry.m_since); };
    Entry* first = nullptr;
    for (Entry* entry : m_entries) {
        const bool mayClose = entry->m_state != ConnectionState::Serving && entry->m_socket.is_open();
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
