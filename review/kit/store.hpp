/// Stand-in of the platform's store: lists in pages, watches, writes. Reads
/// that allow it may return data of an earlier moment.
#ifndef REVIEW_KIT_STORE_HPP
#define REVIEW_KIT_STORE_HPP

#include "net.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>

namespace review
{

class store
{
public:
    /// Age in ms of the data that a read with `allow_stale` returns, by the
    /// kind and the page (0: the first, 1: a later one); by default 0.
    using staleness =
        std::function<std::int64_t(std::string const& kind, std::size_t page)>;

    explicit store(staleness f = {})
        : staleness_(std::move(f)), server_(0, [this](stream& s) { serve(s); })
    {
    }

    ~store()
    {
        {
            auto const lock = std::lock_guard{mutex_};
            stopping_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }

    auto port() const -> std::uint16_t { return server_.port(); }

    /// Creates or replaces an object. Returns the revision, which is that of
    /// the acknowledgement.
    auto put(std::string const& kind, std::string const& name,
        std::string const& spec) -> std::uint64_t
    {
        auto const lock = std::lock_guard{mutex_};
        return apply({0, 0, kind, name, spec, false});
    }

    auto remove(std::string const& kind, std::string const& name) -> void
    {
        auto const lock = std::lock_guard{mutex_};
        apply({0, 0, kind, name, "{}", true});
    }

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::int64_t at = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool deleted = false;
    };

    static constexpr auto page_size = std::size_t{50};
    static constexpr auto answer_ms = 4; ///< As in the site files.

    auto apply(change c) -> std::uint64_t
    {
        c.revision = ++revision_;
        c.at = now_ms();
        history_.push_back(std::move(c));
        changed_.notify_all();
        return revision_;
    }

    static auto text_of(change const& c) -> std::string
    {
        return "{\"meta\":{\"name\":\"" + c.name +
               "\",\"revision\":" + std::to_string(c.revision) +
               ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
               "\"spec\":" +
               c.spec + ",\"status\":null}";
    }

    static auto param(std::string const& target, std::string const& key)
        -> std::string
    {
        auto const query = "&" + target.substr(target.find('?') + 1);
        auto const at = query.find("&" + key + "=");
        if (target.find('?') == std::string::npos || at == std::string::npos)
            return {};
        auto const from = at + key.size() + 2;
        return query.substr(from, query.find('&', from) - from);
    }

    static auto reply(stream& s, int status, std::string const& body) -> bool
    {
        sleep_ms(answer_ms);
        return s.send_all("HTTP/1.1 " + std::to_string(status) +
                          " Status\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    auto serve(stream& s) -> void
    {
        while (auto const m = s.read())
        {
            auto const target = m->target();
            auto const path = target.substr(0, target.find('?'));
            auto const rest = path.substr(std::min(path.size(), kind_at));
            auto const slash = std::min(rest.find('/'), rest.size());
            auto const kind = rest.substr(0, slash);
            auto const name = rest.substr(std::min(slash + 1, rest.size()));
            auto const done = m->method() != "GET" ? write(s, *m, kind, name)
                              : !param(target, "watch").empty()
                                  ? watch(s, kind, target)
                                  : list(s, kind, target);
            if (!done)
                return;
        }
    }

    auto list(stream& s, std::string const& kind, std::string const& target)
        -> bool
    {
        auto const after = param(target, "after");
        auto lock = std::unique_lock{mutex_};
        auto const page = after.empty() ? std::size_t{0} : std::size_t{1};
        auto const stale = param(target, "allow_stale") == "1" && staleness_;
        auto const age = stale ? staleness_(kind, page) : 0;
        auto const until = now_ms() - age;
        auto objects = std::map<std::string, change>{};
        auto at = first_revision;
        for (auto const& c : history_)
        {
            if (age > 0 && c.at > until)
                break;
            at = c.revision;
            if (c.kind != kind)
                continue;
            objects.erase(c.name);
            if (!c.deleted)
                objects.emplace(c.name, c);
        }
        auto items = std::string{};
        auto n = std::size_t{0};
        auto more = false;
        for (auto it = objects.upper_bound(after); it != objects.end(); ++it)
        {
            more = n == page_size;
            if (more)
                break;
            items += (n++ == 0 ? "" : ",") + text_of(it->second);
        }
        lock.unlock();
        return reply(s, 200,
            "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
                ",\"at\":" + std::to_string(at) + "}");
    }

    auto watch(stream& s, std::string const& kind, std::string const& target)
        -> bool
    {
        auto const since =
            std::strtoull(param(target, "watch").c_str(), nullptr, 10);
        auto const wait =
            std::strtoll(param(target, "wait_ms").c_str(), nullptr, 10);
        auto const until = clock_type::now() + milliseconds{wait};
        auto lock = std::unique_lock{mutex_};
        auto const events = [&]
        {
            auto out = std::string{};
            for (auto const& c : history_)
                if (c.kind == kind && c.revision > since)
                    out += std::string(out.empty() ? "" : ",") +
                           "{\"object\":" + text_of(c) +
                           ",\"deleted\":" + (c.deleted ? "true" : "false") +
                           "}";
            return out;
        };
        auto found = events();
        while (found.empty() && !stopping_ && clock_type::now() < until &&
               !s.is_closed())
        {
            changed_.wait_for(lock, milliseconds{100});
            found = events();
        }
        auto const at = revision_;
        lock.unlock();
        return reply(s, 200,
            "{\"events\":[" + found + "],\"at\":" + std::to_string(at) + "}");
    }

    /// Value of the member `key` of a JSON object that a process has written.
    static auto member(std::string const& text, std::string const& key)
        -> std::string
    {
        auto at = text.find("\"" + key + "\":");
        if (at == std::string::npos)
            return "null";
        at += key.size() + 3;
        auto depth = 0;
        auto quoted = false;
        for (auto end = at; end < text.size(); ++end)
        {
            auto const c = text[end];
            if (c == '"' && text[end - 1] != '\\')
                quoted = !quoted;
            if (quoted)
                continue;
            if (depth == 0 && (c == ',' || c == '}'))
                return text.substr(at, end - at);
            depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
        }
        return text.substr(at);
    }

    auto write(stream& s, http_text const& m, std::string const& kind,
        std::string name) -> bool
    {
        if (m.method() == "POST")
        {
            name = member(m.body, "name");
            name = name.substr(1, name.size() - 2);
        }
        auto lock = std::unique_lock{mutex_};
        auto const last = std::find_if(history_.rbegin(), history_.rend(),
            [&](change const& c) { return c.kind == kind && c.name == name; });
        auto const exists = last != history_.rend() && !last->deleted;
        if (exists == (m.method() == "POST"))
        {
            lock.unlock();
            return reply(s, exists ? 409 : 404, "{}");
        }
        apply(
            {0, 0, kind, name, member(m.body, "spec"), m.method() == "DELETE"});
        auto const body = text_of(history_.back());
        lock.unlock();
        return reply(s, 200, body);
    }

    static constexpr auto kind_at = sizeof("/objects/") - 1;
    static constexpr auto first_revision = std::uint64_t{100};

    staleness staleness_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::uint64_t revision_ = first_revision;
    std::vector<change> history_;
    server server_;
};

} // namespace review

#endif
