#include "FromThrift.h"

#include "base/ErrorKind.h"
#include "peer_types.h"
#include "wire/Envelope.h"

#include <algorithm>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace vanillayard {

template <typename Id>
static std::vector<Id> toIds(std::vector<std::string> &&Strings) {
  std::vector<Id> Ids;
  Ids.reserve(Strings.size());
  for (std::string &S : Strings)
    Ids.emplace_back(std::move(S));
  return Ids;
}

// toVector() needs these declarations before it: argument-dependent lookup does
// not find the functions, as the generated types are in another namespace.
static WorkerView convert(thrift_wire::WorkerView &&In);
static HostDigest convert(thrift_wire::HostDigest &&In);
static DataCentreDigest convert(thrift_wire::DataCentreDigest &&In);

template <typename From> static auto toVector(std::vector<From> &&List) {
  std::vector<decltype(convert(std::move(List[0])))> Elements;
  Elements.reserve(List.size());
  for (From &Element : List)
    Elements.push_back(convert(std::move(Element)));
  return Elements;
}

static LoadSummary convert(const thrift_wire::LoadSummary &In) {
  LoadSummary Out;
  Out.QueuedUrgent = In.queued_urgent;
  Out.QueuedNormal = In.queued_normal;
  Out.QueuedDeferrable = In.queued_deferrable;
  Out.FreeSlots = In.free_slots;
  Out.TotalSlots = In.total_slots;
  Out.FreeAccelerators = In.free_accelerators;
  Out.QueueDelay = absl::Milliseconds(In.queue_delay_ms);
  Out.LargestStartableGang = In.largest_startable_gang;
  return Out;
}

static WorkerView convert(thrift_wire::WorkerView &&In) {
  WorkerView Out;
  Out.Worker = WorkerId(std::move(In.worker));
  Out.Address = Endpoint(std::move(In.endpoint));
  Out.Rack = RackId(std::move(In.rack));
  Out.FreeSlots = In.free_slots;
  Out.TotalSlots = In.total_slots;
  Out.Draining = In.draining;
  Out.Ejected = In.ejected;
  Out.Accelerators = In.accelerators;
  Out.Version = In.version;
  Out.Withdrawn = In.withdrawn;
  Out.Brief = In.brief;
  return Out;
}

static HostDigest convert(thrift_wire::HostDigest &&In) {
  HostDigest Out;
  Out.Host = HostId(std::move(In.host));
  Out.Incarnation = In.incarnation;
  Out.Address = Endpoint(std::move(In.address));
  Out.Leaving = In.leaving;
  return Out;
}

static DataCentreDigest convert(thrift_wire::DataCentreDigest &&In) {
  DataCentreDigest Out;
  Out.DataCentre = DataCentreId(std::move(In.data_centre));
  Out.HostsHash = In.hosts_hash;
  Out.Hosts = toVector(std::move(In.hosts));
  Out.Age = absl::Milliseconds(In.age_ms);
  Out.Load = convert(In.load);
  return Out;
}

static Heartbeat convert(thrift_wire::Heartbeat &&In) {
  Heartbeat Out;
  Out.Generation = In.generation;
  Out.Phase = In.leaving ? HostPhase::Leaving : HostPhase::Live;
  Out.Load = convert(In.load);
  Out.Relaying = In.relaying;
  Out.Workers = toVector(std::move(In.workers));
  Out.Address = Endpoint(std::move(In.address));
  Out.KnownPeers = toIds<Endpoint>(std::move(In.known_peers));
  Out.ViewsBaseVersion = In.views_after;
  Out.AckedViewsVersion = In.views_seen;
  Out.AckedIncarnation = In.views_seen_of;
  Out.Digests = toVector(std::move(In.digests));
  Out.RequestedHostLists = toIds<DataCentreId>(std::move(In.wanted_hosts_of));
  Out.Warnings = std::move(In.warnings);
  return Out;
}

static ForwardRequest convert(thrift_wire::ForwardRequest &&In) {
  ForwardRequest Out;
  Out.Request = RequestId(std::move(In.request));
  Out.Account = ClientAccountId(std::move(In.account));
  Out.Caller = CallerId(std::move(In.caller));
  Out.Kind = KindOfWorkId(std::move(In.kind));
  Out.Remaining = absl::Milliseconds(In.remaining_ms);
  Out.Repeatable = In.repeatable;
  Out.IdempotencyKey = std::move(In.idempotency_key);
  Out.Body = std::move(In.body);
  return Out;
}

static ForwardReply convert(thrift_wire::ForwardReply &&In) {
  if (In.__isset.body)
    return {std::move(In.body)};
  ErrorKind Kind = parseErrorKind(In.error_kind).value_or(ErrorKind::Internal);
  return {makeError(Kind, In.detail, absl::Milliseconds(In.retry_after_ms))};
}

static PeerMessage convertMessage(thrift_wire::Envelope &&In) {
  const auto &Set = In.__isset;
  if (Set.heartbeat)
    return convert(std::move(In.heartbeat));
  if (Set.config_request)
    return ConfigRequest{In.config_request.have_generation};
  if (Set.config_reply)
    return ConfigReply{In.config_reply.generation,
                       std::move(In.config_reply.document)};
  if (Set.forward_request)
    return convert(std::move(In.forward_request));
  if (Set.forward_reply)
    return convert(std::move(In.forward_reply));
  if (Set.job_notice)
    return JobNotice{JobId(std::move(In.job_notice.job)),
                     std::move(In.job_notice.record)};
  if (Set.job_query)
    return JobQuery{JobId(std::move(In.job_query.job))};
  if (Set.job_reply)
    return JobReply{JobId(std::move(In.job_reply.job)),
                    std::move(In.job_reply.record)};
  if (Set.cancel_notice)
    return CancelNotice{JobId(std::move(In.cancel_notice.job))};
  return Leaving();
}

static int countMessages(const thrift_wire::Envelope &In) {
  const auto &Set = In.__isset;
  return Set.heartbeat + Set.config_request + Set.config_reply +
         Set.forward_request + Set.forward_reply + Set.job_notice +
         Set.job_query + Set.job_reply + Set.cancel_notice + Set.leaving;
}

static bool isValid(const thrift_wire::LoadSummary &In) {
  return std::min({In.queued_urgent, In.queued_normal, In.queued_deferrable,
                   In.free_slots, In.total_slots, In.free_accelerators,
                   In.queue_delay_ms, In.largest_startable_gang}) >= 0;
}

static bool isValid(const thrift_wire::WorkerView &In) {
  return !In.worker.empty() && In.version >= 0 &&
         std::min({In.free_slots, In.total_slots, In.accelerators}) >= 0;
}

static bool isValid(const thrift_wire::DataCentreDigest &In) {
  bool HostsAreNamed =
      std::all_of(In.hosts.begin(), In.hosts.end(),
                  [](const auto &Host) { return !Host.host.empty(); });
  return !In.data_centre.empty() && In.age_ms >= 0 && isValid(In.load) &&
         HostsAreNamed;
}

static bool isValid(const thrift_wire::Heartbeat &In) {
  auto IsElementValid = [](const auto &E) { return isValid(E); };
  return In.generation >= 0 && In.views_seen >= 0 && In.views_after >= 0 &&
         In.views_seen_of >= 0 && isValid(In.load) &&
         std::all_of(In.workers.begin(), In.workers.end(), IsElementValid) &&
         std::all_of(In.digests.begin(), In.digests.end(), IsElementValid);
}

absl::StatusOr<Envelope> fromThrift(thrift_wire::Envelope In) {
  if (In.sender.empty() || In.data_centre.empty())
    return absl::InvalidArgumentError(
        "the envelope has no sender or no data centre");
  if (countMessages(In) != 1)
    return absl::InvalidArgumentError(
        "the envelope does not hold exactly one message");
  if (In.incarnation < 0 || In.hlc_physical_us < 0 || In.hlc_logical < 0 ||
      !isValid(In.heartbeat) || In.forward_reply.retry_after_ms < 0)
    return absl::InvalidArgumentError(
        "the envelope has a negative number or an empty id");
  Envelope Out;
  Out.Sender = HostId(std::move(In.sender));
  Out.Incarnation = In.incarnation;
  Out.DataCentre = DataCentreId(std::move(In.data_centre));
  Out.Time = {In.hlc_physical_us, In.hlc_logical};
  Out.Correlation = In.correlation;
  Out.Message = convertMessage(std::move(In));
  return Out;
}

} // namespace vanillayard
