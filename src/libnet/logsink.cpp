#include "libnet/logsink.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Apricot {

namespace {

    bool isWritable(int descriptor)
    {
        pollfd polled { .fd = descriptor, .events = POLLOUT };
        return poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
    }

}

LogSink::LogSink(int descriptor, std::size_t limitBytes)
    : m_descriptor(descriptor)
    , m_limitBytes(limitBytes)
{
}

void LogSink::write(std::string_view line)
{
    flush();
    if (m_held.size() + line.size() + 1 > m_limitBytes) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    if (m_dropped > 0) {
        append(R"({"event":"log_lines_dropped","lines":)" + std::to_string(m_dropped) + "}");
        m_dropped = 0;
    }
    append(line);
    flush();
}

void LogSink::append(std::string_view line)
{
    m_held += line;
    m_held += '\n';
}

void LogSink::flush()
{
    // A pipe that polls as writable takes so much without blocking.
    constexpr std::size_t safeBytes = PIPE_BUF;
    std::size_t done = 0;
    while (done < m_held.size() && isWritable(m_descriptor)) {
        const std::size_t size = std::min(m_held.size() - done, safeBytes);
        const ssize_t written = ::write(m_descriptor, m_held.data() + done, size);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    m_held.erase(0, done);
}

}
