#ifndef VANILLAYARD_OBSERVE_LOG_H
#define VANILLAYARD_OBSERVE_LOG_H

#include "observe/LogField.h"
#include "observe/LogLevel.h"
#include "observe/RateLimiter.h"

#include <functional>
#include <initializer_list>
#include <string_view>

namespace vanillayard {

class Executor;

/// Writes structured lines, by default to standard error:
///
///   2026-01-02T03:04:05.000006Z info peer "host is dead" host=e3 silence=6s
///
/// The log is rate-limited: it writes at most LinesPerWindow lines with the
/// same component and message in each Window. The next such line that it writes
/// carries the number of suppressed lines as suppressed=n.
class Log {
public:
  using Sink = std::function<void(std::string_view Line)>;
  using Fields = std::initializer_list<LogField>;

  static constexpr int LinesPerWindow = 20;
  static constexpr absl::Duration Window = absl::Seconds(10);

  explicit Log(const Executor &Exec);
  /// \param Output is called with each line, including its line feed.
  Log(const Executor &Exec, Sink Output);

  /// Sets the lowest level that is written. Default Info.
  void setMinimumLevel(LogLevel Level) { this->Minimum = Level; }
  bool isEnabled(LogLevel Level) const { return Level >= this->Minimum; }

  void debug(std::string_view Component, std::string_view Message,
             Fields Pairs = {});
  void info(std::string_view Component, std::string_view Message,
            Fields Pairs = {});
  void warning(std::string_view Component, std::string_view Message,
               Fields Pairs = {});
  void error(std::string_view Component, std::string_view Message,
             Fields Pairs = {});

  /// Writes a line. The rate limit applies to all lines with the same
  /// \p RateKey together.
  void write(LogLevel Level, std::string_view Component,
             std::string_view Message, Fields Pairs, std::string_view RateKey);

  /// Writes the number of suppressed lines of each rate key whose window has
  /// ended without a further line. Call it periodically and at exit.
  void flushSuppressed();

private:
  void writeLimited(LogLevel Level, std::string_view Component,
                    std::string_view Message, Fields Pairs);
  void emit(LogLevel Level, std::string_view Component,
            std::string_view Message, Fields Pairs, uint64_t Suppressed);

  const Executor &Exec;
  Sink Output;
  LogLevel Minimum = LogLevel::Info;
  /// Keys of request lines can be many and then share one limit, so messages
  /// have a limiter of their own.
  RateLimiter MessageLimiter;
  RateLimiter KeyLimiter;
};

} // namespace vanillayard

#endif
