#include "dispatch/instance_view.hpp"

#include <knapweedstream/overloaded.hpp>

namespace knapweedstream::dispatch
{

namespace
{

auto with_target(instance_view v, target_condition_changed const& f)
    -> instance_view
{
    if (f.condition == target_condition::registered)
        v.targets[f.target] = false;
    if (f.condition == target_condition::draining)
        v.targets[f.target] = true;
    if (f.condition == target_condition::gone)
        v.targets.erase(f.target);
    return v;
}

auto with_config(instance_view v, config_applied const& f) -> instance_view
{
    v.config_went_back |= f.version < v.config_version;
    v.config_version = f.version;
    return v;
}

auto with_zone(instance_view v, zone_changed const& f) -> instance_view
{
    if (f.evacuated)
        v.evacuated.insert(f.zone);
    else
        v.evacuated.erase(f.zone);
    return v;
}

auto with_readiness(instance_view v, readiness_changed const& f)
    -> instance_view
{
    v.ready_went_back |= v.ready && !f.ready;
    v.ready = f.ready;
    return v;
}

/// The view of an instance that knows the store's content.
auto view_of(store_model const& store) -> instance_view
{
    auto v = instance_view{};
    for (auto const& it : store.objects(store_kind::targets))
        v.targets[it.name] = std::get<target_registration>(it.value).draining;
    for (auto const& it : store.objects(store_kind::evacuations))
        v.evacuated.insert(it.name);
    if (auto const* it = store.find(store_kind::configuration, "main"))
        v.config_version = std::get<routing_config>(it->value).version;
    return v;
}

auto describe(std::map<std::string, bool> const& targets) -> std::string
{
    auto out = std::string{};
    for (auto const& [name, draining] : targets)
        out += " " + name + (draining ? "/draining" : "");
    return out;
}

} // namespace

auto with_fact(instance_view v, fact const& f) -> instance_view
{
    return std::visit(
        overloaded{[&](target_condition_changed const& it)
            { return with_target(std::move(v), it); },
            [&](config_applied const& it)
            { return with_config(std::move(v), it); },
            [&](zone_changed const& it) { return with_zone(std::move(v), it); },
            [&](readiness_changed const& it)
            { return with_readiness(std::move(v), it); },
            [&](store_source_changed const& it)
            {
                v.attached = !it.relay.empty();
                return std::move(v);
            },
            [&](auto const&)
            {
                return std::move(v);
            }},
        f);
}

auto difference(instance_view const& v, store_model const& store) -> std::string
{
    auto const wanted = view_of(store);
    if (v.config_version != wanted.config_version)
        return "configuration " + std::to_string(v.config_version) +
               " instead of " + std::to_string(wanted.config_version);
    if (v.targets != wanted.targets)
        return "targets" + describe(v.targets) + " instead of" +
               describe(wanted.targets);
    return v.evacuated != wanted.evacuated ? "evacuated zones differ" : "";
}

} // namespace knapweedstream::dispatch
