#pragma once

#include "libserving/servingconfig.h"
#include "libserving/stagework.h"

namespace Apricot {

// The stages of one request: which may start, and the results of those that are done.
class StagePlan {
public:
    // The numbers of pieces stand in the order of the stages; missing ones are zero, which leaves a
    // stage out. Throws std::invalid_argument when a stage reads one that does not come before it.
    StagePlan(std::vector<StageDefinition> stages, const std::vector<int>& pieces);

    // Stages that may start now, each returned once.
    std::vector<int> popReadyStages();
    void markDone(int stage, std::vector<std::string> handles);
    int stagesLeft() const { return m_stagesLeft; }
    bool isDone() const { return m_stagesLeft == 0; }
    // Stages whose results no stage will read any more, though some did; each returned once.
    std::vector<int> popFullyReadStages();

    // Whether a stage's results are there.
    bool isDone(int stage) const { return m_stages.at(stage).isDone; }
    const StageDefinition& definition(int stage) const { return m_stages.at(stage).definition; }
    int pieces(int stage) const { return m_stages.at(stage).pieces; }
    // Whether no other stage reads this one.
    bool isFinal(int stage) const { return readersOf(stage).empty(); }
    // Results that a stage's pieces read.
    std::vector<std::string> inputsOf(int stage) const;
    // Results that no other stage reads, for the model engine.
    std::vector<std::string> finalHandles() const;
    // Time from the start of a stage to the end of the last one that needs it, from the times of the
    // single stages.
    double longestTime(int stage, const std::vector<double>& milliseconds) const;
    // Time until all stages but one are done, from the times that the single stages still need.
    double timeWithout(int stage, const std::vector<double>& milliseconds) const;

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
