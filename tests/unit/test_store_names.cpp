/// Calls to the store whose path or query is built from an object's name, which
/// may hold any bytes.
#include "adapter/http_reader.hpp"
#include "platform/store.hpp"
#include "standin/uri.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace ks = knapweedstream;

namespace
{

auto split(std::string const& text, char separator) -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    auto at = std::size_t{0};
    while (at <= text.size())
    {
        auto const end = std::min(text.find(separator, at), text.size());
        out.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    return out;
}

/// A call as the store receives it.
struct received_call
{
    std::vector<std::string> path;            ///< Segments.
    std::map<std::string, std::string> query; ///< Parameters.
    auto operator<=>(received_call const&) const = default;
};

/// Sends a call through a parser; nothing if that refuses it.
auto receive(ks::http_message m) -> received_call
{
    m.fields.push_back({"Host", "store"});
    auto reader = ks::http_reader{ks::message_kind::request, {}};
    auto const text = ks::request_text(m);
    if (reader.feed(text) != text.size() || !reader.is_complete())
        return {};
    auto const target = reader.take().target;
    auto const mark = target.find('?');
    auto c = received_call{};
    for (auto const& it : split(target.substr(1, mark - 1), '/'))
        c.path.push_back(standin::unescaped(it, false));
    if (mark == std::string::npos)
        return c;
    for (auto const& it : split(target.substr(mark + 1), '&'))
    {
        auto const equals = std::min(it.find('='), it.size());
        c.query[it.substr(0, equals)] = standin::unescaped(
            it.substr(std::min(equals + 1, it.size())), true);
    }
    return c;
}

auto kind_of_list(ks::store_kind kind) -> std::string
{
    auto const m = ks::platform::make_store_dialect().list(kind, {}, false);
    return receive(m).path.at(1);
}

using query = std::map<std::string, std::string>;
using path = std::vector<std::string>;

/// Checks all calls that hold a name.
auto calls_hold(std::string const& name) -> bool
{
    auto const dialect = ks::platform::make_store_dialect();
    auto good = true;
    for (auto const kind : ks::store_kinds)
        for (auto const stale : {false, true})
        {
            auto expected = query{{"after", name}};
            if (stale)
                expected["allow_stale"] = "1";
            good &= receive(dialect.list(kind, name, stale)) ==
                    received_call{{"objects", kind_of_list(kind)}, expected};
        }
    good &= receive(dialect.order_state(
                {name, "v2", ks::order_state::running, 41})) ==
            received_call{path{"objects", "rollouts", name, "status"}, {}};
    for (auto const kind : {ks::store_kind::instances, ks::store_kind::reports})
        good &= receive(dialect.remove(kind, name)) ==
                received_call{path{"objects", kind_of_list(kind), name}, {}};
    good &= receive(dialect.record({name, "a", "r"}, 0)).path ==
            path{"objects", kind_of_list(ks::store_kind::instances), name};
    good &= receive(dialect.report({name, {}, {}}, true)).path ==
            path{"objects", kind_of_list(ks::store_kind::reports), name};
    return good;
}

} // namespace

// Guards against RECOVER: a list longer than a page never ended.
TEST_CASE("platform: each call reaches the object or the page that its name "
          "stands for")
{
    for (std::string const name :
        {"i-7f3a91c2", "a&b", "&allow_stale=0", "a+b", "a#b", "100%", "%41",
            "%", "a b", " ", "a/b", "a?b", "a=b", "..", "a\tb", "a\r\nX-A: 1",
            "\x01", "\x7f", "\xc3\xa9", "\xff\xfe", "\"", "\\", ";", "~"})
    {
        CAPTURE(name);
        CHECK(calls_hold(name));
    }
    CHECK(calls_hold(std::string{"a\0b", 3}));
}

TEST_CASE("platform: names of any bytes are unchanged in the calls built from "
          "them")
{
    CHECK(rc::check("names",
        []
        {
            RC_ASSERT(calls_hold(*rc::gen::nonEmpty(
                rc::gen::container<std::string>(rc::gen::arbitrary<char>()))));
        }));
}
