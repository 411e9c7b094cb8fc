#include "core/dispatch/eras.hpp"

namespace knapweedstream::dispatch
{

auto observe_era(dispatch_state& s, store_era era, char const* learned_from,
    commands& out) -> void
{
    auto const before = s.contact.era;
    if (!era || (before && *era <= *before))
        return;
    s.contact.era = era;
    if (!before && s.contact.newest == 0)
        return;
    ++s.stats.store_restores;
    out.push_back(report_fact{store_restored{
        before.value_or(0), *era, learned_from, s.contact.newest}});
}

} // namespace knapweedstream::dispatch
