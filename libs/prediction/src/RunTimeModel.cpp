#include "prediction/RunTimeModel.h"

#include "base/ErrorKind.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

static constexpr int RecordVersion = 1;
/// Weight that a sample keeps when the next one arrives. The mean covers about
/// the last 33 samples.
static constexpr double Memory = 0.97;
/// Weight, in samples, of the assumption that estimates are right.
static constexpr double PriorWeight = 3;
/// Least share of PriorWeight that is left when estimates are far off.
static constexpr double MinPriorShare = 0.05;
/// Weight, in samples, of the assumption that an account is like its queue.
static constexpr double AccountPriorWeight = 8;
/// A residual counts with at most this many standard deviations of the usual
/// ones, within the given limits, which are logarithms of factors.
static constexpr double MaxResidualDeviations = 2.0;
static constexpr double MinResidualLimit = 0.3;
static constexpr double MaxResidualLimit = 1.5;
/// An estimate further from the work than this, as the logarithm of a factor,
/// says nothing about other estimates.
static constexpr double MaxEstimateError = 3.0;
/// Largest offset of an account.
static constexpr double MaxAccountOffset = 1.0;
/// Variance of the logarithm of the work before anything is known: estimates
/// are off by a factor of about two.
static constexpr double PriorVariance = 0.5;
static constexpr double MinVariance = 0.01;
/// An estimate further from the queue's mean than this many standard deviations
/// is not used.
static constexpr double MaxEstimateDeviations = 3;
static constexpr double MinEstimateDeviation = 0.3;
/// Work of a task of which nothing is known, in seconds.
static constexpr double DefaultWorkSeconds = 5;
/// Limits of a logarithm in a record: times from a microsecond to three years.
static constexpr double MaxLog = 20;

absl::Duration WorkEstimate::quantile(double Deviations,
                                      double LogSpeed) const {
  double Log = this->LogMean - LogSpeed +
               Deviations * std::sqrt(std::max(this->LogVariance, 0.0));
  return absl::Seconds(std::exp(std::clamp(Log, -MaxLog, MaxLog)));
}

static bool hasEstimate(const TaskFeatures &Task) {
  return Task.Estimate > absl::ZeroDuration();
}

static double logEstimate(const TaskFeatures &Task) {
  return hasEstimate(Task) ? std::log(absl::ToDoubleSeconds(Task.Estimate))
                           : std::log(DefaultWorkSeconds);
}

double RunTimeModel::Regression::slope() const {
  // The prior pulls the slope to 1 while there are few samples.
  double PriorX = PriorWeight * PriorVariance;
  return std::clamp((this->Weight * this->Covariance + PriorX) /
                        (this->Weight * this->VarianceX + PriorX),
                    0.0, 1.0);
}

/// Weight of the regression against the estimate itself. Estimates that were
/// further off than the regression lose their weight sooner.
double RunTimeModel::Regression::trust() const {
  double Prior = PriorWeight;
  if (this->Samples >= static_cast<size_t>(PriorWeight) &&
      this->EstimateError > 0)
    Prior *=
        std::clamp(this->ModelError / this->EstimateError, MinPriorShare, 1.0);
  return this->Weight / (this->Weight + Prior);
}

bool RunTimeModel::Regression::isUsualEstimate(double X) const {
  if (this->Weight < PriorWeight)
    return true;
  double Deviation = std::max(std::sqrt(this->VarianceX), MinEstimateDeviation);
  return std::abs(X - this->MeanX) <= MaxEstimateDeviations * Deviation;
}

double RunTimeModel::Regression::at(double X, bool HasX) const {
  if (!HasX || !this->isUsualEstimate(X))
    return this->Weight > 0 ? this->MeanY : X;
  double Fitted = this->MeanY + this->slope() * (X - this->MeanX);
  double Trust = this->trust();
  return Trust * Fitted + (1 - Trust) * X;
}

void RunTimeModel::Regression::add(double X, bool HasX, double Y) {
  bool IsUsual =
      HasX && this->isUsualEstimate(X) && std::abs(X - Y) <= MaxEstimateError;
  double Predicted = this->at(X, HasX);
  double Limit =
      this->Samples == 0
          ? MaxResidualLimit
          : std::clamp(MaxResidualDeviations * std::sqrt(this->Residual),
                       MinResidualLimit, MaxResidualLimit);
  double Residual = std::clamp(Y - Predicted, -Limit, Limit);
  double Counted = Predicted + Residual;
  this->Weight = Memory * this->Weight + 1;
  double Gain = 1 / this->Weight;
  if (this->Samples == 0) {
    this->MeanX = IsUsual ? X : Y;
    this->MeanY = IsUsual ? Counted : Y;
  }
  double DeltaX = IsUsual ? X - this->MeanX : 0;
  double DeltaY = Counted - this->MeanY;
  this->MeanX += Gain * DeltaX;
  this->MeanY += Gain * DeltaY;
  if (IsUsual) {
    this->VarianceX += Gain * ((1 - Gain) * DeltaX * DeltaX - this->VarianceX);
    this->Covariance +=
        Gain * ((1 - Gain) * DeltaX * DeltaY - this->Covariance);
  }
  this->Residual += Gain * (Residual * Residual - this->Residual);
  double ErrorGain =
      std::max(Gain, 1.0 / static_cast<double>(this->Samples + 1));
  this->EstimateError += ErrorGain * (std::abs(Y - X) - this->EstimateError);
  this->ModelError += ErrorGain * (std::abs(Y - Predicted) - this->ModelError);
  ++this->Samples;
}

double RunTimeModel::offsetOf(const TaskFeatures &Task) const {
  auto Found = this->Accounts.find({seriesOf(Task), Task.Account.str()});
  if (Found == this->Accounts.end())
    return 0;
  const AccountOffset &Offset = Found->second;
  return Offset.Mean * Offset.Weight / (Offset.Weight + AccountPriorWeight);
}

WorkEstimate RunTimeModel::predict(const TaskFeatures &Task) const {
  double X = logEstimate(Task);
  auto Found = this->Series.find(seriesOf(Task));
  if (Found == this->Series.end())
    return {X, PriorVariance};
  const Regression &Known = Found->second;
  double Trust = Known.trust();
  double Variance = Trust * Known.Residual + (1 - Trust) * PriorVariance;
  return {Known.at(X, hasEstimate(Task)) + this->offsetOf(Task),
          std::max(Variance, MinVariance)};
}

void RunTimeModel::learn(const TaskFeatures &Task, double LogWork) {
  if (!std::isfinite(LogWork) || std::abs(LogWork) > MaxLog)
    return;
  SeriesKey Key = seriesOf(Task);
  if (!this->Series.contains(Key) && this->Series.size() >= MaxSeries)
    return;
  Regression &Known = this->Series[Key];
  double X = logEstimate(Task);
  double Residual = LogWork - Known.at(X, hasEstimate(Task));
  Known.add(X, hasEstimate(Task), LogWork);
  AccountKey Account{Key, Task.Account.str()};
  if (!this->Accounts.contains(Account) && this->Accounts.size() >= MaxSeries)
    return;
  AccountOffset &Offset = this->Accounts[Account];
  Offset.Weight = Memory * Offset.Weight + 1;
  Offset.Mean += (std::clamp(Residual, -MaxAccountOffset, MaxAccountOffset) -
                  Offset.Mean) /
                 Offset.Weight;
}

std::vector<RunTimeModel::QueueError> RunTimeModel::errors() const {
  std::map<std::string, QueueError> ByQueue;
  for (const auto &[Key, Known] : this->Series) {
    QueueError &Error = ByQueue[Key.first];
    auto Samples = static_cast<double>(Known.Samples);
    Error.Queue = Key.first;
    Error.OfEstimates += Samples * Known.EstimateError;
    Error.OfModel += Samples * Known.ModelError;
    Error.Samples += Known.Samples;
  }
  std::vector<QueueError> Errors;
  for (auto &[Queue, Error] : ByQueue) {
    Error.OfEstimates /= static_cast<double>(Error.Samples);
    Error.OfModel /= static_cast<double>(Error.Samples);
    Errors.push_back(Error);
  }
  return Errors;
}

std::string RunTimeModel::encode() const {
  // Five digits are more than the model's precision and keep the record short.
  auto Round = [](double Value) { return std::round(Value * 1e5) / 1e5; };
  Json Rows = Json::array();
  for (const auto &[Key, Known] : this->Series)
    Rows.push_back({Key.first, Key.second, Round(Known.Weight),
                    Round(Known.MeanX), Round(Known.MeanY),
                    Round(Known.VarianceX), Round(Known.Covariance),
                    Round(Known.Residual), Known.Samples,
                    Round(Known.EstimateError), Round(Known.ModelError)});
  Json Accounts = Json::array();
  for (const auto &[Key, Offset] : this->Accounts)
    Accounts.push_back({Key.first.first, Key.first.second, Key.second,
                        Round(Offset.Weight), Round(Offset.Mean)});
  return Json({{"version", RecordVersion},
               {"queues", Rows},
               {"accounts", Accounts}})
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Reads numbers from a row and remembers whether all were in range.
namespace {
class RowReader {
public:
  RowReader(const Json &Row, size_t Columns)
      : Row(Row), IsValid(Row.is_array() && Row.size() == Columns) {}

  std::string text(size_t Column) {
    this->IsValid = this->IsValid && this->Row[Column].is_string();
    return this->IsValid ? this->Row[Column].get<std::string>() : "";
  }
  double number(size_t Column, double Min, double Max) {
    this->IsValid = this->IsValid && this->Row[Column].is_number();
    double Value = this->IsValid ? this->Row[Column].get<double>() : 0;
    this->IsValid = this->IsValid && Value >= Min && Value <= Max;
    return this->IsValid ? Value : 0;
  }
  bool isValid() const { return this->IsValid; }

private:
  const Json &Row;
  bool IsValid;
};
} // namespace

absl::Status RunTimeModel::decode(std::string_view Record) {
  auto Malformed = [] {
    return makeError(ErrorKind::InvalidRequest,
                     "the record of run times is malformed");
  };
  if (Record.size() > MaxRecordBytes)
    return Malformed();
  Json In = Json::parse(Record, nullptr, false);
  constexpr double MaxWeight = 1 / (1 - Memory) + 1;
  constexpr double MaxCount = 1e15;
  constexpr double MaxStep = 1e6;
  if (!In.is_object() || In.value("version", Json()) != RecordVersion ||
      !In.value("queues", Json()).is_array() ||
      !In.value("accounts", Json()).is_array() ||
      In["queues"].size() > MaxSeries || In["accounts"].size() > MaxSeries)
    return Malformed();
  RunTimeModel Read;
  for (const Json &Row : In["queues"]) {
    RowReader Columns(Row, 11);
    SeriesKey Key{Columns.text(0),
                  static_cast<int>(Columns.number(1, 0, MaxStep))};
    Regression Known;
    Known.Weight = Columns.number(2, 0, MaxWeight);
    Known.MeanX = Columns.number(3, -MaxLog, MaxLog);
    Known.MeanY = Columns.number(4, -MaxLog, MaxLog);
    Known.VarianceX = Columns.number(5, 0, MaxLog * MaxLog);
    Known.Covariance = Columns.number(6, -MaxLog * MaxLog, MaxLog * MaxLog);
    Known.Residual = Columns.number(7, 0, MaxLog * MaxLog);
    Known.Samples = static_cast<size_t>(Columns.number(8, 0, MaxCount));
    Known.EstimateError = Columns.number(9, 0, 2 * MaxLog);
    Known.ModelError = Columns.number(10, 0, 2 * MaxLog);
    if (!Columns.isValid())
      return Malformed();
    Read.Series[std::move(Key)] = Known;
  }
  for (const Json &Row : In["accounts"]) {
    RowReader Columns(Row, 5);
    AccountKey Key{
        {Columns.text(0), static_cast<int>(Columns.number(1, 0, MaxStep))},
        Columns.text(2)};
    AccountOffset Offset{
        Columns.number(3, 0, MaxWeight),
        Columns.number(4, -MaxAccountOffset, MaxAccountOffset)};
    if (!Columns.isValid())
      return Malformed();
    Read.Accounts[std::move(Key)] = Offset;
  }
  *this = std::move(Read);
  return absl::OkStatus();
}

} // namespace vanillayard
