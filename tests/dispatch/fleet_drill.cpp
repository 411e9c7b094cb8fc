#include "dispatch/fleet_drill.hpp"

namespace knapweedstream::dispatch
{

namespace
{

/// Tolerance of a sum of fractions.
constexpr auto rounding = 1e-9;

} // namespace

fleet_drill::fleet_drill(store_fleet_setup const& setup)
    : fleet(setup), callers(fleet, drill_drain)
{
}

auto fleet_drill::change_config() -> void
{
    fleet.write(store_kind::configuration,
        {"main", 0, config_of(single_route("s"), ++config_version_)});
}

auto fleet_drill::evacuate(bool on) -> void
{
    if (on)
        fleet.write(store_kind::evacuations, {"z1", 0, zone_evacuation{"z1"}});
    else
        fleet.remove(store_kind::evacuations, "z1");
}

auto fleet_drill::order_rollout() -> void
{
    constexpr auto length = seconds{12};
    for (auto const* zone : {"z0", "z1"})
    {
        auto t = make_registration(std::string{"new-"} + zone, "s", zone);
        t.version = "v2";
        fleet.write(store_kind::targets, {t.name, 0, t});
    }
    fleet.write(store_kind::rollouts,
        {"s", 0, rollout_order{"s", "v2", length, order_state::waiting}});
}

auto fleet_drill::rollout_state() const -> order_state
{
    auto const* it = fleet.store().find(store_kind::rollouts, "s");
    return it == nullptr ? order_state::waiting
                         : std::get<rollout_order>(it->value).state;
}

auto fleet_drill::remove_drained() -> void
{
    if (removed_ >= fleet.changes.size())
        return;
    auto const& it = fleet.changes[removed_++];
    if (it.draining)
        fleet.remove(store_kind::targets, it.target);
}

auto fleet_drill::fault_of(std::size_t i) const -> std::string
{
    auto const& view = fleet.view(i);
    if (view.config_went_back)
        return "an older configuration was taken up";
    if (fleet.stopping(i))
        return "";
    if (view.ready_went_back)
        return "not ready any more";
    return fleet.runs(i) ? difference(view, fleet.store()) : "";
}

auto fleet_drill::fault() const -> std::string
{
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (auto const f = fault_of(i); !f.empty())
            return "instance " + std::to_string(i) + ": " + f;
    if (!callers.refused.empty())
        return "refused by " + callers.refused.front();
    if (!callers.late.empty())
        return "drained target got requests: " + callers.late.front();
    if (callers.most_shares > 1 + rounding)
        return "sum of shares " + std::to_string(callers.most_shares);
    return "";
}

auto drill_setup(std::size_t instances) -> store_fleet_setup
{
    auto s = store_fleet_setup{};
    s.instances = instances;
    s.bounds.drain = drill_drain;
    return s;
}

} // namespace knapweedstream::dispatch
