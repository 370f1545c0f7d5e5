#include "CallerTable.h"

#include <fmt/format.h>

namespace vanillayard {

CallerRow &CallerTable::row(const std::string &Caller,
                            const std::string &Kind) {
  return this->Rows[{Caller, Kind}];
}

std::string CallerTable::format() const {
  std::string Text =
      fmt::format("{:<22} {:<12} {:>6} {:>6} {:>8} {:>7}  {}\n", "caller",
                  "kind", "sent", "own", "foreign", "errors", "error kinds");
  for (const auto &[Key, Row] : this->Rows) {
    std::string Errors;
    for (const auto &[Kind, Count] : Row.ErrorCounts)
      Errors += fmt::format("{} x {}; ", Count, Kind);
    Text += fmt::format("{:<22} {:<12} {:>6} {:>6} {:>8} {:>7}  {}\n",
                        Key.first, Key.second, Row.Sent, Row.OwnAnswers,
                        Row.ForeignAnswers, Row.Errors, Errors);
  }
  return Text;
}

bool CallerTable::isComplete() const {
  for (const auto &[Key, Row] : this->Rows)
    if (Row.OwnAnswers != Row.Sent)
      return false;
  return true;
}

} // namespace vanillayard
