/// What an instance uses of the store's content, by the facts that it reports.
#ifndef KNAPWEEDSTREAM_TESTS_DISPATCH_INSTANCE_VIEW_HPP
#define KNAPWEEDSTREAM_TESTS_DISPATCH_INSTANCE_VIEW_HPP

#include "dispatch/store_model.hpp"
#include "port/dispatch_fact.hpp"

#include <map>
#include <set>
#include <string>

namespace knapweedstream::dispatch
{

struct instance_view
{
    std::map<std::string, bool> targets; ///< By name; true: draining.
    std::set<std::string> evacuated;     ///< Zones.
    std::uint64_t config_version = 0;
    bool ready = false;
    bool attached = false; ///< Follows the store through another instance.
    /// A configuration was followed by one with a lower version.
    bool config_went_back = false;
    bool ready_went_back = false; ///< Was ready and is not any more.

    auto operator<=>(instance_view const&) const = default;
};

/// Adds a fact that the instance has reported.
auto with_fact(instance_view v, fact const& f) -> instance_view;

/// Describes how a view differs from the store's content; empty if it does not.
auto difference(instance_view const& v, store_model const& store)
    -> std::string;

} // namespace knapweedstream::dispatch

#endif
