#pragma once

#include "libserving/servingconfig.h"
#include "libserving/stagework.h"

namespace Apricot {

// Tracks the stages of one request: which of them may start, and the results of those that are done.
class StagePlan {
public:
    // `pieces` is the number of pieces of each stage, in the order of the stages. Missing numbers count as
    // zero, and a stage with zero pieces is skipped. Throws std::invalid_argument when an input of a stage
    // is not an earlier stage.
    StagePlan(std::vector<StageDefinition> stages, const std::vector<int>& pieces);

    // Returns the stages whose inputs are done, each stage once.
    std::vector<int> popReadyStages();
    void markDone(int stage, std::vector<std::string> handles);
    int stagesLeft() const { return m_stagesLeft; }
    bool isDone() const { return m_stagesLeft == 0; }
    // Returns the stages whose results have been read by all stages that read them, each stage once. Stages
    // that no other stage reads are not returned.
    std::vector<int> popFullyReadStages();

    // Whether the results of a stage are available, or the stage was skipped.
    bool isDone(int stage) const { return m_stages.at(stage).isDone; }
    const StageDefinition& definition(int stage) const { return m_stages.at(stage).definition; }
    int pieces(int stage) const { return m_stages.at(stage).pieces; }
    // Whether no other stage reads the results of this one.
    bool isFinal(int stage) const { return readersOf(stage).empty(); }
    // Handles of the results that every piece of a stage reads.
    std::vector<std::string> inputsOf(int stage) const;
    // Handles of the results that no stage reads; they are the inputs of the model engine.
    std::vector<std::string> finalHandles() const;
    // Time from the start of a stage to the end of the last stage that depends on it, given the duration of
    // each stage.
    double criticalPathTime(int stage, const std::vector<double>& milliseconds) const;
    // Time until all stages except the given one are done, given the remaining time of each stage.
    double timeForOtherStages(int stage, const std::vector<double>& milliseconds) const;

private:
    struct Stage {
        StageDefinition definition;
        int pieces = 0;
        bool isStarted = false;
        bool isDone = false;
        bool isFullyRead = false;
        std::vector<std::string> handles;
    };

    bool areInputsDone(const Stage& stage) const;
    std::vector<const Stage*> readersOf(int stage) const;
    void skipEmptyStages();

    std::vector<Stage> m_stages;
    int m_stagesLeft = 0;
};

}
