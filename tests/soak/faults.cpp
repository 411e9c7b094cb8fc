// The faults of a run, and when they excuse what callers see.
#include "world.hpp"

#include <csignal>

namespace soak
{

namespace
{

constexpr auto grace = ks::seconds{6};

} // namespace

auto world::next_fault() -> void
{
    if (!faulty_)
        return;
    ++faults_;
    switch (below(10))
    {
    case 0:
    case 1:
    case 2:
        fault_target();
        break;
    case 3:
    case 4:
    case 5:
        fault_link();
        break;
    case 6:
        fault_store();
        break;
    case 7:
        change_config();
        break;
    default:
        fault_instance();
    }
    after(between(0.1, 0.5), [this] { next_fault(); });
}

auto world::fault_target() -> void
{
    auto const i = below(proxies_.size());
    auto const name = deployment_->name_of(i);
    history_.services[name] = deployment_->service_of(i);
    if (!deployment_->is_up(i))
        return;
    auto const restart = [this, i]
    {
        deployment_->restart(i);
        history_.services[deployment_->name_of(i)] = deployment_->service_of(i);
    };
    switch (below(5))
    {
    case 0: // It crashes and is back under another name.
        deployment_->kill(i);
        after(between(0.3, 2), restart);
        break;
    case 1: // It leaves in order.
        history_.draining[name] = ks::steady_now();
        deployment_->enlist(i, "draining");
        after(between(8, 10), restart);
        break;
    case 2: // Its registration lapses and comes back.
        deployment_->delist(i);
        after(between(0.1, 1),
            [this, i, name]
            {
                if (deployment_->name_of(i) == name &&
                    !history_.draining.contains(name))
                    deployment_->enlist(i, "ready");
            });
        break;
    default:
        deployment_->target(i).plant(
            static_cast<standin::reply_fault>(1 + below(11)), 1 + below(6));
    }
}

auto world::fault_link() -> void
{
    auto const i = below(proxies_.size());
    switch (below(7))
    {
    case 0:
        proxies_[i]->reset_open();
        break;
    case 1:
        proxies_[i]->silence_open();
        break;
    default:
        proxies_[i]->set(static_cast<link_fault>(1 + below(5)));
        after(
            between(0.2, 2), [this, i] { proxies_[i]->set(link_fault::none); });
    }
}

auto world::fault_store() -> void
{
    auto const length = between(0.3, 3);
    excuse_store(length);
    switch (below(5))
    {
    case 0:
        store_proxy_->reset_open();
        break;
    case 1:
        store_proxy_->silence_open();
        break;
    case 2:
        deployment_->store().table().compact();
        break;
    case 3:
        store_proxy_->set(static_cast<link_fault>(1 + below(5)));
        break;
    default:
        deployment_->store().set_mode(
            static_cast<standin::store_mode>(1 + below(5)));
    }
    after(length,
        [this]
        {
            store_proxy_->set(link_fault::none);
            deployment_->store().set_mode(standin::store_mode::good);
        });
}

auto world::fault_instance() -> void
{
    auto const i = below(instances_.size());
    if (instances_[i].stopping || instances_[i].paused)
        return;
    switch (below(5))
    {
    case 0:
        stop(i);
        break;
    case 1:
        kill_instance(i);
        break;
    case 2:
    case 3:
        pause(i);
        break;
    default:
        instances_[i].running->send(SIGHUP);
    }
}

auto world::change_config() -> void
{
    deployment_->configure(++config_, below(settings_.shards));
}

auto world::stop(std::size_t i) -> void
{
    instances_[i].stopping = true;
    instances_[i].running->send(SIGTERM);
    // Until its callers' connections are closed nothing may be cut.
    history_.instances[i].push_back(
        {ks::steady_now() + ks::milliseconds{2'500}, ks::steady_now() + grace});
    watch_exit(i, ks::steady_now());
}

auto world::watch_exit(std::size_t i, ks::time_point asked) -> void
{
    auto const code = instances_[i].running->exit_code(ks::seconds{0});
    if (code == -1 && ks::steady_now() < asked + grace)
        return after(
            ks::milliseconds{50}, [this, i, asked] { watch_exit(i, asked); });
    if (code != 0)
        found_.push_back({"a stopped instance exits with 0 in time",
            "i" + std::to_string(i) + " code " + std::to_string(code)});
    start_instance(i);
}

auto world::kill_instance(std::size_t i) -> void
{
    instances_[i].stopping = true;
    excuse_instance(i, ks::seconds{1});
    instances_[i].running->send(SIGKILL);
    after(between(0.1, 1), [this, i] { start_instance(i); });
}

auto world::pause(std::size_t i) -> void
{
    auto const length = between(0.1, 1.5);
    instances_[i].paused = true;
    excuse_instance(i, length + ks::milliseconds{500});
    instances_[i].running->send(SIGSTOP);
    after(length,
        [this, i]
        {
            instances_[i].running->send(SIGCONT);
            instances_[i].paused = false;
        });
}

auto world::excuse_instance(std::size_t i, ks::duration for_) -> void
{
    history_.instances[i].push_back(
        {ks::steady_now(), ks::steady_now() + for_});
}

auto world::excuse_store(ks::duration for_) -> void
{
    // Instances learn of its return within half a second.
    history_.store.push_back({ks::steady_now() - ks::seconds{1},
        ks::steady_now() + for_ + ks::seconds{3}});
}

auto world::heal() -> void
{
    faulty_ = false;
    store_proxy_->set(link_fault::none);
    deployment_->store().set_mode(standin::store_mode::good);
    for (auto const& it : proxies_)
        it->set(link_fault::none);
}

} // namespace soak
