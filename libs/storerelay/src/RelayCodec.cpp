#include "storerelay/RelayCodec.h"

#include "base/ErrorKind.h"
#include "store/StoreKey.h"
#include "store_relay_types.h"
#include "wire/ThriftCodec.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace vanillayard {

static constexpr int MaxDepth = 8;

static ThriftCodec codec() {
  return {RelayCodec::MaxMessageBytes, RelayCodec::MaxListElements, MaxDepth};
}

static void setTransaction(const StoreTransaction &In,
                           thrift_relay::Call &Out) {
  std::vector<thrift_relay::Condition> Expected;
  for (const StoreTransaction::Condition &Condition : In.Conditions) {
    thrift_relay::Condition Row;
    Row.__set_key(Condition.Key);
    Row.__set_revision(Condition.Revision);
    Expected.push_back(std::move(Row));
  }
  std::vector<thrift_relay::Put> Puts;
  for (const StoreTransaction::Put &Put : In.Puts) {
    thrift_relay::Put Row;
    Row.__set_key(Put.Key);
    Row.__set_value(Put.Value);
    if (Put.Lease != 0)
      Row.__set_lease(Put.Lease);
    Puts.push_back(std::move(Row));
  }
  Out.__set_expected(Expected);
  Out.__set_puts(Puts);
  Out.__set_removes(In.Removes);
}

static StoreTransaction transactionOf(thrift_relay::Call &In) {
  StoreTransaction Out;
  for (thrift_relay::Condition &Row : In.expected)
    Out.Conditions.push_back({std::move(Row.key), Row.revision});
  for (thrift_relay::Put &Row : In.puts)
    Out.Puts.push_back({std::move(Row.key), std::move(Row.value), Row.lease});
  Out.Removes = std::move(In.removes);
  return Out;
}

/// Checks what the store's adapter takes for granted in a call, because a
/// message can come from any program that reaches the port.
static absl::Status validate(const StoreCall &Call) {
  if (!Call.Key.empty() && !isStoreKey(Call.Key))
    return absl::InvalidArgumentError("the key cannot be a key of the store");
  if (Call.Duration < absl::ZeroDuration() ||
      Call.Duration > RelayCodec::MaxDuration)
    return absl::InvalidArgumentError("the duration is out of range");
  const StoreTransaction &Transaction = Call.Transaction;
  auto HasKey = [](const auto &Row) { return isStoreKey(Row.Key); };
  if (!std::all_of(Transaction.Conditions.begin(), Transaction.Conditions.end(),
                   HasKey) ||
      !std::all_of(Transaction.Puts.begin(), Transaction.Puts.end(), HasKey) ||
      !std::all_of(Transaction.Removes.begin(), Transaction.Removes.end(),
                   isStoreKey))
    return absl::InvalidArgumentError(
        "a key of the transaction cannot be a key of the store");
  if (Transaction.entryCount() > StoreTransaction::MaxEntries)
    return absl::InvalidArgumentError("the transaction has too many entries");
  return absl::OkStatus();
}

absl::StatusOr<std::string> RelayCodec::encode(const StoreCall &Call) {
  thrift_relay::Call Out;
  Out.__set_id(Call.Id);
  Out.__set_operation(std::string(StoreOperationNames.nameOf(Call.Operation)));
  if (!Call.Key.empty())
    Out.__set_key(Call.Key);
  if (Call.Revision != 0)
    Out.__set_revision(Call.Revision);
  if (Call.Duration != absl::ZeroDuration())
    Out.__set_duration_ms(absl::ToInt64Milliseconds(Call.Duration));
  if (Call.Lease != 0)
    Out.__set_lease(Call.Lease);
  if (Call.Operation == StoreOperation::Commit)
    setTransaction(Call.Transaction, Out);
  return codec().write(Out);
}

absl::StatusOr<StoreCall> RelayCodec::decodeCall(std::string_view Bytes) {
  auto Read = codec().read<thrift_relay::Call>(Bytes);
  if (!Read.ok())
    return Read.status();
  thrift_relay::Call &In = *Read;
  std::optional<StoreOperation> Operation =
      StoreOperationNames.parse(In.operation);
  if (!Operation)
    return absl::InvalidArgumentError(
        "the store operation of the call is unknown");
  StoreCall Out;
  Out.Id = In.id;
  Out.Operation = *Operation;
  Out.Key = std::move(In.key);
  Out.Revision = In.revision;
  Out.Duration = absl::Milliseconds(In.duration_ms);
  Out.Lease = In.lease;
  Out.Transaction = transactionOf(In);
  if (absl::Status Status = validate(Out); !Status.ok())
    return Status;
  return Out;
}

absl::StatusOr<std::string> RelayCodec::encode(const StoreReply &Reply) {
  thrift_relay::Reply Out;
  Out.__set_id(Reply.Id);
  if (!Reply.Status.ok()) {
    Out.__set_error(std::string(errorKindInfo(errorKindOf(Reply.Status)).Name));
    Out.__set_detail(std::string(Reply.Status.message()));
    return codec().write(Out);
  }
  Out.__set_is_applied(Reply.IsApplied);
  Out.__set_is_history_lost(Reply.IsHistoryLost);
  Out.__set_revision(Reply.Revision);
  Out.__set_lease(Reply.Lease);
  std::vector<thrift_relay::Item> Items;
  for (const StoreChange &Change : Reply.Items) {
    thrift_relay::Item Row;
    Row.__set_key(Change.Item.Key);
    Row.__set_value(Change.Item.Value);
    Row.__set_revision(Change.Item.Revision);
    if (Change.Item.StoreRevision != 0)
      Row.__set_store_revision(Change.Item.StoreRevision);
    if (Change.IsDeleted)
      Row.__set_deleted(true);
    Items.push_back(std::move(Row));
  }
  Out.__set_items(Items);
  return codec().write(Out);
}

absl::StatusOr<StoreReply> RelayCodec::decodeReply(std::string_view Bytes) {
  auto Read = codec().read<thrift_relay::Reply>(Bytes);
  if (!Read.ok())
    return Read.status();
  thrift_relay::Reply &In = *Read;
  StoreReply Out;
  Out.Id = In.id;
  if (In.__isset.error) {
    std::optional<ErrorKind> Kind = parseErrorKind(In.error);
    // An error kind that this version does not know does not tell whether the
    // call was executed.
    Out.Status = makeError(Kind.value_or(ErrorKind::OutcomeUnknown), In.detail);
    return Out;
  }
  Out.IsApplied = In.is_applied;
  Out.IsHistoryLost = In.is_history_lost;
  Out.Revision = In.revision;
  Out.Lease = In.lease;
  for (thrift_relay::Item &Row : In.items)
    Out.Items.push_back({{std::move(Row.key), std::move(Row.value),
                          Row.revision, Row.store_revision},
                         Row.deleted});
  return Out;
}

} // namespace vanillayard
