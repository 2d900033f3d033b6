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

LogSink::LogSink(int descriptor, std::size_t bufferLimitBytes)
    : m_descriptor(descriptor)
    , m_bufferLimitBytes(bufferLimitBytes)
{
}

void LogSink::write(std::string_view line)
{
    flush();
    if (m_buffer.size() + line.size() + 1 > m_bufferLimitBytes) {
        ++m_unreportedDroppedLines;
        ++m_droppedLines;
        return;
    }
    if (m_unreportedDroppedLines > 0) {
        append(R"({"event":"log_lines_dropped","lines":)"
            + std::to_string(m_unreportedDroppedLines) + "}");
        m_unreportedDroppedLines = 0;
    }
    append(line);
    flush();
}

void LogSink::append(std::string_view line)
{
    m_buffer += line;
    m_buffer += '\n';
}

void LogSink::flush()
{
    // A pipe that polls as writable accepts this many bytes without blocking.
    constexpr std::size_t nonBlockingBytes = PIPE_BUF;
    std::size_t writtenBytes = 0;
    while (writtenBytes < m_buffer.size() && isWritable(m_descriptor)) {
        const std::size_t chunkBytes = std::min(m_buffer.size() - writtenBytes, nonBlockingBytes);
        const ssize_t written = ::write(m_descriptor, m_buffer.data() + writtenBytes, chunkBytes);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            break;
        writtenBytes += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, writtenBytes);
}

}
