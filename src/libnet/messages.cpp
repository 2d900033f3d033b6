#include "libnet/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <sstream>
#include <utility>

namespace Apricot {

namespace {

    constexpr std::size_t headerBytes = 2;

    template <typename Type>
    Message decodeAs(cereal::PortableBinaryInputArchive& archive)
    {
        Type message;
        archive(message);
        return message;
    }

    using Decoder = Message (*)(cereal::PortableBinaryInputArchive&);

    template <std::size_t... Index>
    constexpr auto makeDecoders(std::index_sequence<Index...> /*indices*/)
    {
        return std::array<Decoder, sizeof...(Index)> {
            &decodeAs<std::variant_alternative_t<Index, Message>>...
        };
    }

    constexpr auto decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

}

std::string encodeMessage(const Message& message)
{
    std::ostringstream stream;
    stream.put(static_cast<char>(messageVersion));
    stream.put(static_cast<char>(message.index()));
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit([&archive](const auto& alternative) { archive(alternative); }, message);
    return std::move(stream).str();
}

Message decodeMessage(std::string_view bytes)
{
    if (bytes.size() < headerBytes || static_cast<std::uint8_t>(bytes[0]) != messageVersion)
        throw MessageError("peer message is too short or has an unsupported version");
    const auto type = static_cast<std::uint8_t>(bytes[1]);
    if (type >= decoders.size())
        throw MessageError("unknown type of peer message: " + std::to_string(type));
    std::istringstream stream { std::string(bytes.substr(headerBytes)) };
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        Message message = decoders.at(type)(archive);
        if (stream.peek() != std::istringstream::traits_type::eof())
            throw MessageError("peer message has bytes after its last field");
        return message;
    } catch (const MessageError&) {
        throw;
    } catch (const std::exception& error) {
        throw MessageError(std::string("truncated or malformed peer message: ") + error.what());
    }
}

}
