#include "scriptedserver.h"

#include "clustersupport.h"

#include "libnet/asyncevent.h"
#include "libnet/httpexchangeimpl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace {

constexpr Milliseconds partInterval { 10 };
// Time from extra bytes to the response of the request that they precede.
constexpr Milliseconds extraLead { 400 };
// Bytes by which an incomplete body falls short of its declared length.
constexpr std::size_t missingBytes = 10;
// Time for which a server leaves a request unread whose response it has ended.
constexpr Milliseconds unreadTime { 3000 };
constexpr int smallSegmentBytes = 1000;
constexpr int smallReceiveBytes = 65'536;

std::string headerOf(const ScriptedResponse& response, const HttpRequest& request)
{
    std::string header = "HTTP/1.1 " + response.status + "\r\nContent-Type: " + response.contentType + "\r\n";
    for (const HttpField& field : signedFields(request))
        header += field.name + ": " + field.value + "\r\n";
    std::size_t length = response.isComplete ? 0 : missingBytes;
    for (const std::string& part : response.parts)
        length += part.size();
    if (response.framing == BodyFraming::Length)
        header += "Content-Length: " + std::to_string(length) + "\r\n";
    if (response.framing == BodyFraming::Chunks)
        header += "Transfer-Encoding: chunked\r\n";
    return header + "\r\n";
}

}

class ScriptedServer::Impl : public std::enable_shared_from_this<ScriptedServer::Impl> {
public:
    Impl(Asio::io_context& context, std::uint16_t port, ResponseScript script, ResponseStart start)
        : m_acceptor(context, Tcp::endpoint(Asio::ip::make_address("127.0.0.1"), port))
        , m_script(std::move(script))
        , m_start(start)
    {
        // Bounds what the kernel accepts of a body that is not read: send buffers grow with the segment size.
        if (start == ResponseStart::AfterRequestHeader) {
            m_acceptor.set_option(Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(smallSegmentBytes));
            m_acceptor.set_option(Asio::socket_base::receive_buffer_size(smallReceiveBytes));
        }
    }

    void start() { Asio::co_spawn(m_acceptor.get_executor(), accept(shared_from_this()), Asio::detached); }

    void stop()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored); // NOLINT(bugprone-unused-return-value)
    }

private:
    using Parser = Http::request_parser<Http::string_body>;

    static Asio::awaitable<void> accept(std::shared_ptr<Impl> self)
    {
        while (self->m_acceptor.is_open()) {
            boost::system::error_code error;
            Tcp::socket socket = co_await self->m_acceptor.async_accept(
                Asio::redirect_error(Asio::use_awaitable, error));
            if (!error)
                Asio::co_spawn(self->m_acceptor.get_executor(), serve(self, std::move(socket)), Asio::detached);
        }
    }

    static Asio::awaitable<void> serve(std::shared_ptr<Impl> self, Tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        std::string extraBytes;
        while (true) {
            Parser parser;
            parser.body_limit(boost::none);
            if (!co_await readRequest(socket, buffer, parser, self->m_start))
                co_return;
            const HttpRequest request = toRequest(parser.get());
            const ScriptedResponse response = self->m_script(request);
            if (!extraBytes.empty())
                co_await writeExtra(socket, extraBytes);
            extraBytes = response.extraBytes;
            if (response.delay.count() > 0)
                co_await sleepFor(socket.get_executor(), response.delay);
            if (!response.endlessHead.empty())
                co_return co_await writeEndless(socket, response);
            co_await write(socket, response, request);
            if (response.endsServer)
                self->stop();
            if (response.end != ConnectionEnd::KeepOpen)
                co_return co_await endConnection(socket, response.end);
            // The rest of a request whose header alone was read.
            if (!co_await readRequest(socket, buffer, parser, ResponseStart::AfterRequest))
                co_return;
        }
    }

    // Returns whether the request, or its header, arrived.
    static Asio::awaitable<bool> readRequest(
        Tcp::socket& socket, boost::beast::flat_buffer& buffer, Parser& parser, ResponseStart start)
    {
        boost::system::error_code error;
        if (start == ResponseStart::AfterRequestHeader)
            co_await Http::async_read_header(
                socket, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        else if (!parser.is_done())
            co_await Http::async_read(socket, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        co_return !error;
    }

    static Asio::awaitable<void> endConnection(Tcp::socket& socket, ConnectionEnd end)
    {
        if (end == ConnectionEnd::HalfClose || end == ConnectionEnd::HalfCloseAndReset)
            socket.shutdown(Tcp::socket::shutdown_send);
        if (end == ConnectionEnd::Reset || end == ConnectionEnd::HalfCloseAndReset) {
            // The destructor of a socket ignores the option.
            socket.set_option(Asio::socket_base::linger(true, 0));
            socket.close();
        }
        if (end == ConnectionEnd::HalfClose)
            co_await sleepFor(socket.get_executor(), unreadTime);
    }

    static Asio::awaitable<void> writeExtra(Tcp::socket& socket, const std::string& bytes)
    {
        boost::system::error_code ignored;
        co_await Asio::async_write(
            socket, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, ignored));
        co_await sleepFor(socket.get_executor(), extraLead);
    }

    // Writes until the other side closes the connection.
    static Asio::awaitable<void> writeEndless(Tcp::socket& socket, const ScriptedResponse& response)
    {
        std::string bytes = response.endlessHead;
        boost::system::error_code error;
        while (!error) {
            co_await Asio::async_write(
                socket, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
            bytes = response.parts.back();
        }
    }

    static Asio::awaitable<void> write(
        Tcp::socket& socket, const ScriptedResponse& response, const HttpRequest& request)
    {
        boost::system::error_code ignored;
        if (!response.rawBytes.empty()) {
            if (response.rawPauseAt > 0) {
                co_await Asio::async_write(socket, Asio::buffer(response.rawBytes, response.rawPauseAt),
                    Asio::redirect_error(Asio::use_awaitable, ignored));
                co_await sleepFor(socket.get_executor(), partInterval);
            }
            co_await Asio::async_write(socket, Asio::buffer(response.rawBytes) + response.rawPauseAt,
                Asio::redirect_error(Asio::use_awaitable, ignored));
            co_return;
        }
        std::string bytes = headerOf(response, request);
        const bool isChunked = response.framing == BodyFraming::Chunks;
        for (const std::string& part : response.parts) {
            bytes += isChunked ? chunkOf(part) : part;
            co_await Asio::async_write(
                socket, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, ignored));
            co_await sleepFor(socket.get_executor(), partInterval);
            bytes.clear();
        }
        if (isChunked && response.isComplete)
            bytes += "0\r\n\r\n";
        co_await Asio::async_write(
            socket, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, ignored));
    }

    Tcp::acceptor m_acceptor;
    ResponseScript m_script;
    ResponseStart m_start;
};

ScriptedServer::ScriptedServer(
    Asio::io_context& context, std::uint16_t port, ResponseScript script, ResponseStart start)
    : m_impl(std::make_shared<Impl>(context, port, std::move(script), start))
{
    m_impl->start();
}

ScriptedServer::~ScriptedServer()
{
    m_impl->stop();
}
