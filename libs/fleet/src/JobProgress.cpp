#include "fleet/JobProgress.h"

namespace vanillayard {

JobProgress::JobProgress(const BatchJob &Job) {
  for (const BatchStep &Step : Job.Steps) {
    this->StepOffsets.push_back(this->TasksPerOccurrence);
    this->TasksPerOccurrence += static_cast<size_t>(Step.TaskCount);
  }
  this->StepOffsets.push_back(this->TasksPerOccurrence);
  this->Tasks.resize(this->TasksPerOccurrence *
                     static_cast<size_t>(Job.occurrenceCount()));
}

bool JobProgress::contains(int Occurrence, int Step, int Index) const {
  if (Occurrence < 0 || Step < 0 || Index < 0 ||
      static_cast<size_t>(Step) + 1 >= this->StepOffsets.size())
    return false;
  size_t InStep = this->StepOffsets[static_cast<size_t>(Step) + 1] -
                  this->StepOffsets[static_cast<size_t>(Step)];
  return static_cast<size_t>(Index) < InStep &&
         this->position(Occurrence, Step, Index) < this->Tasks.size();
}

} // namespace vanillayard
