/// Runs a single decision: which of three replicas gets a request.
#include "core/selector.hpp"

#include <iostream>

auto main() -> int
{
    namespace ks = knapweedstream;
    auto const from = std::vector<ks::candidate>{
        {{1}, 3, 4, 2'000}, {{2}, 0, 4, 2'000}, {{3}, 0, 4, 90'000}};
    auto random = ks::random_state{42, 0};
    auto wins = std::array<int, 3>{};
    for (auto i = 0; i < 1'000; ++i)
    {
        auto const choice = ks::select(ks::pick_two_choices{}, from, random);
        random = choice.random;
        ++wins[choice.index];
    }
    std::cout << "busy " << wins[0] << ", idle " << wins[1] << ", slow "
              << wins[2] << "\n";
    return wins[1] > wins[0] && wins[0] > wins[2] ? 0 : 1;
}
