#include "store.hpp"

#include "http_server.hpp"

#include <algorithm>

namespace standin
{

namespace
{

constexpr auto sweep_interval = ks::milliseconds{20};
constexpr auto prefix = std::string_view{"/objects/"};
constexpr auto status_suffix = std::string_view{"/status"};
constexpr auto operator_prefix = std::string_view{"/operator"};

auto mode_from_name(std::string const& name) -> store_mode
{
    static auto const names = std::map<std::string, store_mode>{
        {"good", store_mode::good}, {"busy", store_mode::busy},
        {"many", store_mode::too_many_requests}, {"reset", store_mode::reset},
        {"silent", store_mode::silent}, {"lossy", store_mode::lossy}};
    auto const it = names.find(name);
    return it == names.end() ? store_mode::good : it->second;
}

auto parse(std::string const& text) -> json::object
{
    auto ec = json::error_code{};
    auto v = json::parse(text, ec);
    return !ec && v.is_object() ? v.get_object() : json::object{};
}

} // namespace

store_server::store_server(event_base* base, std::uint16_t port)
    : server_(base, port,
          {[this](client_id id, ks::http_message m) { on_call(id, m); },
              [this](client_id id)
              {
                  std::erase_if(waiting_,
                      [&](waiting_watch const& w) { return w.client == id; });
              },
              {}}),
      base_(base), sweep_timer_(base, [this] { sweep(); }),
      delay_timer_(base, [] {}), rewrite_timer_(base,
                                     [this]
                                     {
                                         table_.write_again();
                                         notify_watches();
                                     })
{
    sweep_timer_.after(sweep_interval);
}

auto store_server::sweep() -> void
{
    auto const now = ks::steady_now();
    while (!delayed_.empty() && delayed_.front().first <= now)
    {
        auto const f = std::move(delayed_.front().second);
        delayed_.pop_front();
        f();
    }
    auto due = std::vector<waiting_watch>{};
    std::erase_if(waiting_,
        [&](waiting_watch const& w)
        {
            if (now < w.until)
                return false;
            due.push_back(w);
            return true;
        });
    for (auto const& w : due)
        answer_watch(w, true);
    server_.free_closed();
    sweep_timer_.after(sweep_interval);
}

auto store_server::notify_watches() -> void
{
    if (mode_ != store_mode::good)
        return;
    std::erase_if(waiting_,
        [&](waiting_watch const& w) { return answer_watch(w, false); });
}

auto store_server::is_away() const -> bool
{
    return ks::steady_now() < away_until_;
}

auto store_server::restore(store_loss const& l) -> void
{
    table_.restore(l.revisions);
    away_until_ = ks::steady_now() + l.away;
    for (auto const& w : std::exchange(waiting_, {}))
        server_.reset(w.client);
    rewrite_timer_.after(l.rewrite);
}

auto store_server::on_call(client_id id, ks::http_message m) -> void
{
    if (m.target.starts_with("/control"))
        return control(id, m.target);
    if (m.target.starts_with(operator_prefix))
    {
        m.target.erase(0, operator_prefix.size());
        return serve(id, m);
    }
    if (is_away())
        return server_.reset(id);
    switch (mode_)
    {
    case store_mode::busy:
        return reply(id, 503, json::object{});
    case store_mode::too_many_requests:
        return reply(id, 429, json::object{});
    case store_mode::reset:
        return server_.reset(id);
    case store_mode::silent:
        return;
    case store_mode::lossy:
        serve(id, m);
        return server_.reset(id);
    case store_mode::good:
        break;
    }
    if (call_delay_.count() == 0)
        return serve(id, m);
    delayed_.push_back({ks::steady_now() + call_delay_, [this, id, m]
        {
            is_away() ? server_.reset(id) : serve(id, m);
        }});
}

auto store_server::control(client_id id, std::string const& target) -> void
{
    if (auto const mode = query_param(target, "mode"); !mode.empty())
        mode_ = mode_from_name(mode);
    if (auto const slow = query_param(target, "slow_ms"); !slow.empty())
        call_delay_ = ks::milliseconds{parse_number(slow, 0)};
    if (!query_param(target, "compact").empty())
    {
        table_.compact();
        for (auto const& w : waiting_)
            reply(w.client, 410, json::object{});
        waiting_.clear();
    }
    if (auto const n = query_param(target, "restore"); !n.empty())
    {
        auto l = store_loss{};
        auto const ms = [&](char const* key, ks::milliseconds fallback)
        {
            return ks::milliseconds{
                parse_number(query_param(target, key), fallback.count())};
        };
        restore({parse_number(n, l.revisions), ms("away_ms", l.away),
            ms("rewrite_ms", l.rewrite)});
    }
    if (auto const era = query_param(target, "era"); !era.empty())
        era_header_ = era;
    notify_watches();
    reply(id, 200, json::object{});
}

auto store_server::serve(client_id id, ks::http_message const& m) -> void
{
    auto const path = m.target.substr(0, m.target.find('?'));
    if (!path.starts_with(prefix))
        return reply(id, 404, json::object{});
    auto const rest = path.substr(prefix.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    auto const kind = rest.substr(0, slash);
    auto name = rest.substr(std::min(slash + 1, rest.size()));
    auto const sets_status = name.ends_with(status_suffix);
    if (sets_status)
        name.resize(name.size() - status_suffix.size());
    name = unescaped(name, false);
    if (m.method == "GET")
        return get(id, kind, name, m.target);
    if (m.method == "DELETE")
    {
        auto const removed = table_.remove(kind, name);
        notify_watches();
        return reply(id, removed ? 200 : 404, json::object{});
    }
    write(id, kind, name, sets_status ? "status" : "spec", m);
}

auto store_server::get(client_id id, std::string const& kind,
    std::string const& name, std::string const& target) -> void
{
    if (!name.empty())
    {
        auto const* o = table_.find(kind, name);
        return o == nullptr ? reply(id, 404, json::object{})
                            : reply(id, 200, *o);
    }
    auto const since = query_param(target, "watch");
    if (since.empty())
        return reply(id, 200, table_.list(kind, query_param(target, "after")));
    auto const wait =
        ks::milliseconds{parse_number(query_param(target, "wait_ms"), 0)};
    auto const w = waiting_watch{id, kind,
        parse_number(since, std::uint64_t{0}), ks::steady_now() + wait};
    if (!answer_watch(w, false))
        waiting_.push_back(w);
}

auto store_server::answer_watch(waiting_watch const& w, bool even_if_empty)
    -> bool
{
    auto const changes = table_.changes(w.kind, w.since);
    if (!changes)
    {
        reply(w.client, 410, json::object{});
        return true;
    }
    if (changes->empty() && !even_if_empty)
        return false;
    auto events = json::array{};
    for (auto const& it : *changes)
        events.push_back(
            json::object{{"object", it.object}, {"deleted", it.deleted}});
    reply(w.client, 200,
        json::object{{"events", std::move(events)}, {"at", table_.revision()}});
    return true;
}

auto store_server::write(client_id id, std::string const& kind,
    std::string name, std::string const& part, ks::http_message const& m)
    -> void
{
    auto const body = parse(m.body);
    auto const* meta = body.if_contains("meta");
    auto const meta_fields =
        meta == nullptr ? json::object{} : meta->as_object();
    if (m.method == "POST" && meta_fields.contains("name"))
        name = std::string(meta_fields.at("name").as_string());
    auto const exists = table_.find(kind, name) != nullptr;
    if (m.method == "POST" && exists)
        return reply(id, 409, *table_.find(kind, name));
    if (m.method == "PUT" && !exists)
        return reply(id, 404, json::object{});
    auto revision = std::optional<std::uint64_t>{};
    if (m.method == "PUT" && meta_fields.contains("revision"))
        revision = meta_fields.at("revision").to_number<std::uint64_t>();
    auto const content =
        body.contains(part) ? body.at(part) : json::value(nullptr);
    auto const o = table_.put(kind, name, part, content, revision);
    notify_watches();
    o ? reply(id, 200, *o) : reply(id, 409, *table_.find(kind, name));
}

auto store_server::reply(
    client_id id, std::uint32_t status, json::value const& body) -> void
{
    auto m = ks::http_message{};
    m.status = status;
    m.fields.push_back({"Content-Type", "application/json"});
    if (era_header_ != "none")
        m.fields.push_back({"Store-Era",
            era_header_ == "own" ? std::to_string(table_.era()) : era_header_});
    m.body = json::serialize(body);
    server_.reply(id, m);
}

} // namespace standin
