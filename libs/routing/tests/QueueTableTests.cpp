#include "balsammill/routing/RoutingConfig.h"

#include <doctest/doctest.h>

using namespace Balsammill;

namespace {

QueueConfig queue(const std::string& name, const std::string& host, const std::string& prefix)
{
    QueueConfig config;
    config.name = Shards::QueueName(name);
    config.host = host;
    config.pathPrefix = prefix;
    return config;
}

} // namespace

TEST_CASE("A request goes to the queue of its host with the longest prefix of its path")
{
    RoutingConfig config;
    config.queues = { queue("short", "a.example", "/x/"), queue("long", "a.example", "/x/y/"),
        queue("other", "b.example", "/x/") };
    const QueueTable table(config);
    REQUIRE_NE(table.find("a.example", "/x/y/1"), nullptr);
    CHECK_EQ(table.find("a.example", "/x/y/1")->name.value, "long");
    CHECK_EQ(table.find("A.EXAMPLE:8080", "/x/1")->name.value, "short");
    CHECK_EQ(table.find("b.example", "/x/y/1")->name.value, "other");
    CHECK_EQ(table.find("c.example", "/x/1"), nullptr);
    CHECK_EQ(table.find("a.example", "/y/1"), nullptr);
}
