#include "libserving/stageplan.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace Apricot {

StagePlan::StagePlan(std::vector<StageDefinition> stages, const std::vector<int>& pieces)
{
    for (std::size_t index = 0; index < stages.size(); ++index) {
        for (const int input : stages[index].inputs) {
            if (input < 0 || input >= static_cast<int>(index))
                throw std::invalid_argument("a stage has an input that is not an earlier stage");
        }
        const int count = index < pieces.size() ? std::max(pieces[index], 0) : 0;
        m_stages.push_back({ .definition = std::move(stages[index]), .pieces = count });
    }
    m_stagesLeft = static_cast<int>(m_stages.size());
    skipEmptyStages();
}

void StagePlan::skipEmptyStages()
{
    for (Stage& stage : m_stages) {
        if (stage.pieces > 0)
            continue;
        stage.isStarted = true;
        stage.isDone = true;
        --m_stagesLeft;
    }
}

std::vector<int> StagePlan::popReadyStages()
{
    std::vector<int> ready;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (m_stages[index].isStarted || !areInputsDone(m_stages[index]))
            continue;
        m_stages[index].isStarted = true;
        ready.push_back(static_cast<int>(index));
    }
    return ready;
}

bool StagePlan::areInputsDone(const Stage& stage) const
{
    return std::all_of(stage.definition.inputs.begin(), stage.definition.inputs.end(),
        [this](int input) { return m_stages[input].isDone; });
}

void StagePlan::markDone(int stage, std::vector<std::string> handles)
{
    Stage& entry = m_stages.at(stage);
    entry.handles = std::move(handles);
    entry.isDone = true;
    --m_stagesLeft;
}

std::vector<std::string> StagePlan::inputsOf(int stage) const
{
    std::vector<std::string> inputs;
    for (const int input : m_stages.at(stage).definition.inputs) {
        const std::vector<std::string>& handles = m_stages[input].handles;
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

std::vector<const StagePlan::Stage*> StagePlan::readersOf(int stage) const
{
    std::vector<const Stage*> readers;
    for (const Stage& other : m_stages) {
        const std::vector<int>& inputs = other.definition.inputs;
        if (other.pieces > 0 && std::find(inputs.begin(), inputs.end(), stage) != inputs.end())
            readers.push_back(&other);
    }
    return readers;
}

std::vector<int> StagePlan::popFullyReadStages()
{
    std::vector<int> stages;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        const auto readers = readersOf(static_cast<int>(index));
        const bool isFullyRead = !readers.empty()
            && std::all_of(readers.begin(), readers.end(),
                [](const Stage* reader) { return reader->isDone; });
        if (isFullyRead && !std::exchange(m_stages[index].isFullyRead, true))
            stages.push_back(static_cast<int>(index));
    }
    return stages;
}

std::vector<std::string> StagePlan::finalHandles() const
{
    std::vector<std::string> handles;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        if (readersOf(static_cast<int>(index)).empty())
            handles.insert(
                handles.end(), m_stages[index].handles.begin(), m_stages[index].handles.end());
    }
    return handles;
}

double StagePlan::criticalPathTime(int stage, const std::vector<double>& milliseconds) const
{
    double longestFollowing = 0;
    for (std::size_t index = stage + 1; index < m_stages.size(); ++index) {
        const std::vector<int>& inputs = m_stages[index].definition.inputs;
        if (m_stages[index].pieces > 0
            && std::find(inputs.begin(), inputs.end(), stage) != inputs.end())
            longestFollowing
                = std::max(longestFollowing, criticalPathTime(static_cast<int>(index), milliseconds));
    }
    return milliseconds.at(stage) + longestFollowing;
}

double StagePlan::timeForOtherStages(int stage, const std::vector<double>& milliseconds) const
{
    double longest = 0;
    for (std::size_t index = 0; index < m_stages.size(); ++index) {
        const int other = static_cast<int>(index);
        if (other != stage && !m_stages[index].isDone)
            longest = std::max(longest, criticalPathTime(other, milliseconds));
    }
    return longest;
}

}
