#include "clients/ClientBudget.h"

#include <doctest/doctest.h>

using namespace Balsammill;

// Guards against limits that ordinary clients meet, and against client connections that take the descriptors for
// upstreams and the store.
TEST_CASE("The budget of clients follows from the memory and the descriptors of the VM")
{
    NodeSettings settings;
    settings.memoryMb = 120;
    settings.fileDescriptors = 3'075;
    const auto smallest = clientBudget(settings);
    CHECK_EQ(smallest.maxBufferedBytes, 30ULL * 1024 * 1024);
    CHECK_EQ(smallest.maxConnections, 3'075 - 200 - 768);
    settings.memoryMb = 10;
    settings.fileDescriptors = 300;
    const auto tiny = clientBudget(settings);
    CHECK_EQ(tiny.maxBufferedBytes, 16ULL * 1024 * 1024);
    CHECK_EQ(tiny.maxConnections, 256);
    CHECK_GT(clientBudget({}).maxConnections, 256);
}
