#include "object_table.hpp"

#include <algorithm>
#include <string_view>

namespace standin
{

namespace
{

constexpr auto page_size = std::size_t{50};
constexpr auto own_kind_prefix = std::string_view{"knapweedstream-"};
constexpr auto undo_limit = std::size_t{5'000}; ///< Revisions.

} // namespace

auto object_table::record(std::string const& kind, json::object const& o,
    bool deleted, std::optional<json::object> before) -> void
{
    history_.push_back({revision_, kind, o, deleted});
    auto const& name = o.at("meta").at("name").as_string();
    undo_steps_.push_back({{kind, std::string(name)}, std::move(before)});
    if (undo_steps_.size() > undo_limit)
        undo_steps_.pop_front();
}

auto object_table::put(std::string const& kind, std::string const& name,
    std::string const& part, json::value const& content,
    std::optional<std::uint64_t> revision) -> std::optional<json::object>
{
    auto& objects = kinds_[kind];
    auto const [it, created] = objects.try_emplace(name);
    auto& o = it->second;
    auto before = created ? std::nullopt : std::optional{o};
    if (created)
        o = json::object{{"meta", json::object{{"name", name}}},
            {"spec", nullptr}, {"status", nullptr}};
    auto& meta = o["meta"].as_object();
    auto const current =
        created ? 0 : meta["revision"].to_number<std::uint64_t>();
    if (revision && *revision != current)
        return std::nullopt;
    if (!created && o[part] == content)
        return o;
    o[part] = content;
    meta["revision"] = ++revision_;
    record(kind, o, false, std::move(before));
    if (part == "spec")
        lost_specs_.erase({kind, name});
    return o;
}

auto object_table::remove(std::string const& kind, std::string const& name)
    -> bool
{
    auto& objects = kinds_[kind];
    auto const it = objects.find(name);
    if (it == objects.end())
        return false;
    ++revision_;
    auto o = it->second;
    o["meta"].as_object()["revision"] = revision_;
    record(kind, o, true, std::move(it->second));
    objects.erase(it);
    lost_specs_.erase({kind, name});
    return true;
}

auto object_table::find(std::string const& kind, std::string const& name) const
    -> json::object const*
{
    auto const k = kinds_.find(kind);
    if (k == kinds_.end())
        return nullptr;
    auto const it = k->second.find(name);
    return it == k->second.end() ? nullptr : &it->second;
}

auto object_table::list(std::string const& kind, std::string const& after) const
    -> json::object
{
    auto items = json::array{};
    auto more = false;
    if (auto const k = kinds_.find(kind); k != kinds_.end())
        for (auto it = k->second.upper_bound(after); it != k->second.end();
             ++it)
        {
            more = items.size() >= page_size;
            if (more)
                break;
            items.push_back(it->second);
        }
    return {{"items", std::move(items)}, {"more", more}, {"at", revision_}};
}

auto object_table::changes(std::string const& kind, std::uint64_t since) const
    -> std::optional<std::vector<change>>
{
    if (since < oldest_revision_ || since > revision_)
        return std::nullopt;
    auto out = std::vector<change>{};
    for (auto const& it : history_)
        if (it.kind == kind && it.revision > since)
            out.push_back(it);
    return out;
}

auto object_table::compact() -> void
{
    oldest_revision_ = ++revision_;
    history_.clear();
    undo_steps_.push_back({});
}

auto object_table::undo(undo_step const& s) -> void
{
    auto const& [kind, name] = s.key;
    if (kind.empty())
        return;
    auto const* now = find(kind, name);
    if (!kind.starts_with(own_kind_prefix))
        lost_specs_.try_emplace(s.key,
            now == nullptr ? std::optional<json::value>{} : now->at("spec"));
    if (s.before)
        kinds_[kind][name] = *s.before;
    else
        kinds_[kind].erase(name);
}

auto object_table::restore(std::size_t n) -> void
{
    ++era_;
    for (; n > 0 && !undo_steps_.empty(); --n)
    {
        undo(undo_steps_.back());
        undo_steps_.pop_back();
        --revision_;
    }
    oldest_revision_ = std::min(oldest_revision_, revision_);
    std::erase_if(
        history_, [this](change const& it) { return it.revision > revision_; });
}

auto object_table::write_again() -> void
{
    for (auto const& [key, spec] : std::exchange(lost_specs_, {}))
        if (spec)
            put(key.first, key.second, "spec", *spec, {});
        else
            remove(key.first, key.second);
}

} // namespace standin
