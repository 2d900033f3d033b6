#pragma once

#include "libnet/asyncevent.h"

#include <functional>
#include <memory>
#include <utility>

namespace Apricot {

// Runs an action after a timeout, unless it is destroyed first.
class Watchdog {
public:
    template <typename Executor>
    Watchdog(Executor&& executor, Duration timeout, std::function<void()> action)
        : m_timer(std::forward<Executor>(executor), timeout)
    {
        m_timer.async_wait(
            [expired = m_expired, run = std::move(action)](boost::system::error_code error) {
                if (error)
                    return;
                *expired = true;
                run();
            });
    }

    bool hasExpired() const { return *m_expired; }

private:
    std::shared_ptr<bool> m_expired = std::make_shared<bool>(false);
    RuntimeTimer m_timer;
};

}
