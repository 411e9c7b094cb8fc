/// Fuzz tests of every decoder that reads bytes from outside, with random bytes
/// and mutations of valid input: each gives a value or a typed error and does
/// not crash.
#include "adapter/ini.hpp"
#include "adapter/json_api.hpp"
#include "adapter/recorder.hpp"
#include "adapter/settings.hpp"
#include "adapter/value_codec.hpp"
#include "port/message.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace knapweedstream;

namespace
{

/// Valid input of the decoders, to be mutated.
auto const seeds = std::vector<std::string>{
    R"({"customer":"c","service":"s","query":"x","deadline_ms":50})",
    R"({"rows":[{"key":"k","score":1.5}]})",
    R"({"name":"n","version":3,"value":"[[\"k\",1,2,0,\"\",5]]"})",
    R"({"revision":4,"objects":[{"name":"n","version":3,"value":"v"}]})",
    R"({"instances":[{"name":"a","zone":"z","peer_address":"p"}]})",
    R"({"name":"c","services":[{"name":"s","shards":2,"targets":[{"name":"t","shard":1}]}]})",
    R"([[7],[[0,[[[5],1],[6],[1,9],1000,[7],true,"t",[[0]]]]]])",
    "[instance]\nname = a\nzone = z\n[limits]\nheartbeat_ms = 5\n",
    "[customer]\nname = c\n[service s]\nshards = 1\n[target s t]\nshard = 0\n",
    R"({"id":1,"step":2,"phase":1,"fault":0,"started_ms":5,"token":9})"};

auto mutated(std::string text, std::vector<std::pair<int, char>> const& edits)
    -> std::string
{
    for (auto const& [where, c] : edits)
    {
        auto const i = static_cast<std::size_t>(where) % (text.size() + 1);
        switch (where % 3)
        {
        case 0:
            text.insert(i, 1, c);
            break;
        case 1:
            text.erase(i, 1);
            break;
        default:
            text = text.substr(0, i) + c + text.substr(i);
        }
    }
    return text;
}

/// Runs all decoders on a text.
///
/// @returns True if each gives a value or a typed error.
auto decode_all(std::string const& text) -> bool
{
    auto typed = true;
    auto const run = [&](auto f)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_CHECK(f());
                return {};
            },
            [](decode_error const&) {}, [](ini_errors const&) {},
            [&] { typed = false; });
    };
    run([&] { return parse_query(text); });
    run([&] { return parse_booking(text, "key"); });
    run([&] { return parse_rows(text); });
    run([&] { return parse_object(text); });
    run([&] { return parse_changes(text); });
    run([&] { return parse_instances(text); });
    run([&] { return parse_customer(text, {0, 1}); });
    run([&] { return parse_claims(text); });
    run([&] { return parse_rollout(text); });
    run([&] { return decode<std::vector<message>>(text, "messages"); });
    run([&] { return parse_recorded_event(text); });
    run([&] { return parse_settings("f", text); });
    run([&] { return parse_template("f", text); });
    return typed;
}

} // namespace

TEST_CASE("decoders handle random bytes and mutations of valid input")
{
    CHECK(rc::check("decoders",
        []
        {
            auto const i = *rc::gen::inRange<std::size_t>(0, seeds.size());
            auto const edits =
                *rc::gen::container<std::vector<std::pair<int, char>>>(
                    rc::gen::pair(rc::gen::inRange(0, 1'000),
                        rc::gen::arbitrary<char>()));
            RC_ASSERT(decode_all(mutated(seeds[i], edits)));
            RC_ASSERT(decode_all(*rc::gen::arbitrary<std::string>()));
        }));
    CHECK(decode_all(std::string(100'000, '[')));
    CHECK(decode_all(std::string(100'000, '{')));
}
