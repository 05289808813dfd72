#include "balsammill/base/RcuCell.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace Balsammill;

// Guards against readers that see a freed or partially written value while a writer replaces it.
TEST_CASE("Readers see consistent values while a writer replaces them")
{
    struct Pair {
        int first;
        int second;
    };
    RcuCell<Pair> cell(std::make_shared<const Pair>(Pair { 0, 0 }));
    std::atomic<bool> stop { false };
    std::atomic<int> torn { 0 };
    std::vector<std::thread> readers;
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&] {
            while (!stop.load()) {
                auto pair = cell.load();
                if (pair->first != pair->second)
                    ++torn;
            }
        });
    }
    for (int i = 1; i <= 200; ++i)
        cell.store(std::make_shared<const Pair>(Pair { i, i }));
    stop = true;
    for (auto& reader : readers)
        reader.join();
    CHECK(torn.load() == 0);
    CHECK(cell.load()->first == 200);
}
