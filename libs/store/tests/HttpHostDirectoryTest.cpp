#include "store/HttpHostDirectory.h"

#include "StandinPlatform.h"

#include "base/ErrorKind.h"

using namespace vanillayard;

// Guards against an entry that is parsed wrongly, and against an outage that
// looks like an empty list.
TEST(HttpHostDirectoryTest, ReadsTheHostListAndReportsAnOutage) {
  StandinPlatform Platform;
  HttpHostDirectory Directory(Platform.Client, Platform.address(),
                              absl::Seconds(5));
  HttpRequest Put;
  Put.Method = "PUT";
  Put.Path = "/v1/hosts";
  Put.Body = R"({"hosts":[
    {"name":"w1","role":"worker","data_centre":"dc1","rack":"r2",
     "address":"127.0.0.1:9","state":"leaving"},
    {"name":"e1","role":"entry","data_centre":"dc2","rack":"",
     "address":"127.0.0.1:8","state":"live"}]})";
  int Status = 0;
  Platform.Client.send(
      Platform.address(), Put, absl::Seconds(5),
      [&](const auto &Response) { Status = Response.ok() ? 200 : -1; });
  ASSERT_TRUE(Platform.waitFor([&] { return Status != 0; }));
  absl::StatusOr<HostList> List = absl::UnknownError("none");
  auto Fetch = [&] {
    List = absl::UnknownError("none");
    Directory.fetch(
        [&](absl::StatusOr<HostList> Answer) { List = std::move(Answer); });
    return Platform.waitFor([&] { return !absl::IsUnknown(List.status()); });
  };
  ASSERT_TRUE(Fetch());
  ASSERT_TRUE(List.ok()) << List.status();
  ASSERT_EQ(List->Hosts.size(), 2u);
  const ListedHost &Worker = List->Hosts[0];
  EXPECT_EQ(Worker.Name, "w1");
  EXPECT_EQ(Worker.Role, HostRole::Worker);
  EXPECT_EQ(Worker.DataCentre, DataCentreId("dc1"));
  EXPECT_EQ(Worker.Rack, RackId("r2"));
  EXPECT_EQ(Worker.Address, Endpoint("127.0.0.1:9"));
  EXPECT_EQ(Worker.State, HostState::Leaving);
  EXPECT_EQ(List->Hosts[1].Role, HostRole::Entry);
  EXPECT_EQ(List->Hosts[1].State, HostState::Live);
  PlatformFaults Faults;
  Faults.Mode = PlatformMode::Down;
  Platform.Service.setFaults(Faults);
  ASSERT_TRUE(Fetch());
  EXPECT_EQ(errorKindOf(List.status()), ErrorKind::PlatformUnavailable);
}

// Guards against a malformed list that is taken for a shorter or an empty one.
TEST(HttpHostDirectoryTest, MalformedListsAreErrors) {
  for (const char *Text :
       {"", "[]", "{}", R"({"generated_ms":1})", R"({"hosts":[]})",
        R"({"generated_ms":"1","hosts":[]})",
        R"({"generated_ms":1,"hosts":[3]})",
        R"({"generated_ms":1,"hosts":[{"name":"w1","role":"worker"}]})"})
    EXPECT_EQ(errorKindOf(HttpHostDirectory::parse(Text).status()),
              ErrorKind::PlatformUnavailable)
        << Text;
}
