// Measures the heartbeat traffic of entry hosts on the fake network and the
// virtual clock, in bytes per second that one host sends and receives.

#include "peer/testing/PeerCluster.h"

#include <fmt/core.h>

#include <algorithm>
#include <vector>

using namespace vanillayard;

struct Setting {
  int Hosts;
  int DataCentres;
  int Workers;
};

/// Heartbeat bytes per second of one host, sent and received together.
struct Rates {
  /// Mean over the hosts.
  double Mean = 0;
  /// Value of the host with the most traffic.
  double Max = 0;
};

// A host's byte budget allows at most this many polls of workers per second, so
// at most this many views change.
static constexpr int ChangedViewsPerSecond = 3;
static constexpr int WarmUpSeconds = 60;
static constexpr int MeasuredSeconds = 300;
static constexpr int RelayNever = 1 << 20;

static WorkerView makeView(int Worker, int Second) {
  WorkerView View;
  View.Worker =
      WorkerId(fmt::format("dc1-rack{}-worker{}", Worker / 8, Worker));
  View.Address = Endpoint(fmt::format("10.1.{}.{}:8080", Worker / 200, Worker));
  View.Rack = RackId(fmt::format("dc1-rack{}", Worker / 8));
  View.FreeSlots = (Worker + Second) % 8;
  View.TotalSlots = 8;
  View.Accelerators = 8;
  return View;
}

static void changeLoad(PeerCluster &Cluster, const Setting &S, int Second) {
  int PerHost = S.Workers / S.Hosts + 1;
  for (int Host = 0; Host < S.Hosts; ++Host) {
    Cluster[Host].setLoad({Second % 50, Second % 300, 5000 + Second, PerHost,
                           PerHost * 8L, PerHost * 2L,
                           absl::Milliseconds(Second % 2000), 16});
    for (int I = 0; I < std::min(ChangedViewsPerSecond, PerHost); ++I) {
      int Worker = (Second * ChangedViewsPerSecond + I) % PerHost;
      Cluster[Host].publishWorker(makeView(Host * PerHost + Worker, Second));
    }
  }
}

static Rates measure(const Setting &S, bool IsBusy, int RelayThreshold) {
  PeerCluster Cluster(S.Hosts, S.DataCentres);
  Cluster.setRelayThreshold(RelayThreshold);
  Cluster.startAll();
  auto Bytes = [&](int Host) {
    const PeerTraffic &T = Cluster[Host].traffic();
    return T.HeartbeatBytesSent + T.HeartbeatBytesReceived;
  };
  std::vector<uint64_t> Before(static_cast<size_t>(S.Hosts));
  for (int Second = 0; Second < WarmUpSeconds + MeasuredSeconds; ++Second) {
    if (Second == WarmUpSeconds)
      for (int Host = 0; Host < S.Hosts; ++Host)
        Before[Host] = Bytes(Host);
    if (IsBusy || Second == 0)
      changeLoad(Cluster, S, Second);
    Cluster.Exec.advance(absl::Seconds(1));
  }
  Rates R;
  for (int Host = 0; Host < S.Hosts; ++Host) {
    double Rate = static_cast<double>(Bytes(Host) - Before[Host]) /
                  static_cast<double>(MeasuredSeconds);
    R.Mean += Rate / S.Hosts;
    R.Max = std::max(R.Max, Rate);
  }
  return R;
}

static void report(const Setting &S, int RelayThreshold, const char *Mode) {
  Rates Idle = measure(S, false, RelayThreshold);
  Rates Busy = measure(S, true, RelayThreshold);
  fmt::print("{:5} {:7} {:8} {:>9} {:11.0f} {:11.0f} {:11.0f} {:11.0f}\n",
             S.Hosts, S.DataCentres, S.Workers, Mode, Idle.Mean, Idle.Max,
             Busy.Mean, Busy.Max);
}

int main() {
  fmt::print("bytes/s of one host, sent and received\n"
             "hosts centres  workers      mode   idle mean   idle most"
             "   busy mean   busy most\n");
  constexpr int Default = 12;
  const Setting Settings[] = {{9, 4, 50}, {24, 6, 400}, {48, 6, 920}};
  for (const Setting &S : Settings)
    report(S, Default, S.Hosts > Default ? "relaying" : "flat");
  report(Settings[1], RelayNever, "flat");
  report(Settings[2], RelayNever, "flat");
}
