#include "libserving/poisonobject.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    std::vector<ServerCrash> readCrashes(const json::value& value)
    {
        std::vector<ServerCrash> crashes;
        for (const json::value& entry : value.as_array())
            crashes.push_back({ .server = BackendServerId(std::string(entry.at("server").as_string())),
                .startedAt = entry.at("started_at").to_number<std::int64_t>(),
                .stage = entry.at("stage").to_number<int>() });
        return crashes;
    }

}

json::array toJson(const std::vector<ServerCrash>& crashes)
{
    json::array list;
    for (const ServerCrash& crash : crashes)
        list.push_back(json::object { { "server", crash.server.value() },
            { "started_at", crash.startedAt }, { "stage", crash.stage } });
    return list;
}

json::value toJson(const std::vector<PoisonNotice>& notices)
{
    json::array entries;
    for (const PoisonNotice& notice : notices) {
        json::object entry { { "identity", toText(notice.fingerprint) },
            { "crashes", toJson(notice.crashes) }, { "cleared", toJson(notice.cleared) } };
        if (!notice.part.empty())
            entry["part"] = notice.part;
        entries.push_back(std::move(entry));
    }
    return json::object { { "requests", std::move(entries) } };
}

std::vector<PoisonNotice> readPoisonNotices(const json::value& value, Milliseconds lifetime)
{
    std::vector<PoisonNotice> notices;
    for (const json::value& entry : value.at("requests").as_array()) {
        const auto fingerprint = parseFingerprint(entry.at("identity").as_string());
        if (!fingerprint)
            throw std::invalid_argument("expected 16 hexadecimal digits in \"identity\"");
        PoisonNotice notice { .fingerprint = *fingerprint,
            .remaining = lifetime,
            .crashes = readCrashes(entry.at("crashes")),
            .cleared = readCrashes(entry.at("cleared")) };
        if (const json::value* part = entry.as_object().if_contains("part"))
            notice.part = part->as_string();
        if (!notice.crashes.empty() || !notice.cleared.empty())
            notices.push_back(std::move(notice));
    }
    return notices;
}

}
