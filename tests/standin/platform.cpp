#include "platform.hpp"

#include "uri.hpp"

#include <boost/json.hpp>

#include <knapweedstream/overloaded.hpp>

#include <event2/bufferevent.h>

#include <algorithm>

namespace standin
{

namespace
{

namespace json = boost::json;

constexpr auto poll_interval = ks::milliseconds{2};

auto object_json(std::string const& name, std::uint64_t version,
    std::string const& value) -> json::object
{
    return {{"name", name}, {"version", version}, {"value", value}};
}

/// Closes the connection without an answer.
auto drop_connection(request r) -> void
{
    auto* connection = r.connection();
    auto* bev = evhttp_connection_get_bufferevent(connection);
    bufferevent_disable(bev, EV_READ | EV_WRITE);
    evhttp_connection_free(connection);
}

} // namespace

platform::platform(event_base* base, platform_settings const& settings)
    : base_(base), settings_(settings),
      server_(base, settings.port, [this](request r) { on_request(r); }),
      timer_(base, [this] { poll(); })
{
    timer_.after(poll_interval);
}

auto platform::on_request(request r) -> void
{
    if (r.path() == "/control")
        return control(r);
    ++calls_;
    if (down_)
        return held_.push_back(r);
    if (call_delay_.count() > 0)
        return delayed_.push_back({r, ks::steady_now() + call_delay_});
    serve(r);
}

auto platform::serve(request r) -> void
{
    r.add_header("Store-Era", std::to_string(era_));
    auto const path = r.path();
    auto const prefix = std::string{"/v1/objects/"};
    if (path.starts_with("/v1/instances"))
        return instances(r);
    if (!path.starts_with(prefix))
        return r.reply(404, "{}");
    auto const rest = path.substr(prefix.size());
    auto const slash = rest.find('/');
    auto const kind = rest.substr(0, slash);
    if (slash == std::string::npos)
        return changes(r, kind);
    auto const name = unescaped(rest.substr(slash + 1), false);
    if (r.method() == EVHTTP_REQ_PUT)
        return write(r, kind, name);
    read(r, kind, name);
}

auto platform::control(request r) -> void
{
    if (!r.query_param("down").empty())
        down_ = r.query_param("down") == "1";
    if (!r.query_param("slow_ms").empty())
        call_delay_ =
            ks::milliseconds{parse_number(r.query_param("slow_ms"), 0)};
    if (!r.query_param("lose").empty())
        answers_to_drop_ = parse_number(r.query_param("lose"), 0u);
    if (!r.query_param("restore").empty())
        restore(parse_number(r.query_param("restore"), std::size_t{0}));
    if (!down_)
    {
        auto const held = std::exchange(held_, {});
        for (auto const& it : held)
            serve(it);
    }
    r.reply(200, json::serialize(json::object{{"calls", calls_},
                     {"writes", writes_}, {"watches", watches_.size()},
                     {"revision", revision_}, {"era", era_}}));
}

auto platform::restore(std::size_t lost_writes) -> void
{
    ++era_;
    auto const lost = std::min(lost_writes, history_.size());
    for (auto i = std::size_t{0}; i < lost; ++i)
    {
        undo(history_.back());
        history_.pop_back();
        --revision_;
    }
    auto const waiting = std::exchange(watches_, {});
    for (auto const& it : waiting)
        drop_connection(it.r);
}

auto platform::undo(past_write const& w) -> void
{
    std::visit(ks::overloaded{[&](object_write const& it)
                   {
                       if (it.before.version > 0)
                           objects_[it.kind][it.name] = it.before;
                       else
                           objects_[it.kind].erase(it.name);
                   },
                   [&](instance_write const& it)
                   {
                       instances_[it.name].pop_back();
                   }},
        w);
}

auto platform::read(request r, std::string const& kind, std::string const& name)
    -> void
{
    auto const& all = objects_[kind];
    auto const it = all.find(name);
    if (it == all.end() || it->second.version == 0)
        return r.reply(404, "{\"error\":\"not_found\"}");
    r.reply(200, json::serialize(
                     object_json(name, it->second.version, it->second.value)));
}

auto platform::write(
    request r, std::string const& kind, std::string const& name) -> void
{
    auto& it = objects_[kind][name];
    if (conflicts(r, it))
        return r.reply(
            412, json::serialize(object_json(name, it.version, it.value)));
    ++writes_;
    history_.push_back(object_write{kind, name, it});
    it = object{it.version + 1, ++revision_, r.body()};
    if (answers_to_drop_ > 0)
    {
        --answers_to_drop_;
        return drop_connection(r);
    }
    r.reply(200, json::serialize(object_json(name, it.version, it.value)));
}

auto platform::conflicts(request r, object const& o) const -> bool
{
    auto const version = r.field("If-Match");
    auto const era = r.field("If-Era");
    return (!version.empty() &&
               parse_number(version, std::uint64_t{0}) != o.version) ||
           (!era.empty() && parse_number(era, std::uint64_t{0}) != era_);
}

auto platform::changes(request r, std::string const& kind) -> void
{
    auto const since = parse_number(r.query_param("since"), std::uint64_t{0});
    auto const wait =
        ks::milliseconds{parse_number(r.query_param("wait_ms"), 0)};
    watches_.push_back({r, kind, since, ks::steady_now() + wait});
    poll();
}

auto platform::answer_changes(
    request r, std::string const& kind, std::uint64_t since) -> void
{
    auto list = json::array{};
    for (auto const& [name, it] : objects_[kind])
        if (it.revision > since)
            list.push_back(object_json(name, it.version, it.value));
    r.reply(200, json::serialize(json::object{
                     {"revision", revision_}, {"objects", std::move(list)}}));
}

auto platform::instances(request r) -> void
{
    auto const now = ks::steady_now();
    auto const prefix = std::string{"/v1/instances/"};
    if (r.method() == EVHTTP_REQ_PUT)
    {
        auto const name = unescaped(r.path().substr(prefix.size()), false);
        ++writes_;
        ++revision_;
        history_.push_back(instance_write{name});
        instances_[name].push_back({now, r.body()});
        return r.reply(200, "{}");
    }
    auto text = std::string{"{\"instances\":["};
    auto first = true;
    for (auto const& [name, history] : instances_)
    {
        auto latest = std::string{};
        for (auto const& it : history)
            if (now - it.at >= settings_.list_lag)
                latest = it.value;
        if (latest.empty())
            continue;
        text += (first ? "" : ",") + latest;
        first = false;
    }
    r.reply(200, text + "]}");
}

auto platform::poll() -> void
{
    timer_.after(poll_interval);
    auto const now = ks::steady_now();
    while (!delayed_.empty() && delayed_.front().at <= now)
    {
        auto const r = delayed_.front().r;
        delayed_.pop_front();
        serve(r);
    }
    if (down_)
        return;
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        auto changed = false;
        for (auto const& [name, o] : objects_[it->kind])
            changed = changed || o.revision > it->since;
        if (!changed && now < it->until)
        {
            ++it;
            continue;
        }
        answer_changes(it->r, it->kind, it->since);
        it = watches_.erase(it);
    }
}

} // namespace standin
