#include "libapricot/startcondition.h"

namespace Apricot {

StartCondition startCondition(
    const ControlView& view, const BackendServerId& server, TimePoint now)
{
    if (!view.permits(now))
        return StartCondition::NoEvidence;
    if (!ownAssignment(view, server))
        return StartCondition::NotHome;
    if (!view.catalogue)
        return StartCondition::OutOfService;
    const auto found = view.catalogue->servers.find(server);
    if (found == view.catalogue->servers.end() || !view.catalogue->isInService(found->second))
        return StartCondition::OutOfService;
    return StartCondition::Allowed;
}

const HomeAssignment* ownAssignment(const ControlView& view, const BackendServerId& server)
{
    if (!view.cell)
        return nullptr;
    const auto found = view.cell->homes.find(server);
    if (found == view.cell->homes.end())
        return nullptr;
    const HomeAssignment& assignment = found->second;
    const bool isOwn = assignment.home == view.self && assignment.incarnation == view.incarnation;
    return isOwn ? &assignment : nullptr;
}

std::string_view startConditionName(StartCondition condition)
{
    switch (condition) {
    case StartCondition::Allowed:
        return "allowed";
    case StartCondition::NoEvidence:
        return "no_evidence";
    case StartCondition::NotHome:
        return "not_home";
    case StartCondition::OutOfService:
        return "out_of_service";
    }
    return "unknown";
}

}
