#include "store.hpp"

#include "http_server.hpp"

#include <algorithm>

namespace standin
{

namespace
{

constexpr auto page_size = std::size_t{50};
constexpr auto sweep_interval = ks::milliseconds{20};
constexpr auto prefix = std::string_view{"/objects/"};

auto mode_named(std::string const& name) -> store_mode
{
    static auto const names = std::map<std::string, store_mode>{
        {"good", store_mode::good}, {"busy", store_mode::busy},
        {"many", store_mode::many}, {"reset", store_mode::reset},
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

auto object_table::record(
    std::string const& kind, json::object const& o, bool deleted) -> void
{
    history_.push_back({revision_, kind, o, deleted});
}

auto object_table::put(std::string const& kind, std::string const& name,
    std::string const& part, json::value const& content,
    std::optional<std::uint64_t> revision) -> std::optional<json::object>
{
    auto& objects = kinds_[kind];
    auto const [it, fresh] = objects.try_emplace(name);
    auto& o = it->second;
    if (fresh)
        o = json::object{{"meta", json::object{{"name", name}}},
            {"spec", nullptr}, {"status", nullptr}};
    auto& meta = o["meta"].as_object();
    auto const now = fresh ? 0 : meta["revision"].to_number<std::uint64_t>();
    if (revision && *revision != now)
        return std::nullopt;
    if (!fresh && o[part] == content)
        return o;
    o[part] = content;
    meta["revision"] = ++revision_;
    record(kind, o, false);
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
    record(kind, o, true);
    objects.erase(it);
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
    if (since < oldest_)
        return std::nullopt;
    auto out = std::vector<change>{};
    for (auto const& it : history_)
        if (it.kind == kind && it.revision > since)
            out.push_back(it);
    return out;
}

auto object_table::compact() -> void
{
    oldest_ = ++revision_;
    history_.clear();
}

store_server::store_server(event_base* base, std::uint16_t port)
    : server_(base, port,
          {[this](peer_id id, ks::http_message m) { on_call(id, m); },
              [this](peer_id id) {
                  std::erase_if(
                      waiting_, [&](waiting const& w) { return w.peer == id; });
              },
              {}}),
      base_(base), sweep_(base, [this] { sweep(); }), delay_timer_(base, [] {})
{
    sweep_.after(sweep_interval);
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
    auto due = std::vector<waiting>{};
    std::erase_if(waiting_,
        [&](waiting const& w)
        {
            if (now < w.until)
                return false;
            due.push_back(w);
            return true;
        });
    for (auto const& w : due)
        answer_watch(w, true);
    server_.collect();
    sweep_.after(sweep_interval);
}

auto store_server::wake() -> void
{
    if (mode_ != store_mode::good)
        return;
    std::erase_if(
        waiting_, [&](waiting const& w) { return answer_watch(w, false); });
}

auto store_server::on_call(peer_id id, ks::http_message const& m) -> void
{
    if (m.target.starts_with("/control"))
        return control(id, m.target);
    switch (mode_)
    {
    case store_mode::busy:
        return reply(id, 503, json::object{});
    case store_mode::many:
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
    if (slow_.count() == 0)
        return serve(id, m);
    delayed_.push_back({ks::steady_now() + slow_, [this, id, m]
        {
            serve(id, m);
        }});
}

auto store_server::control(peer_id id, std::string const& target) -> void
{
    if (auto const mode = query_of(target, "mode"); !mode.empty())
        mode_ = mode_named(mode);
    if (auto const slow = query_of(target, "slow_ms"); !slow.empty())
        slow_ = ks::milliseconds{number(slow, 0)};
    if (!query_of(target, "compact").empty())
    {
        table_.compact();
        for (auto const& w : waiting_)
            reply(w.peer, 410, json::object{});
        waiting_.clear();
    }
    wake();
    reply(id, 200, json::object{});
}

auto store_server::serve(peer_id id, ks::http_message const& m) -> void
{
    auto const path = m.target.substr(0, m.target.find('?'));
    if (!path.starts_with(prefix))
        return reply(id, 404, json::object{});
    auto const rest = path.substr(prefix.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    auto const kind = rest.substr(0, slash);
    auto const name = rest.substr(std::min(slash + 1, rest.size()));
    if (m.method == "GET")
        return get(id, kind, name, m.target);
    if (m.method == "DELETE")
    {
        auto const gone = table_.remove(kind, name);
        wake();
        return reply(id, gone ? 200 : 404, json::object{});
    }
    write(id, kind, name, m);
}

auto store_server::get(peer_id id, std::string const& kind,
    std::string const& name, std::string const& target) -> void
{
    if (!name.empty())
    {
        auto const* o = table_.find(kind, name);
        return o == nullptr ? reply(id, 404, json::object{})
                            : reply(id, 200, *o);
    }
    auto const since = query_of(target, "watch");
    if (since.empty())
        return reply(id, 200, table_.list(kind, query_of(target, "after")));
    auto const wait = ks::milliseconds{number(query_of(target, "wait_ms"), 0)};
    auto const w = waiting{
        id, kind, number(since, std::uint64_t{0}), ks::steady_now() + wait};
    if (!answer_watch(w, false))
        waiting_.push_back(w);
}

auto store_server::answer_watch(waiting const& w, bool even_if_empty) -> bool
{
    auto const changes = table_.changes(w.kind, w.since);
    if (!changes)
    {
        reply(w.peer, 410, json::object{});
        return true;
    }
    if (changes->empty() && !even_if_empty)
        return false;
    auto events = json::array{};
    for (auto const& it : *changes)
        events.push_back(
            json::object{{"object", it.object}, {"deleted", it.deleted}});
    reply(w.peer, 200,
        json::object{{"events", std::move(events)}, {"at", table_.revision()}});
    return true;
}

auto store_server::write(peer_id id, std::string const& kind, std::string name,
    ks::http_message const& m) -> void
{
    auto const body = parse(m.body);
    auto const* meta = body.if_contains("meta");
    auto const head = meta == nullptr ? json::object{} : meta->as_object();
    auto part = std::string{"spec"};
    if (auto const at = name.find("/status"); at != std::string::npos)
    {
        name.resize(at);
        part = "status";
    }
    if (m.method == "POST" && head.contains("name"))
        name = std::string(head.at("name").as_string());
    auto const exists = table_.find(kind, name) != nullptr;
    if (m.method == "POST" && exists)
        return reply(id, 409, *table_.find(kind, name));
    if (m.method == "PUT" && !exists)
        return reply(id, 404, json::object{});
    auto revision = std::optional<std::uint64_t>{};
    if (m.method == "PUT" && head.contains("revision"))
        revision = head.at("revision").to_number<std::uint64_t>();
    auto const content =
        body.contains(part) ? body.at(part) : json::value(nullptr);
    auto const o = table_.put(kind, name, part, content, revision);
    wake();
    o ? reply(id, 200, *o) : reply(id, 409, *table_.find(kind, name));
}

auto store_server::reply(
    peer_id id, std::uint32_t status, json::value const& body) -> void
{
    auto m = ks::http_message{};
    m.status = status;
    m.fields.push_back({"Content-Type", "application/json"});
    m.body = json::serialize(body);
    server_.reply(id, m);
}

} // namespace standin
