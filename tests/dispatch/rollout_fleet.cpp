#include "dispatch/rollout_fleet.hpp"

#include <algorithm>

namespace knapweedstream::dispatch
{

namespace
{

constexpr auto order_length = seconds{12};
constexpr auto rollback_bound = seconds{5};
constexpr auto counted_bad = std::size_t{50};
constexpr auto step = milliseconds{2};

auto targets_of(std::string const& version) -> std::vector<target_registration>
{
    auto list = three_targets("s");
    for (auto& it : list)
    {
        it.version = version;
        it.name += "-" + version;
        it.address = it.name + ":1";
    }
    return list;
}

auto registrations() -> std::vector<target_registration>
{
    auto all = targets_of("v1");
    for (auto const& it : targets_of("v2"))
        all.push_back(it);
    return all;
}

auto fleet_of(std::size_t n) -> std::vector<instance_record>
{
    auto const zones = std::vector<std::pair<std::string, std::string>>{
        {"a", "north"}, {"b", "south"}, {"c", "west"}};
    auto fleet = std::vector<instance_record>{};
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const& [zone, region] = zones[i % zones.size()];
        fleet.push_back({"n" + std::to_string(i), zone, region});
    }
    return fleet;
}

} // namespace

rollout_fleet::rollout_fleet(
    std::size_t n, version_model const& model, std::vector<route> const& routes)
    : model_(model), order_{"s", "v2", order_length, order_state::waiting},
      commands_read_(n, 0)
{
    auto config = config_of(single_route("s"));
    if (!routes.empty())
        config.routes = routes;
    auto const fleet = fleet_of(n);
    for (auto const& it : fleet)
    {
        auto h = std::make_unique<harness>(dispatch_limits{}, it.zone, it.name);
        h->finish_startup();
        h->feed_lists(config, registrations(), fleet);
        instances.push_back(std::move(h));
    }
    now_ = instances.front()->now;
}

auto rollout_fleet::publish(stored_change const& c, store_kind kind) -> void
{
    for (auto& it : instances)
        it->feed(store_changed{kind, {c}, revision_});
}

auto rollout_fleet::order() -> void
{
    ordered_at_ = now_;
    order_.state = order_state::waiting;
    publish_order();
}

auto rollout_fleet::remove_order() -> void
{
    publish({{"s", ++revision_, order_}, true}, store_kind::rollouts);
}

auto rollout_fleet::order_other(std::string const& version) -> void
{
    order_ = {"s", version, order_length, order_state::waiting};
    publish_order();
}

auto rollout_fleet::draw() -> double
{
    constexpr auto steps = std::uint64_t{1} << 20;
    return static_cast<double>(draw_below(random_, steps)) /
           static_cast<double>(steps);
}

auto rollout_fleet::submit(std::string const& path) -> void
{
    auto const id = "q" + std::to_string(submitted_);
    requests_[id] = {path, now_};
    auto const i = static_cast<std::size_t>(
        draw() * static_cast<double>(instances.size()));
    ++submitted_;
    instances[i]->submit(id, path);
}

auto rollout_fleet::take_requests(std::size_t i) -> void
{
    for (auto const& it : instances[i]->take_sent())
    {
        auto const& from = requests_.at(it.request);
        auto const is_new = it.target.ends_with("v2");
        (is_new ? new_sent : old_sent) += 1;
        auto const open =
            now_ >= ordered_at_ && now_ < ordered_at_ + order_length;
        until_deadline_ += open ? 1 : 0;
        exposed_ += open && is_new ? 1 : 0;
        sent_too_late += is_new && fiftieth_bad_ != time_point::max() &&
                                 from.at > fiftieth_bad_ + rollback_bound
                             ? 1
                             : 0;
        auto const faulty =
            is_new && now_ >= ordered_at_ + model_.sound_for &&
            (model_.only_path.empty() || model_.only_path == from.path);
        auto const failed = faulty && draw() < model_.failing;
        auto const slow = faulty && draw() < model_.slow;
        pending_.push_back(
            {i, it, now_ + (slow ? model_.slow_time : model_.usual_time),
                failed, failed || slow});
    }
}

auto rollout_fleet::deliver_replies() -> void
{
    auto due = std::vector<pending_reply>{};
    std::erase_if(pending_,
        [&](pending_reply const& it)
        {
            if (it.due > now_)
                return false;
            due.push_back(it);
            return true;
        });
    for (auto const& it : due)
    {
        bad += it.bad ? 1 : 0;
        if (bad >= counted_bad && fiftieth_bad_ == time_point::max())
            fiftieth_bad_ = now_;
        if (it.failed)
            instances[it.instance]->reply(
                it.request, reply_failure{{500, "sig", {}, ""}});
        else
            instances[it.instance]->succeed(it.request);
    }
}

/// Applies a conditional write to the order, if its condition holds.
auto rollout_fleet::write_state(store_write_order_state const& c) -> void
{
    if (c.revision != order_revision_)
        return;
    order_.state = c.state;
    publish_order();
}

auto rollout_fleet::publish_order() -> void
{
    order_revision_ = ++revision_;
    publish({{"s", order_revision_, order_}, false}, store_kind::rollouts);
}

/// Applies the writes of an instance to the store and delivers them to all.
auto rollout_fleet::carry_writes(std::size_t i) -> void
{
    auto const& all = instances[i]->all_commands;
    auto const lost =
        std::find(cut_off.begin(), cut_off.end(), i) != cut_off.end();
    auto& read = commands_read_[i];
    while (read < all.size())
    {
        auto const c = all[read++];
        if (lost)
            continue;
        if (auto const* it = std::get_if<store_write_order_state>(&c))
            write_state(*it);
        if (auto const* it = std::get_if<store_write_report>(&c))
            publish({{it->report.name, ++revision_, it->report}, false},
                store_kind::reports);
    }
}

auto rollout_fleet::run(rollout_load const& load, duration length) -> void
{
    auto const gap =
        duration{static_cast<duration::rep>(1'000'000 / load.rate_per_s)};
    auto next = now_;
    for (auto const end = now_ + length; now_ < end; now_ += step)
    {
        for (; next <= now_; next += gap)
            submit(load.paths[submitted_ % load.paths.size()]);
        deliver_replies();
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            instances[i]->advance(step);
            take_requests(i);
            carry_writes(i);
        }
    }
}

auto rollout_fleet::excess() const -> double
{
    auto const bounds = dispatch_bounds{};
    return static_cast<double>(exposed_) - bounds.exposure_slack -
           bounds.exposure_share * static_cast<double>(until_deadline_);
}

} // namespace knapweedstream::dispatch
