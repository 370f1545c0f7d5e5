#include "ToThrift.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"
#include "peer_types.h"
#include "wire/Envelope.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillayard {

/// Runs \p Set only for a value that differs from the default.
template <typename T, typename Setter>
static void setUnlessDefault(const T &Value, Setter Set) {
  if (Value != T())
    Set(Value);
}

template <typename Id>
static std::vector<std::string> toStrings(const std::vector<Id> &Ids) {
  std::vector<std::string> Strings;
  Strings.reserve(Ids.size());
  for (const Id &I : Ids)
    Strings.push_back(I.str());
  return Strings;
}

template <typename From> static auto toList(const std::vector<From> &Elements) {
  std::vector<decltype(convert(Elements[0]))> List;
  List.reserve(Elements.size());
  for (const From &Element : Elements)
    List.push_back(convert(Element));
  return List;
}

static thrift_wire::LoadSummary convert(const LoadSummary &In) {
  thrift_wire::LoadSummary Out;
  setUnlessDefault(In.QueuedUrgent,
                   [&](auto V) { Out.__set_queued_urgent(V); });
  setUnlessDefault(In.QueuedNormal,
                   [&](auto V) { Out.__set_queued_normal(V); });
  setUnlessDefault(In.QueuedDeferrable,
                   [&](auto V) { Out.__set_queued_deferrable(V); });
  setUnlessDefault(In.FreeSlots, [&](auto V) { Out.__set_free_slots(V); });
  setUnlessDefault(In.TotalSlots, [&](auto V) { Out.__set_total_slots(V); });
  setUnlessDefault(In.FreeAccelerators,
                   [&](auto V) { Out.__set_free_accelerators(V); });
  setUnlessDefault(absl::ToInt64Milliseconds(In.QueueDelay),
                   [&](auto V) { Out.__set_queue_delay_ms(V); });
  setUnlessDefault(In.LargestStartableGang,
                   [&](auto V) { Out.__set_largest_startable_gang(V); });
  return Out;
}

static thrift_wire::WorkerView convert(const WorkerView &In) {
  thrift_wire::WorkerView Out;
  Out.__set_worker(In.Worker.str());
  Out.__set_free_slots(In.FreeSlots);
  setUnlessDefault(In.Address, [&](auto &V) { Out.__set_endpoint(V.str()); });
  setUnlessDefault(In.Rack, [&](auto &V) { Out.__set_rack(V.str()); });
  setUnlessDefault(In.TotalSlots, [&](auto V) { Out.__set_total_slots(V); });
  setUnlessDefault(In.Accelerators, [&](auto V) { Out.__set_accelerators(V); });
  setUnlessDefault(In.Draining, [&](auto V) { Out.__set_draining(V); });
  setUnlessDefault(In.Ejected, [&](auto V) { Out.__set_ejected(V); });
  Out.__set_version(In.Version);
  setUnlessDefault(In.Withdrawn, [&](auto V) { Out.__set_withdrawn(V); });
  setUnlessDefault(In.Brief, [&](auto V) { Out.__set_brief(V); });
  return Out;
}

static thrift_wire::HostDigest convert(const HostDigest &In) {
  thrift_wire::HostDigest Out;
  Out.__set_host(In.Host.str());
  Out.__set_incarnation(In.Incarnation);
  Out.__set_address(In.Address.str());
  setUnlessDefault(In.Leaving, [&](auto V) { Out.__set_leaving(V); });
  return Out;
}

static thrift_wire::DataCentreDigest convert(const DataCentreDigest &In) {
  thrift_wire::DataCentreDigest Out;
  Out.__set_data_centre(In.DataCentre.str());
  Out.__set_hosts_hash(In.HostsHash);
  setUnlessDefault(In.Hosts, [&](auto &V) { Out.__set_hosts(toList(V)); });
  setUnlessDefault(absl::ToInt64Milliseconds(In.Age),
                   [&](auto V) { Out.__set_age_ms(V); });
  setUnlessDefault(In.Load, [&](auto &V) { Out.__set_load(convert(V)); });
  return Out;
}

static void setMessage(thrift_wire::Envelope &To, const Heartbeat &In) {
  thrift_wire::Heartbeat Out;
  Out.__set_generation(In.Generation);
  if (In.Phase == HostPhase::Leaving)
    Out.__set_leaving(true);
  setUnlessDefault(In.Load, [&](auto &V) { Out.__set_load(convert(V)); });
  setUnlessDefault(In.Relaying, [&](auto V) { Out.__set_relaying(V); });
  setUnlessDefault(In.Workers, [&](auto &V) { Out.__set_workers(toList(V)); });
  setUnlessDefault(In.Address, [&](auto &V) { Out.__set_address(V.str()); });
  setUnlessDefault(In.KnownPeers,
                   [&](auto &V) { Out.__set_known_peers(toStrings(V)); });
  setUnlessDefault(In.ViewsBaseVersion,
                   [&](auto V) { Out.__set_views_after(V); });
  setUnlessDefault(In.AckedViewsVersion,
                   [&](auto V) { Out.__set_views_seen(V); });
  setUnlessDefault(In.AckedIncarnation,
                   [&](auto V) { Out.__set_views_seen_of(V); });
  setUnlessDefault(In.Digests, [&](auto &V) { Out.__set_digests(toList(V)); });
  setUnlessDefault(In.RequestedHostLists,
                   [&](auto &V) { Out.__set_wanted_hosts_of(toStrings(V)); });
  setUnlessDefault(In.Warnings, [&](auto &V) { Out.__set_warnings(V); });
  To.__set_heartbeat(Out);
}

static void setMessage(thrift_wire::Envelope &To, const ConfigRequest &In) {
  thrift_wire::ConfigRequest Out;
  Out.__set_have_generation(In.KnownGeneration);
  To.__set_config_request(Out);
}

static void setMessage(thrift_wire::Envelope &To, const ConfigReply &In) {
  thrift_wire::ConfigReply Out;
  Out.__set_generation(In.Generation);
  Out.__set_document(In.Document);
  To.__set_config_reply(Out);
}

static void setMessage(thrift_wire::Envelope &To, const ForwardRequest &In) {
  thrift_wire::ForwardRequest Out;
  Out.__set_request(In.Request.str());
  Out.__set_account(In.Account.str());
  Out.__set_caller(In.Caller.str());
  Out.__set_kind(In.Kind.str());
  Out.__set_remaining_ms(absl::ToInt64Milliseconds(In.Remaining));
  Out.__set_repeatable(In.Repeatable);
  setUnlessDefault(In.IdempotencyKey,
                   [&](auto &V) { Out.__set_idempotency_key(V); });
  Out.__set_body(In.Body);
  To.__set_forward_request(Out);
}

static void setMessage(thrift_wire::Envelope &To, const ForwardReply &In) {
  thrift_wire::ForwardReply Out;
  if (In.Answer.ok()) {
    Out.__set_body(*In.Answer);
  } else {
    const absl::Status &Error = In.Answer.status();
    Out.__set_error_kind(std::string(errorKindInfo(errorKindOf(Error)).Name));
    Out.__set_detail(std::string(stdView(Error.message())));
    setUnlessDefault(absl::ToInt64Milliseconds(retryAfterOf(Error)),
                     [&](auto V) { Out.__set_retry_after_ms(V); });
  }
  To.__set_forward_reply(Out);
}

static void setMessage(thrift_wire::Envelope &To, const JobNotice &In) {
  thrift_wire::JobNotice Out;
  Out.__set_job(In.Job.str());
  setUnlessDefault(In.Record, [&](auto &V) { Out.__set_record(V); });
  To.__set_job_notice(Out);
}

static void setMessage(thrift_wire::Envelope &To, const JobQuery &In) {
  thrift_wire::JobQuery Out;
  Out.__set_job(In.Job.str());
  To.__set_job_query(Out);
}

static void setMessage(thrift_wire::Envelope &To, const JobReply &In) {
  thrift_wire::JobReply Out;
  Out.__set_job(In.Job.str());
  setUnlessDefault(In.Record, [&](auto &V) { Out.__set_record(V); });
  To.__set_job_reply(Out);
}

static void setMessage(thrift_wire::Envelope &To, const CancelNotice &In) {
  thrift_wire::CancelNotice Out;
  Out.__set_job(In.Job.str());
  To.__set_cancel_notice(Out);
}

static void setMessage(thrift_wire::Envelope &To, const Leaving &) {
  To.__set_leaving(thrift_wire::Leaving());
}

thrift_wire::Envelope toThrift(const Envelope &In) {
  thrift_wire::Envelope Out;
  Out.__set_sender(In.Sender.str());
  Out.__set_incarnation(In.Incarnation);
  Out.__set_data_centre(In.DataCentre.str());
  Out.__set_hlc_physical_us(In.Time.PhysicalUs);
  setUnlessDefault(In.Time.Logical, [&](auto V) { Out.__set_hlc_logical(V); });
  setUnlessDefault(In.Correlation, [&](auto V) { Out.__set_correlation(V); });
  std::visit([&](const auto &Message) { setMessage(Out, Message); },
             In.Message);
  return Out;
}

} // namespace vanillayard
