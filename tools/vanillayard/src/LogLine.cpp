#include "LogLine.h"

#include <algorithm>

namespace vanillayard {

namespace {

/// Reads words, field names and quoted texts from the start of a line.
class LineScanner {
public:
  explicit LineScanner(std::string_view Rest) : Rest(Rest) {}

  bool isAtEnd() const { return this->Rest.empty(); }

  std::string word() {
    std::string Word(this->Rest.substr(0, this->Rest.find(' ')));
    this->skip(Word.size() + 1);
    return Word;
  }

  /// Reads a field name, which ends at the next "=".
  std::optional<std::string> name() {
    size_t Equals = this->Rest.find('=');
    if (Equals == 0 || Equals == std::string_view::npos)
      return std::nullopt;
    std::string Name(this->Rest.substr(0, Equals));
    this->skip(Equals + 1);
    return Name;
  }

  /// Reads a quoted text or a word.
  std::optional<std::string> value() {
    if (!this->Rest.starts_with('"'))
      return this->word();
    std::string Text;
    for (size_t I = 1; I < this->Rest.size(); ++I) {
      char C = this->Rest[I];
      if (C == '"') {
        this->skip(I + 2);
        return Text;
      }
      if (C == '\\' && I + 1 < this->Rest.size())
        C = this->Rest[++I] == 'n' ? '\n' : this->Rest[I];
      Text.push_back(C);
    }
    return std::nullopt;
  }

private:
  void skip(size_t Count) {
    this->Rest.remove_prefix(std::min(Count, this->Rest.size()));
  }

  std::string_view Rest;
};

} // namespace

std::string_view LogLine::field(std::string_view Name) const {
  for (const auto &[Known, Value] : this->Fields)
    if (Known == Name)
      return Value;
  return {};
}

std::optional<LogLine> LogLine::parse(std::string_view Text) {
  LineScanner Scanner(Text);
  LogLine Line;
  std::string Error;
  if (!absl::ParseTime("%Y-%m-%d%ET%H:%M:%E*SZ", Scanner.word(), &Line.At,
                       &Error))
    return std::nullopt;
  Line.Level = Scanner.word();
  Line.Component = Scanner.word();
  std::optional<std::string> Message = Scanner.value();
  if (!Message || Line.Component.empty())
    return std::nullopt;
  Line.Message = *std::move(Message);
  while (!Scanner.isAtEnd()) {
    std::optional<std::string> Name = Scanner.name();
    std::optional<std::string> Value = Name ? Scanner.value() : std::nullopt;
    if (!Value)
      return std::nullopt;
    Line.Fields.emplace_back(*std::move(Name), *std::move(Value));
  }
  return Line;
}

} // namespace vanillayard
