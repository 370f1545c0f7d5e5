#include "observe/Log.h"

#include "base/Executor.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace vanillayard {

static void writeToStandardError(std::string_view Line) {
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

static bool needsQuotes(std::string_view Value) {
  return Value.empty() || std::any_of(Value.begin(), Value.end(), [](char C) {
           auto Byte = static_cast<unsigned char>(C);
           return Byte <= ' ' || Byte == 0x7f || C == '"' || C == '=' ||
                  C == '\\';
         });
}

static void appendQuoted(fmt::memory_buffer &Line, std::string_view Value) {
  auto Out = std::back_inserter(Line);
  Line.push_back('"');
  for (char C : Value) {
    auto Byte = static_cast<unsigned char>(C);
    if (C == '"' || C == '\\')
      fmt::format_to(Out, "\\{}", C);
    else if (C == '\n')
      fmt::format_to(Out, "\\n");
    else if (Byte < ' ' || Byte == 0x7f)
      fmt::format_to(Out, "\\x{:02x}", Byte);
    else
      Line.push_back(C);
  }
  Line.push_back('"');
}

Log::Log(const Executor &Exec) : Log(Exec, writeToStandardError) {}

Log::Log(const Executor &Exec, Sink Output)
    : Exec(Exec), Output(std::move(Output)),
      MessageLimiter(LinesPerWindow, Window),
      KeyLimiter(LinesPerWindow, Window) {}

void Log::debug(std::string_view Component, std::string_view Message,
                Fields Pairs) {
  this->writeLimited(LogLevel::Debug, Component, Message, Pairs);
}

void Log::info(std::string_view Component, std::string_view Message,
               Fields Pairs) {
  this->writeLimited(LogLevel::Info, Component, Message, Pairs);
}

void Log::warning(std::string_view Component, std::string_view Message,
                  Fields Pairs) {
  this->writeLimited(LogLevel::Warning, Component, Message, Pairs);
}

void Log::error(std::string_view Component, std::string_view Message,
                Fields Pairs) {
  this->writeLimited(LogLevel::Error, Component, Message, Pairs);
}

void Log::writeLimited(LogLevel Level, std::string_view Component,
                       std::string_view Message, Fields Pairs) {
  if (!this->isEnabled(Level))
    return;
  std::string Key = fmt::format("{}: {}", Component, Message);
  if (auto Suppressed = this->MessageLimiter.admit(Key, this->Exec.now()))
    this->emit(Level, Component, Message, Pairs, *Suppressed);
}

void Log::write(LogLevel Level, std::string_view Component,
                std::string_view Message, Fields Pairs,
                std::string_view RateKey) {
  if (!this->isEnabled(Level))
    return;
  if (auto Suppressed = this->KeyLimiter.admit(RateKey, this->Exec.now()))
    this->emit(Level, Component, Message, Pairs, *Suppressed);
}

void Log::flushSuppressed() {
  for (RateLimiter *Limiter : {&this->MessageLimiter, &this->KeyLimiter})
    for (const auto &[Key, Count] : Limiter->takeEndedWindows(this->Exec.now()))
      this->emit(LogLevel::Info, "log", "repeated log lines were suppressed",
                 {{"key", Key}}, Count);
}

void Log::emit(LogLevel Level, std::string_view Component,
               std::string_view Message, Fields Pairs, uint64_t Suppressed) {
  fmt::memory_buffer Line;
  auto Out = std::back_inserter(Line);
  LogField Time("time", this->Exec.now());
  fmt::format_to(Out, "{} {} {} ", Time.value(), LogLevelNames.nameOf(Level),
                 Component);
  appendQuoted(Line, Message);
  for (const LogField &Field : Pairs) {
    fmt::format_to(Out, " {}=", Field.name());
    if (needsQuotes(Field.value()))
      appendQuoted(Line, Field.value());
    else
      fmt::format_to(Out, "{}", Field.value());
  }
  if (Suppressed > 0)
    fmt::format_to(Out, " suppressed={}", Suppressed);
  Line.push_back('\n');
  this->Output(std::string_view(Line.data(), Line.size()));
}

} // namespace vanillayard
