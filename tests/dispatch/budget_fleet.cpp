#include "dispatch/budget_fleet.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto step_length = milliseconds{250};
constexpr auto turns_of_step = 5; ///< In which retries may follow.

auto name_of(std::size_t i) -> std::string
{
    return "i" + std::to_string(i);
}

auto sum(std::vector<arrival_counts> const& all,
    std::uint32_t arrival_counts::*member, std::size_t from, std::size_t length)
    -> double
{
    auto n = 0.0;
    for (auto i = from; i < std::min(from + length, all.size()); ++i)
        n += all[i].*member;
    return n;
}

} // namespace

budget_fleet::budget_fleet(fleet_plan const& plan)
    : plan_(plan), receivers_(plan.instances), random_{plan.seed, 0}
{
    bounds_.retry_budget_extra = plan.extra;
    bounds_.retry_budget_ratio = plan.ratio;
    constexpr auto startup = seconds{60};
    access_.resize(plan.instances);
    for (auto i = std::size_t{0}; i < plan.instances; ++i)
        fleet_.push_back(start(i));
    for (auto i = std::size_t{0}; i < plan.instances; ++i)
        read_list(i, plan.instances);
    for (auto const end = now_ + startup; now_ < end; now_ += step_length)
        for (auto i = std::size_t{0}; i < plan.instances; ++i)
        {
            follow_store(i);
            fleet_[i]->advance(step_length);
        }
}

auto budget_fleet::run(duration length, target_faults const& faults) -> void
{
    for (auto const end = now_ + length; now_ < end; now_ += step_length)
    {
        arrivals_.emplace_back();
        submit_step();
        for (auto i = std::size_t{0}; i < fleet_.size(); ++i)
            follow_store(i);
        for (auto turn = 0; turn < turns_of_step; ++turn)
        {
            answer_late();
            for (auto i = std::size_t{0}; i < fleet_.size(); ++i)
            {
                answer(i, faults);
                fleet_[i]->advance(step_length / turns_of_step);
            }
        }
    }
}

auto budget_fleet::run_silent(duration length) -> void
{
    for (auto const end = now_ + length; now_ < end; now_ += step_length)
    {
        arrivals_.emplace_back();
        submit_step();
        for (auto i = std::size_t{0}; i < fleet_.size(); ++i)
            follow_store(i);
        for (auto turn = 0; turn < turns_of_step; ++turn)
            for (auto i = std::size_t{0}; i < fleet_.size(); ++i)
            {
                hold(*fleet_[i], i);
                fleet_[i]->advance(step_length / turns_of_step);
            }
    }
}

auto budget_fleet::grow(std::size_t n) -> void
{
    auto const before = fleet_.size();
    for (auto i = before; i < before + n; ++i)
        fleet_.push_back(start(i));
    for (auto i = std::size_t{0}; i < before; ++i)
        cut_off(i);
    access_.resize(fleet_.size());
    for (auto i = before; i < before + n; ++i)
        read_list(i, fleet_.size());
    receivers_ = fleet_.size();
}

auto budget_fleet::restart(std::size_t i, bool listed) -> void
{
    fleet_[i] = start(i);
    access_[i] = {};
    if (listed)
        read_list(i, fleet_.size());
}

auto budget_fleet::read_list(std::size_t i, std::size_t n) -> void
{
    access_[i].open = n >= fleet_.size();
    carry_out_writes(i);
    feed_list(i, n);
    carry_out_writes(i);
}

auto budget_fleet::lose_records(std::size_t n) -> void
{
    for (auto i = n; i < fleet_.size(); ++i)
        store_.erase(name_of(i));
}

/// Carries out an instance's writes, and answers its lists with all records.
auto budget_fleet::follow_store(std::size_t i) -> void
{
    if (!access_[i].open)
        return;
    carry_out_writes(i);
    if (access_[i].lists > access_[i].answered)
        feed_list(i, fleet_.size());
}

auto budget_fleet::carry_out_writes(std::size_t i) -> void
{
    auto& a = access_[i];
    for (; a.commands < fleet_[i]->all_commands.size(); ++a.commands)
    {
        auto const c = fleet_[i]->all_commands[a.commands];
        auto const* list = std::get_if<store_list>(&c);
        a.lists += list != nullptr && list->kind == store_kind::instances;
        auto const* write = std::get_if<store_write_record>(&c);
        if (write == nullptr)
            continue;
        auto const& name = write->record.name;
        auto const known = store_.find(name);
        auto const matches =
            known == store_.end()
                ? !write->replaced
                : write->replaced &&
                      (*write->replaced == 0 ||
                          *write->replaced == known->second.revision);
        if (matches)
            store_[name] = {name, ++revision_, write->record};
        fleet_[i]->feed(
            matches
                ? store_written{store_kind::instances, name, revision_, {}, {}}
                : store_written{store_kind::instances, name, 0,
                      known == store_.end() ? store_failure::missing
                                            : store_failure::conflict,
                      {}});
    }
}

auto budget_fleet::feed_list(std::size_t i, std::size_t n) -> void
{
    access_[i].answered = access_[i].lists;
    fleet_[i]->feed(
        store_listed{store_kind::instances, records(i, n), "", revision_});
}

auto budget_fleet::worst_use_of_budget() const -> double
{
    auto const steps = duration{bounds_.budget_window} / step_length;
    auto worst = 0.0;
    for (auto i = std::size_t{0}; i < arrivals_.size(); ++i)
        worst = std::max(worst, sum(arrivals_, &arrival_counts::extra, i,
                                    static_cast<std::size_t>(steps)) /
                                    allowed_from(i));
    return worst;
}

auto budget_fleet::start(std::size_t i) -> std::unique_ptr<harness>
{
    auto init = dispatcher_init{};
    init.regions = {{"a", "north"}, {"b", "north"}, {"c", "north"}};
    init.self = {name_of(i), "a", "north"};
    init.bounds = bounds_;
    init.seed = i + 1;
    auto made = std::make_unique<harness>(init, now_);
    made->feed(store_listed{
        store_kind::configuration, {configuration()}, "", registrations_});
    made->feed(store_listed{
        store_kind::targets, registered_targets(), "", registrations_});
    return made;
}

auto budget_fleet::records(std::size_t i, std::size_t n) const
    -> std::vector<stored_object>
{
    auto all = std::vector<stored_object>{};
    for (auto k = std::size_t{0}; k < fleet_.size(); ++k)
        if (auto const it = store_.find(name_of(k));
            it != store_.end() && (k < n || k == i))
            all.push_back(it->second);
    return all;
}

auto budget_fleet::submit_step() -> void
{
    for (auto i = std::size_t{0}; i < fleet_.size(); ++i)
        if (plan_.request_share >= 1 || draw() < plan_.request_share)
        {
            fleet_[i % receivers_]->submit("q" + std::to_string(requests_++));
            arrivals_.back().first += service_ == "s" ? 1 : 0;
        }
}

auto budget_fleet::hold(harness& from, std::size_t i) -> void
{
    for (auto const& it : from.take_sent())
        held_.push_back({i, it, {}});
}

auto budget_fleet::deliver_unread() -> void
{
    for (auto const& it : held_)
    {
        count(it.sent);
        fleet_[it.instance]->succeed(it.sent);
    }
    held_.clear();
}

auto budget_fleet::answer(std::size_t i, target_faults const& faults) -> void
{
    for (auto const& it : fleet_[i]->take_sent())
        answer(i, it, faults);
}

auto budget_fleet::answer(
    std::size_t i, sent_request const& it, target_faults const& faults) -> void
{
    constexpr auto late = milliseconds{600};
    auto& from = *fleet_[i];
    if (it.target == faults.mute)
        return held_.push_back({i, it, {}});
    auto drawn = draw();
    auto const happens = [&](double share)
    {
        drawn -= share;
        return drawn < 0;
    };
    if (happens(faults.unsent))
        return from.feed(
            connection_closed{it.connection, connection_end::closed, true});
    count(it);
    if (happens(faults.reset))
        from.break_connection(it);
    else if (happens(faults.refuse))
    {
        arrived_[it.request].erase(it.target);
        from.reply(it, reply_overloaded{});
    }
    else if (happens(faults.displaced))
    {
        arrived_[it.request].erase(it.target);
        from.reply(it, reply_wrong_target{});
    }
    else if (happens(faults.fail))
        from.reply(it, reply_failure{{500, {}, {}, "x"}});
    else if (happens(faults.late))
        late_.push_back({i, it, now_ + late});
    else
        from.succeed(it);
}

auto budget_fleet::answer_late() -> void
{
    for (auto const& it : late_)
        if (now_ >= it.due)
            fleet_[it.instance]->succeed(it.sent);
    std::erase_if(
        late_, [&](held_request const& it) { return now_ >= it.due; });
}

auto budget_fleet::count(sent_request const& it) -> void
{
    if (!it.target.starts_with("s-"))
        return;
    auto const [known, first] = arrived_.try_emplace(it.request);
    known->second.insert(it.target);
    arrivals_.back().extra += first ? 0 : 1;
}

auto budget_fleet::most_runs() const -> std::size_t
{
    auto most = std::size_t{0};
    for (auto const& [request, targets] : arrived_)
        most = std::max(most, targets.size());
    return most;
}

auto budget_fleet::extra_sends(attempt_kind k) const -> std::size_t
{
    auto n = std::size_t{0};
    for (auto const& it : fleet_)
        for (auto const& f : it->facts<extra_sent>())
            n += f.kind == k ? 1 : 0;
    return n;
}

auto budget_fleet::ends(attempt_end e) const -> std::size_t
{
    auto n = std::size_t{0};
    for (auto const& it : fleet_)
        for (auto const& f : it->facts<attempt_failed>())
            n += f.how == e ? 1 : 0;
    return n;
}

auto budget_fleet::route_to(std::string const& service) -> void
{
    service_ = service;
    ++registrations_;
    for (auto& it : fleet_)
    {
        auto changes = std::vector<stored_change>{};
        for (auto const& o : registered_targets())
            changes.push_back({o, false});
        it->feed(store_changed{store_kind::targets, changes, registrations_});
        it->feed(store_changed{store_kind::configuration,
            {{configuration(), false}}, registrations_});
    }
}

auto budget_fleet::configuration() const -> stored_object
{
    auto r = single_route(service_);
    r.max_attempts = 3;
    return {"main", registrations_, config_of(r, registrations_)};
}

auto budget_fleet::registered_targets() const -> std::vector<stored_object>
{
    auto all = std::vector<stored_object>{};
    for (auto const& it : three_targets(service_))
        all.push_back({it.name, registrations_, it});
    return all;
}

auto budget_fleet::draw() -> double
{
    constexpr auto steps = std::uint64_t{1} << 20;
    return static_cast<double>(draw_below(random_, steps)) /
           static_cast<double>(steps);
}

auto budget_fleet::allowed_from(std::size_t step) const -> double
{
    auto const n =
        static_cast<std::size_t>(duration{bounds_.budget_window} / step_length);
    auto const first = [&](std::size_t from)
    {
        return sum(arrivals_, &arrival_counts::first, from, n);
    };
    auto most = first(step);
    if (step >= n / 2)
        most = std::max(most, first(step - n / 2));
    if (step >= n)
        most = std::max(most, first(step - n));
    return bounds_.retry_budget_ratio * most + bounds_.retry_budget_extra;
}

} // namespace knapweedstream::dispatch
