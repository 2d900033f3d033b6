#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Apricot {

// Writes complete lines to a descriptor without blocking on its reader. Lines that can't be written
// yet are buffered up to a limit; beyond it they are dropped, and a later line reports how many were.
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
