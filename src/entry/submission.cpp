#include "entry/submission.h"

#include "libnet/requestkey.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace Apricot {

namespace Json = boost::json;

namespace {

    constexpr std::string_view pathPrefix = "/v1/pipelines/";
    constexpr std::string_view pathSuffix = "/requests";
    constexpr std::size_t maxKeyBytes = 128;

    [[noreturn]] void reject(const std::string& detail)
    {
        throw SubmissionError(RefusalReason::MalformedRequest, detail);
    }

    Json::object parseBody(const std::string& body)
    {
        boost::system::error_code error;
        const Json::value value = Json::parse(body, error);
        if (error)
            reject("the body is not JSON: " + error.message());
        if (!value.is_object())
            reject("the body must be a JSON object");
        for (const auto& member : value.get_object()) {
            if (member.key() != "input" && member.key() != "deadline_ms" && member.key() != "class")
                reject("unknown member " + std::string(member.key())
                    + "; allowed are input, deadline_ms and class");
        }
        return value.get_object();
    }

    std::string parseInput(const Json::object& body)
    {
        const Json::value* input = body.if_contains("input");
        if (!input || !input->is_string())
            reject("input must be a string");
        return std::string(input->get_string());
    }

    Milliseconds parseBudget(const Json::object& body, Milliseconds maxBudget)
    {
        const Json::value* deadline = body.if_contains("deadline_ms");
        if (!deadline)
            return maxBudget;
        if (!deadline->is_int64() || deadline->get_int64() < 1
            || deadline->get_int64() > maxBudget.count())
            reject("deadline_ms must be a whole number from 1 to "
                + std::to_string(maxBudget.count()));
        return Milliseconds(deadline->get_int64());
    }

    ServiceClass parseClass(const Json::object& body, ServiceClass entryClass)
    {
        const Json::value* name = body.if_contains("class");
        if (!name)
            return entryClass;
        if (!name->is_string())
            reject("class must be urgent, standard or bulk");
        ServiceClass requested = ServiceClass::Standard;
        if (name->get_string() == "urgent")
            requested = ServiceClass::Urgent;
        else if (name->get_string() == "bulk")
            requested = ServiceClass::Bulk;
        else if (name->get_string() != "standard")
            reject("class must be urgent, standard or bulk");
        // A request may lower its priority below its pipeline's class, but not raise it.
        return std::max(requested, entryClass);
    }

    std::uint64_t parseResumeFrom(const HttpRequest& request)
    {
        const std::string_view text = request.field("Resume-From");
        std::uint64_t index = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
        if (!text.empty() && (error != std::errc() || end != text.data() + text.size()))
            reject("Resume-From must be the index of a token");
        return index;
    }

    RequestKey parseKey(std::string_view text)
    {
        const bool isPrintable = std::all_of(
            text.begin(), text.end(), [](char character) { return character > ' ' && character < '\x7f'; });
        if (text.size() > maxKeyBytes || !isPrintable)
            reject("Idempotency-Key must be 1 to 128 printable characters without spaces");
        return RequestKey(std::string(text));
    }

}

std::string pipelineOfPath(const std::string& path)
{
    const bool isPipelinePath = path.starts_with(pathPrefix) && path.ends_with(pathSuffix)
        && path.size() > pathPrefix.size() + pathSuffix.size();
    if (!isPipelinePath)
        return {};
    return path.substr(
        pathPrefix.size(), path.size() - pathPrefix.size() - pathSuffix.size());
}

SubmitMessage parseSubmission(const HttpRequest& request, const Catalogue& catalogue)
{
    const PipelineId pipeline(pipelineOfPath(request.path));
    const auto found = catalogue.entries.find(pipeline);
    if (found == catalogue.entries.end())
        throw SubmissionError(
            RefusalReason::UnknownPipeline, "no pipeline is named " + pipeline.value());
    const Json::object body = parseBody(request.body);
    const std::string_view key = request.field("Idempotency-Key");
    return SubmitMessage {
        .key = key.empty() ? makeRequestKey() : parseKey(key),
        .keyFromCaller = !key.empty(),
        .pipeline = pipeline,
        .input = parseInput(body),
        .budget = parseBudget(body, found->second.deadline),
        .resumeFrom = parseResumeFrom(request),
        .serviceClass = parseClass(body, found->second.serviceClass),
    };
}

}
