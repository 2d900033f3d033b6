#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Apricot {

// Writes whole lines to a descriptor without ever waiting for its reader. Lines that the reader does
// not take are held up to a limit; beyond it they are dropped, and a line tells how many were.
class LogSink {
public:
    explicit LogSink(int descriptor, std::size_t bufferLimitBytes = 262'144);

    void write(std::string_view line);
    // Lines dropped since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    void append(std::string_view line);
    void flush();

    int m_descriptor;
    std::size_t m_bufferLimitBytes;
    std::string m_buffer;
    std::uint64_t m_unreportedDroppedLines = 0;
    std::uint64_t m_droppedLines = 0;
};

}
