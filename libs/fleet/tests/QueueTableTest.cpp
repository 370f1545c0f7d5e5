#include "fleet/QueueTable.h"

#include <gtest/gtest.h>

using namespace vanillayard;

static Queue queueAt(const char *Name, const char *Host, const char *Prefix) {
  Queue Q;
  Q.Name = Name;
  Q.HostName = Host;
  Q.PathPrefix = Prefix;
  return Q;
}

static QueueTable sampleTable() {
  FleetConfiguration Configuration;
  Configuration.Queues = {queueAt("all", "a.example", "/"),
                          queueAt("price", "a.example", "/price/"),
                          queueAt("other", "b.example", "/price/")};
  AccountSettings Account;
  Account.Id = ClientAccountId("windhoek");
  Account.ApiKeys = {"k1", "k2"};
  Configuration.Accounts = {Account};
  return QueueTable(Configuration);
}

// Guards against matching a shorter prefix: the job would get the settings of
// another queue.
TEST(QueueTableTest, LongestPrefixOfTheHostWins) {
  QueueTable Table = sampleTable();
  EXPECT_EQ(Table.findQueue("a.example", "/price/1")->Name, "price");
  EXPECT_EQ(Table.findQueue("a.example", "/prices")->Name, "all");
  EXPECT_EQ(Table.findQueue("b.example:8080", "/price/1")->Name, "other");
  EXPECT_EQ(Table.findQueue("b.example", "/"), nullptr);
  EXPECT_EQ(Table.findQueue("c.example", "/price/1"), nullptr);
}

TEST(QueueTableTest, KeysBelongToTheirAccount) {
  QueueTable Table = sampleTable();
  ASSERT_NE(Table.findAccountByKey("k2"), nullptr);
  EXPECT_EQ(Table.findAccountByKey("k2")->Id, ClientAccountId("windhoek"));
  EXPECT_EQ(Table.findAccountByKey("k3"), nullptr);
  EXPECT_EQ(Table.findAccountByKey(""), nullptr);
}
