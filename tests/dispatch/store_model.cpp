#include "dispatch/store_model.hpp"

#include <algorithm>
#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

/// Revision before the first change.
constexpr auto first_revision = std::uint64_t{10};

auto values_of(std::map<std::string, stored_object> const& all)
    -> std::vector<stored_object>
{
    auto out = std::vector<stored_object>{};
    for (auto const& [name, it] : all)
        out.push_back(it);
    return out;
}

} // namespace

auto store_model::write(store_kind kind, stored_object o, time_point now)
    -> std::uint64_t
{
    o.revision = newest() + 1;
    history_.push_back({kind, {std::move(o), false}, now});
    apply(history_.back());
    return newest();
}

auto store_model::remove(
    store_kind kind, std::string const& name, time_point now) -> void
{
    auto const* known = find(kind, name);
    if (known == nullptr)
        return;
    auto o = *known;
    o.revision = newest() + 1;
    history_.push_back({kind, {std::move(o), true}, now});
    apply(history_.back());
}

auto store_model::apply(acknowledged_change const& c) -> void
{
    auto const& o = c.change.object;
    newest_of_[c.kind] = o.revision;
    if (c.change.deleted)
        objects_[c.kind].erase(o.name);
    else
        objects_[c.kind][o.name] = o;
}

auto store_model::restore(time_point from) -> std::vector<acknowledged_change>
{
    return lose(newest() - revision_at(from));
}

auto store_model::lose(std::size_t revisions)
    -> std::vector<acknowledged_change>
{
    auto const n = std::min(revisions, history_.size());
    auto const kept = history_.end() - static_cast<std::ptrdiff_t>(n);
    auto lost = std::vector<acknowledged_change>(kept, history_.end());
    history_.erase(kept, history_.end());
    objects_.clear();
    newest_of_.clear();
    for (auto const& it : history_)
        apply(it);
    ++era_;
    return lost;
}

auto store_model::newest() const -> std::uint64_t
{
    return first_revision + history_.size();
}

auto store_model::newest_of(store_kind kind) const -> std::uint64_t
{
    auto const it = newest_of_.find(kind);
    return it == newest_of_.end() ? 0 : it->second;
}

auto store_model::revision_at(time_point t) const -> std::uint64_t
{
    auto const after = std::partition_point(history_.begin(), history_.end(),
        [&](acknowledged_change const& it) { return it.at <= t; });
    return first_revision +
           static_cast<std::uint64_t>(after - history_.begin());
}

auto store_model::find(store_kind kind, std::string const& name) const
    -> stored_object const*
{
    auto const all = objects_.find(kind);
    if (all == objects_.end())
        return nullptr;
    auto const it = all->second.find(name);
    return it == all->second.end() ? nullptr : &it->second;
}

auto store_model::objects(store_kind kind) const -> std::vector<stored_object>
{
    auto const it = objects_.find(kind);
    return it == objects_.end() ? std::vector<stored_object>{}
                                : values_of(it->second);
}

auto store_model::objects_at(store_kind kind, std::uint64_t revision) const
    -> std::vector<stored_object>
{
    if (revision >= newest_of(kind))
        return objects(kind);
    auto all = objects_by_name{};
    for (auto const& it : history_)
    {
        auto const& o = it.change.object;
        if (o.revision > revision)
            break;
        if (it.kind != kind)
            continue;
        all.erase(o.name);
        if (!it.change.deleted)
            all.emplace(o.name, o);
    }
    return values_of(all);
}

auto store_model::changes_after(store_kind kind, std::uint64_t since) const
    -> std::vector<stored_change>
{
    auto out = std::vector<stored_change>{};
    auto const skipped = since > first_revision ? since - first_revision : 0;
    for (auto i = skipped; i < history_.size(); ++i)
        if (history_[i].kind == kind)
            out.push_back(history_[i].change);
    return out;
}

} // namespace knapweedstream::dispatch
