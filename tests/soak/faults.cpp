// Injects the faults of a run and records when they may affect requests.
#include "soak_run.hpp"

#include <csignal>

namespace soak
{

namespace
{

constexpr auto grace = ks::seconds{6}; ///< From SIGTERM to the exit.

} // namespace

auto soak_run::inject_next_fault() -> void
{
    if (!faults_enabled_)
        return;
    ++faults_;
    switch (random_below(10))
    {
    case 0:
    case 1:
    case 2:
        inject_target_fault();
        break;
    case 3:
    case 4:
    case 5:
        inject_link_fault();
        break;
    case 6:
        inject_store_fault();
        break;
    case 7:
        change_config();
        break;
    default:
        inject_instance_fault();
    }
    after(random_duration(0.1, 0.5), [this] { inject_next_fault(); });
}

auto soak_run::inject_target_fault() -> void
{
    auto const i = random_below(proxies_.size());
    auto const name = deployment_->name_of(i);
    history_.services[name] = deployment_->service_of(i);
    if (!deployment_->is_up(i))
        return;
    switch (random_below(5))
    {
    case 0: // The target crashes and restarts under a new name.
        deployment_->kill(i);
        after(random_duration(0.3, 2), [this, i] { restart(i); });
        break;
    case 1: // The target drains, then restarts.
        drain(i);
        break;
    case 2: // The registration is removed and added again.
        deployment_->deregister_target(i);
        after(random_duration(0.1, 1),
            [this, i, name]
            {
                if (deployment_->name_of(i) == name &&
                    !history_.draining.contains(name))
                    deployment_->register_target(i, "ready");
            });
        break;
    default:
        deployment_->target(i).inject_faults(
            static_cast<standin::reply_fault>(1 + random_below(11)),
            1 + random_below(6));
    }
}

auto soak_run::drain(std::size_t i) -> void
{
    history_.draining[deployment_->name_of(i)] = ks::steady_now();
    deployment_->register_target(i, "draining");
    after(random_duration(8, 10), [this, i] { restart(i); });
}

auto soak_run::restart(std::size_t i) -> void
{
    deployment_->restart(i);
    history_.services[deployment_->name_of(i)] = deployment_->service_of(i);
}

auto soak_run::inject_link_fault() -> void
{
    auto const i = random_below(proxies_.size());
    switch (random_below(7))
    {
    case 0:
        proxies_[i]->reset_open();
        break;
    case 1:
        proxies_[i]->drop_all_open();
        break;
    default:
        proxies_[i]->set(static_cast<link_fault>(1 + random_below(5)));
        after(random_duration(0.2, 2),
            [this, i] { proxies_[i]->set(link_fault::none); });
    }
}

auto soak_run::inject_store_fault() -> void
{
    auto const length = random_duration(0.3, 3);
    add_store_fault(length);
    switch (random_below(5))
    {
    case 0:
        store_proxy_->reset_open();
        break;
    case 1:
        store_proxy_->drop_all_open();
        break;
    case 2:
        deployment_->store().table().compact();
        break;
    case 3:
        store_proxy_->set(static_cast<link_fault>(1 + random_below(5)));
        break;
    default:
        deployment_->store().set_mode(
            static_cast<standin::store_mode>(1 + random_below(5)));
    }
    after(length,
        [this]
        {
            store_proxy_->set(link_fault::none);
            deployment_->store().set_mode(standin::store_mode::good);
        });
}

auto soak_run::inject_restored_store() -> void
{
    if (!faults_enabled_)
        return;
    ++faults_;
    restore_store(1 + random_below(60), random_below(2) * 100);
    after(random_duration(1, 8), [this] { inject_restored_store(); });
}

/// Restores the store from a copy that lacks the last revisions. If `more` are
/// written, that is before any instance can call, as is what operator and
/// targets write again.
auto soak_run::restore_store(std::size_t lost_revisions, std::size_t more)
    -> void
{
    auto const to_ms = [](ks::duration d)
    {
        return std::chrono::duration_cast<ks::milliseconds>(d);
    };
    auto const away = random_duration(0, 1.5);
    auto const rewrite = more > 0 ? away / 2 : random_duration(0.05, 2);
    auto const l =
        standin::store_loss{lost_revisions, to_ms(away), to_ms(rewrite)};
    history_.store_faults.push_back(
        {ks::steady_now(), ks::steady_now() + std::max(l.away, l.rewrite)});
    deployment_->store().restore(l);
    after(l.rewrite,
        [this, more]
        {
            auto& table = deployment_->store().table();
            for (std::size_t n = 0; n < more; ++n)
                table.put("other", "x", "spec", table.revision(), {});
        });
}

auto soak_run::inject_instance_fault() -> void
{
    auto const i = random_below(instances_.size());
    if (instances_[i].stopping || instances_[i].paused)
        return;
    switch (random_below(5))
    {
    case 0:
        stop(i);
        break;
    case 1:
        kill_instance(i);
        break;
    case 2:
    case 3:
        pause(i, random_duration(0.1, 1.5));
        break;
    default:
        instances_[i].running->send(SIGHUP);
    }
}

auto soak_run::change_config() -> void
{
    auto const shard = random_below(settings_.shards);
    deployment_->configure(++config_, shard);
    history_.configs.push_back(
        {ks::steady_now(), deployment_->service_of(shard * replicas)});
}

auto soak_run::stop(std::size_t i) -> void
{
    instances_[i].stopping = true;
    instances_[i].running->send(SIGTERM);
    // A stopping instance keeps its callers' connections open for at least
    // 2.5 s; until then no request may be interrupted.
    history_.instance_faults[i].push_back(
        {ks::steady_now() + ks::milliseconds{2'500}, ks::steady_now() + grace});
    await_exit(i, ks::steady_now());
}

auto soak_run::await_exit(std::size_t i, ks::time_point stop_sent) -> void
{
    auto const code = instances_[i].running->exit_code(ks::seconds{0});
    if (code == processes::still_runs && ks::steady_now() < stop_sent + grace)
        return after(ks::milliseconds{50},
            [this, i, stop_sent] { await_exit(i, stop_sent); });
    if (code != 0)
        violations_.push_back({"a stopped instance exits with 0 in time",
            "i" + std::to_string(i) + " exit code " + std::to_string(code)});
    start_instance(i);
}

auto soak_run::kill_instance(std::size_t i) -> void
{
    instances_[i].stopping = true;
    add_instance_fault(i, ks::seconds{1});
    instances_[i].running->send(SIGKILL);
    after(random_duration(0.1, 1), [this, i] { start_instance(i); });
}

auto soak_run::pause(std::size_t i, ks::duration length) -> void
{
    instances_[i].paused = true;
    add_instance_fault(i, length + ks::milliseconds{500});
    instances_[i].running->send(SIGSTOP);
    after(length,
        [this, i]
        {
            instances_[i].running->send(SIGCONT);
            instances_[i].paused = false;
        });
}

auto soak_run::add_instance_fault(std::size_t i, ks::duration length) -> void
{
    history_.instance_faults[i].push_back(
        {ks::steady_now(), ks::steady_now() + length});
}

auto soak_run::add_store_fault(ks::duration length) -> void
{
    // Instances notice within half a second that the store is back.
    history_.store_faults.push_back({ks::steady_now() - ks::seconds{1},
        ks::steady_now() + length + ks::seconds{3}});
}

auto soak_run::end_faults() -> void
{
    faults_enabled_ = false;
    store_proxy_->set(link_fault::none);
    deployment_->store().set_mode(standin::store_mode::good);
    for (auto const& it : proxies_)
        it->set(link_fault::none);
}

} // namespace soak
