#include "leaf.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace standin
{

namespace
{

namespace json = boost::json;

constexpr auto restart_delay = ks::milliseconds{300};
constexpr auto rows_per_shard = 3;
/// Multiplies the service time while the load exceeds the cold budget.
constexpr auto cold_overload_factor = 4;

auto rows_json(std::uint32_t shard, std::uint64_t version) -> std::string
{
    auto rows = json::array{};
    for (auto i = 0; i < rows_per_shard; ++i)
        rows.push_back(json::object{
            {"key", "s" + std::to_string(shard) + "-v" +
                        std::to_string(version) + "-" + std::to_string(i)},
            {"score", 1.0 / (1 + i) + shard * 1e-6}});
    return json::serialize(json::object{{"rows", std::move(rows)}});
}

} // namespace

leaf::leaf(event_base* base, leaf_settings const& settings)
    : base_(base), settings_(settings), random_(settings.seed),
      timer_(base, [this] { complete_due(); }),
      restart_(base, [this] { start(); })
{
    start();
}

auto leaf::start() -> void
{
    boot_ = random_() >> 1 | 1;
    cold_since_ = ks::steady_now();
    server_ = std::make_unique<http_server>(
        base_, settings_.port, [this](request r) { on_request(r); });
}

auto leaf::is_cold(ks::time_point now) const -> bool
{
    return now - cold_since_ < settings_.warmup;
}

auto leaf::cold_budget(ks::time_point now) const -> std::uint32_t
{
    auto const full = settings_.slots + settings_.queue;
    if (!is_cold(now))
        return full;
    auto const passed = (now - cold_since_).count();
    auto const total = ks::duration{settings_.warmup}.count();
    auto const extra = (full - settings_.cold_concurrency) * passed / total;
    return settings_.cold_concurrency + static_cast<std::uint32_t>(extra);
}

auto leaf::serves(std::uint64_t version) const -> bool
{
    auto const all = "," + settings_.versions + ",";
    return all.find("," + std::to_string(version) + ",") != std::string::npos;
}

auto leaf::is_silent(request r) const -> bool
{
    return silent_connections_.contains(r.connection());
}

auto leaf::service_time() -> ks::duration
{
    auto jitter = std::uniform_real_distribution<double>{0.5, 1.5};
    auto uniform = std::uniform_real_distribution<double>{0, 1};
    auto us = static_cast<double>(settings_.service.count()) * jitter(random_);
    if (uniform(random_) < settings_.straggle_share)
        us *= settings_.straggle_factor;
    auto const now = ks::steady_now();
    if (is_cold(now) && load() > cold_budget(now))
        us *= cold_overload_factor;
    return ks::duration{static_cast<ks::duration::rep>(us)};
}

auto leaf::add_status_fields(request r, std::string const& id) -> void
{
    r.add_header("X-Request-Id", id);
    r.add_header("X-Boot-Id", std::to_string(boot_));
    r.add_header("X-Serves", settings_.versions);
    r.add_header("X-Shard", std::to_string(settings_.shard));
    r.add_header("X-Epoch", std::to_string(settings_.epoch));
    if (draining_)
        r.add_header("X-Draining", "1");
}

auto leaf::refuse(request r, int status, bool not_run) -> void
{
    add_status_fields(r, r.field("X-Request-Id"));
    if (not_run)
        r.add_header("X-Not-Run", "1");
    r.reply(status, "{}");
}

auto leaf::on_request(request r) -> void
{
    auto const path = r.path();
    if (path == "/control")
        return control(r);
    if (frozen_ || is_silent(r))
        return held_.push_back(r);
    if (path == "/health" || path == "/load")
        return r.reply(always_healthy_ || !draining_ ? 200 : 503,
            "{\"load\":" + std::to_string(always_healthy_ ? 0 : load()) + "}");
    if (path == "/v1/hello")
    {
        return on_hello(r);
    }
    if (path == "/v1/cancel")
        return cancel(r);
    if (path == "/v1/search")
        return accept(r, false);
    if (path == "/v1/book")
        return accept(r, true);
    r.reply(404, "{}");
}

auto leaf::on_hello(request r) -> void
{
    if (!greeted_.contains(r.connection()) &&
        greeted_.size() >= settings_.connections)
        return refuse(r, 503, true);
    greeted_.insert(r.connection());
    evhttp_connection_set_closecb(
        r.connection(),
        [](evhttp_connection* it, void* arg)
        { static_cast<leaf*>(arg)->greeted_.erase(it); },
        this);
    pending_hellos_.emplace_back(r, ks::steady_now() + settings_.connect_cost);
    arm_timer();
}

auto leaf::counters() const -> std::string
{
    auto runs = json::object{};
    for (auto const& [key, n] : booking_runs_)
        runs[key] = n;
    return json::serialize(json::object{{"served", served_},
        {"received", received_}, {"cancelled", cancelled_}, {"shed", shed_},
        {"crashes", crashes_}, {"over_cold_budget", over_cold_budget_},
        {"ledger", std::move(runs)}});
}

auto leaf::control(request r) -> void
{
    auto const flag = [&](char const* name, bool& out)
    {
        auto const v = r.query_param(name);
        if (!v.empty())
            out = v == "1";
    };
    auto const was_frozen = frozen_;
    flag("frozen", frozen_);
    flag("crossed", mismatched_id_);
    flag("late", ignore_cancel_);
    flag("draining", draining_);
    flag("lie", always_healthy_);
    flag("mute_bookings", drop_booking_replies_);
    if (auto const v = r.query_param("service_us"); !v.empty())
        settings_.service = ks::duration{parse_number(v, 1000)};
    if (auto const v = r.query_param("straggle_share"); !v.empty())
        settings_.straggle_share = std::strtod(v.c_str(), nullptr);
    if (auto const v = r.query_param("straggle_factor"); !v.empty())
        settings_.straggle_factor = std::strtod(v.c_str(), nullptr);
    if (auto const v = r.query_param("versions"); !v.empty())
        settings_.versions = v;
    if (auto const v = r.query_param("epoch"); !v.empty())
        settings_.epoch = parse_number(v, 1u);
    if (auto const v = r.query_param("crash_on"); !v.empty())
        crash_on_ = v;
    if (r.query_param("cold") == "1")
        cold_since_ = ks::steady_now();
    if (r.query_param("silent") == "1")
        silent_connections_ = greeted_;
    if (r.query_param("silent") == "0")
        silent_connections_.clear();
    r.reply(200, counters());
    if (r.query_param("exit") == "1")
        event_base_loopbreak(base_);
    if (!was_frozen || frozen_)
        return;
    auto const held = std::exchange(held_, {});
    for (auto const& it : held)
        on_request(it);
    arm_timer();
}

auto leaf::accept(request r, bool booking) -> void
{
    ++received_;
    auto const now = ks::steady_now();
    auto const text = r.body();
    if (!crash_on_.empty() && text == crash_on_)
        return crash();
    auto const version = parse_number(r.field("X-Snapshot"), std::uint64_t{0});
    auto const epoch = parse_number(r.field("X-Epoch"), 0u);
    if (parse_number(r.field("X-Shard"), ~0u) != settings_.shard)
        return refuse(r, 404, true);
    if (!booking && (!serves(version) || epoch != settings_.epoch))
        return refuse(r, 409, true);
    if (is_cold(now) && load() + 1 > cold_budget(now))
        ++over_cold_budget_;
    if (load() >= settings_.slots + settings_.queue)
    {
        ++shed_;
        return refuse(r, 503, true);
    }
    auto const left =
        ks::milliseconds{parse_number(r.field("X-Deadline-Ms"), 1000)};
    queue_.push_back({parse_number(r.field("X-Request-Id"), std::uint64_t{0}),
        r, booking, text, r.field("Idempotency-Key"), version, now + left, {}});
    run_next();
}

auto leaf::cancel(request r) -> void
{
    auto const id = parse_number(r.field("X-Request-Id"), std::uint64_t{0});
    auto const matches = [&](work const& w)
    {
        return w.id == id && !w.booking;
    };
    r.reply(200, "{}");
    if (ignore_cancel_)
        return;
    for (auto* list : {&running_})
        if (auto it = std::find_if(list->begin(), list->end(), matches);
            it != list->end())
        {
            auto const w = *it;
            list->erase(it);
            ++cancelled_;
            refuse(w.r, 499, false);
        }
    if (auto it = std::find_if(queue_.begin(), queue_.end(), matches);
        it != queue_.end())
    {
        auto const w = *it;
        queue_.erase(it);
        ++cancelled_;
        refuse(w.r, 499, true);
    }
    run_next();
}

auto leaf::run_next() -> void
{
    auto const now = ks::steady_now();
    while (!queue_.empty() && running_.size() < settings_.slots)
    {
        auto w = queue_.front();
        queue_.pop_front();
        if (now > w.deadline)
        {
            ++cancelled_;
            refuse(w.r, 499, true);
            continue;
        }
        w.done_at = now + service_time();
        running_.push_back(w);
    }
    arm_timer();
}

auto leaf::finish(work const& w) -> void
{
    ++served_;
    if (w.booking)
    {
        ++booking_runs_[w.key];
        if (drop_booking_replies_)
            return held_.push_back(w.r);
    }
    if (is_silent(w.r))
        return held_.push_back(w.r);
    auto const id = mismatched_id_ ? w.id + 1 : w.id;
    add_status_fields(w.r, std::to_string(id));
    w.r.add_header("X-Snapshot", std::to_string(w.version));
    if (w.booking)
        w.r.add_header("X-Reference", "ref-" + w.key);
    w.r.reply(200, w.booking ? "{}" : rows_json(settings_.shard, w.version));
}

auto leaf::crash() -> void
{
    ++crashes_;
    queue_.clear();
    running_.clear();
    pending_hellos_.clear();
    held_.clear();
    greeted_.clear();
    silent_connections_.clear();
    // The server must not be freed inside its own callback.
    restart_.after(restart_delay);
    auto* old = server_.release();
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg)
        { delete static_cast<http_server*>(arg); },
        old, nullptr);
}

auto leaf::arm_timer() -> void
{
    auto next = ks::time_point::max();
    for (auto const& it : running_)
        next = std::min(next, it.done_at);
    for (auto const& it : pending_hellos_)
        next = std::min(next, it.second);
    if (next != ks::time_point::max())
        timer_.after(next - ks::steady_now());
}

auto leaf::complete_due() -> void
{
    if (frozen_)
        return;
    auto const now = ks::steady_now();
    auto finished = std::vector<work>{};
    std::erase_if(running_,
        [&](work const& w)
        {
            if (w.done_at <= now)
                finished.push_back(w);
            return w.done_at <= now;
        });
    for (auto const& w : finished)
        finish(w);
    auto due_hellos = std::vector<request>{};
    std::erase_if(pending_hellos_,
        [&](auto const& it)
        {
            if (it.second <= now)
                due_hellos.push_back(it.first);
            return it.second <= now;
        });
    for (auto const& r : due_hellos)
    {
        add_status_fields(r, "0");
        r.reply(200, "{}");
    }
    run_next();
}

} // namespace standin
