#pragma once

#include "libapricot/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

namespace Apricot {

// What memory is held for.
enum class MemoryCause : std::uint8_t {
    // Heads and bodies of requests, from their first byte until the request has ended.
    Request,
    // Responses that were read whole and wait for their caller.
    Response,
};

constexpr std::size_t memoryCauseCount = 2;
std::string_view memoryCauseName(MemoryCause cause);

struct MemoryAccountOptions {
    // Bytes that all holders together may hold.
    std::size_t totalBytes = 64 << 20;
    // Part of the total that only small holders may use, so that large ones cannot shut them out.
    double smallShare = 0.25;
    // A holder of at most this many bytes is small.
    std::size_t smallBytes = 65'536;
    // Time without a byte after which a holder counts as stalled.
    Milliseconds stallTime { 1000 };
};

// Bounds the bytes that a process holds for others. Bytes are added before they are read. When there is no room, the
// holder that has stalled and holds most is evicted; without a stalled one, the request for more bytes fails.
// Not thread-safe.
class MemoryAccount {
public:
    class Holder;

    explicit MemoryAccount(MemoryAccountOptions options = {});

    void setTotalBytes(std::size_t bytes) { m_options.totalBytes = bytes; }
    std::size_t totalBytes() const { return m_options.totalBytes; }
    std::size_t heldBytes() const;
    std::size_t heldBytes(MemoryCause cause) const { return m_held[static_cast<std::size_t>(cause)]; }
    // Number of holders that were evicted, and of those that got no more bytes.
    std::uint64_t evictions(MemoryCause cause) const { return m_evictions[static_cast<std::size_t>(cause)]; }
    std::uint64_t refusals(MemoryCause cause) const { return m_refusals[static_cast<std::size_t>(cause)]; }

    // Adds a holder of no bytes, which must not outlive the account.
    std::unique_ptr<Holder> open(MemoryCause cause, TimePoint now);

private:
    using Holders = std::list<Holder*>;

    bool hasRoomFor(std::size_t holderBytes, std::size_t more) const;
    // Evicts the stalled holder with most bytes. Returns false if there is none.
    bool evictStalled(const Holder* except, TimePoint now);

    MemoryAccountOptions m_options;
    Holders m_holders;
    std::array<std::size_t, memoryCauseCount> m_held {};
    std::array<std::uint64_t, memoryCauseCount> m_evictions {};
    std::array<std::uint64_t, memoryCauseCount> m_refusals {};
};

// The bytes that one connection or response holds, returned when it is destroyed.
class MemoryAccount::Holder {
public:
    Holder(MemoryAccount& account, MemoryCause cause, TimePoint now);
    ~Holder();

    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    // Holds this many bytes from now on. Returns false, and changes nothing, if there is no room for them.
    bool tryResize(std::size_t bytes, TimePoint now);
    std::size_t bytes() const { return m_bytes; }
    // Reports that the other side sent or accepted bytes.
    void onProgress(TimePoint now) { m_progressAt = now; }
    // Sets what ends the connection for which the bytes are held, or nothing if it must not be ended. It must not destroy
    // this holder at once.
    void setEviction(std::function<void()> evict) { m_evict = std::move(evict); }
    bool isEvicted() const { return m_isEvicted; }

private:
    friend class MemoryAccount;

    void setBytes(std::size_t bytes);

    MemoryAccount& m_account;
    MemoryCause m_cause;
    std::size_t m_bytes = 0;
    TimePoint m_progressAt;
    std::function<void()> m_evict;
    bool m_isEvicted = false;
    Holders::iterator m_position;
};

}
