#include "libapricot/evidence.h"

#include <algorithm>

namespace Apricot {

EvidenceLease::EvidenceLease(EvidenceOptions options)
    : m_options(options)
{
}

void EvidenceLease::recordAcceptedWrite(ObjectVersion version, TimePoint begunAt)
{
    record({ .version = version, .provenAt = begunAt });
}

void EvidenceLease::recordProof(const EvidenceProof& proof, TimePoint requestSentAt)
{
    record({ .version = proof.version, .provenAt = requestSentAt - proof.age });
}

void EvidenceLease::recordPlatformFailure(TimePoint begunAt)
{
    m_platformFailedAt = std::max(m_platformFailedAt, begunAt);
}

std::optional<EvidenceProof> EvidenceLease::proof(TimePoint now) const
{
    if (m_evidence.empty() || now >= m_evidence.back().provenAt + m_options.evidenceLease)
        return std::nullopt;
    const Evidence& newest = m_evidence.back();
    return EvidenceProof { .version = newest.version,
        .age = std::chrono::ceil<Milliseconds>(now - newest.provenAt) };
}

TimePoint EvidenceLease::permittedUntil(const KnownState& known, const PeerContacts& contacts) const
{
    if (!known.cell.findProcess(known.self, known.incarnation))
        return {};
    return std::max(evidenceUntil(known), majorityUntil(known, contacts));
}

void EvidenceLease::record(const Evidence& evidence)
{
    if (!m_evidence.empty() && evidence.version < m_evidence.back().version)
        return;
    if (!m_evidence.empty() && evidence.version == m_evidence.back().version) {
        TimePoint& provenAt = m_evidence.back().provenAt;
        provenAt = std::max(provenAt, evidence.provenAt);
        return;
    }
    m_evidence.push_back(evidence);
    const TimePoint oldest = evidence.provenAt - m_options.configLease;
    while (m_evidence.front().provenAt < oldest)
        m_evidence.pop_front();
}

TimePoint EvidenceLease::evidenceUntil(const KnownState& known) const
{
    const auto findProofTime = [this](ObjectVersion version) {
        const auto found = std::find_if(m_evidence.rbegin(), m_evidence.rend(),
            [version](const Evidence& evidence) { return evidence.version <= version; });
        return found == m_evidence.rend() ? TimePoint {} : found->provenAt;
    };
    const TimePoint cellProvenAt = findProofTime(known.epoch);
    const TimePoint configProvenAt = findProofTime(known.configRevision);
    if (cellProvenAt == TimePoint {} || configProvenAt == TimePoint {})
        return {};
    return std::min(
        cellProvenAt + m_options.evidenceLease, configProvenAt + m_options.configLease);
}

TimePoint EvidenceLease::majorityUntil(const KnownState& known, const PeerContacts& contacts) const
{
    // Nobody can join a cell of one before its only member has acknowledged the join, so a network
    // partition is no risk for it. It must still prove that it was running recently.
    const bool isSoleMember = known.cell.members.size() == 1;
    std::vector<TimePoint> contactTimes;
    for (const Member& member : known.cell.members) {
        if (member.host == known.self) {
            contactTimes.push_back(isSoleMember ? m_platformFailedAt : TimePoint::max());
            continue;
        }
        const PeerContact* contact = contacts.find(member);
        const bool isUpToDate = contact && contact->epoch <= known.epoch
            && contact->configRevision <= known.configRevision;
        contactTimes.push_back(isUpToDate ? contact->requestSentAt : TimePoint {});
    }
    std::sort(contactTimes.begin(), contactTimes.end(), std::greater<>());
    const TimePoint majorityContactAt = contactTimes.at(known.cell.members.size() / 2);
    return majorityContactAt == TimePoint {} ? majorityContactAt
                                             : majorityContactAt + m_options.evidenceLease;
}

}
