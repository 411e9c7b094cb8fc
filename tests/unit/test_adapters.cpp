/// Decoders and settings: valid input, invalid input, typed errors.
#include "adapter/ini.hpp"
#include "adapter/json_api.hpp"
#include "adapter/log_writer.hpp"
#include "adapter/peer_link.hpp"
#include "adapter/relay_link.hpp"
#include "adapter/settings.hpp"
#include "adapter/value_codec.hpp"

#include <doctest/doctest.h>

#include <unistd.h>

using namespace knapweedstream;

namespace
{

constexpr auto good_settings = "[instance]\n"
                               "name = entry-1\n"
                               "zone = gent-dok\n"
                               "caller_address = 127.0.0.1:8001\n"
                               "peer_address = 127.0.0.1:8011\n"
                               "platform_address = 127.0.0.1:8000\n"
                               "[policy]\n"
                               "selector = random\n"
                               "hedging = off\n"
                               "[limits]\n"
                               "heartbeat_ms = 100\n";

constexpr auto good_template = "[customer]\n"
                               "name = regie\n"
                               "[zone brugge-zuid]\n"
                               "state = out\n"
                               "[service voorraad]\n"
                               "shards = 1\n"
                               "[target voorraad v-0-a]\n"
                               "address = 127.0.0.1:7001\n"
                               "zone = gent-dok\n"
                               "shard = 0\n";

template <class F>
auto errors_of(F f) -> std::vector<ini_error>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<ini_error>>
        {
            BOOST_LEAF_CHECK(f());
            return std::vector<ini_error>{};
        },
        [](ini_errors const& e) { return e.list; },
        [] {
            return std::vector<ini_error>{{"?", 0, "?", "?", "?"}};
        });
}

auto settings_errors(std::string const& text) -> std::vector<ini_error>
{
    return errors_of([&] { return parse_settings("f.ini", text); });
}

auto template_errors(std::string const& text) -> std::vector<ini_error>
{
    return errors_of([&] { return parse_template("t.ini", text); });
}

template <class T>
auto value_of(leaf::result<T> r) -> T
{
    REQUIRE(r);
    return r.value();
}

} // namespace

TEST_CASE("settings are parsed, and absent ones keep their defaults")
{
    auto const s = value_of(parse_settings("f.ini", good_settings));
    CHECK(s.self.name == "entry-1");
    CHECK(s.policy.selector == selector_kind::random);
    CHECK_FALSE(s.policy.hedging);
    CHECK(s.policy.canary);
    CHECK(s.limits.heartbeat == milliseconds{100});
}

TEST_CASE("all errors in settings are reported together, each with its line")
{
    auto const text = std::string{good_settings} + "frobs = 1\n"
                                                   "max_queries = -3\n"
                                                   "[unheard]\n"
                                                   "x = 1\n";
    auto const e = settings_errors(text);
    REQUIRE(e.size() == 3);
    CHECK(e[0] == ini_error{"f.ini", 12, "limits", "frobs", "a known key"});
    CHECK(e[1].line == 13);
    CHECK(e[1].expected == "a positive integer");
    CHECK(e[2].section == "unheard");
}

TEST_CASE("missing keys and invalid addresses are reported")
{
    auto const e = settings_errors("[instance]\n"
                                   "name = x\n"
                                   "caller_address = localhost:1\n"
                                   "peer_address = 127.0.0.1:99999\n");
    CHECK(e.size() == 4);
    CHECK(settings_errors("name = x\n").size() == 1);
    CHECK(settings_errors("[instance\n").size() == 1);
    CHECK(settings_errors("").size() == 1);
}

TEST_CASE("template errors name shards without targets and unknown services")
{
    CHECK(template_errors(good_template).empty());
    auto const c = value_of(parse_template("t.ini", good_template));
    CHECK(c.zones_out == std::vector<std::string>{"brugge-zuid"});
    auto const two = std::string{good_template} +
                     "[service bestel]\nshards = 2\n"
                     "[target unheard t]\naddress = 127.0.0.1:1\n"
                     "zone = z\nshard = 0\n";
    CHECK(template_errors(two).size() == 3);
    auto const decoded = value_of(parse_customer(to_json(c), {2, 7}));
    CHECK(decoded.version == store_version{2, 7});
    CHECK(decoded.services == c.services);
    CHECK(decoded.zones_out == c.zones_out);
}

TEST_CASE("peer batches and claims are unchanged after encoding and decoding")
{
    struct batch
    {
        instance_id from;
        std::vector<message> messages;
    };
    auto traffic = peer_traffic_table{};
    auto const messages =
        std::vector<message>{sub_query{{{5}, 1}, {6}, {1, 9}, duration{1'000},
                                 {7}, true, {{8}, {9}}, "text\"", {{0}, {3}}},
            sub_answer{{{5}, 1}, {{{0}, {1, 9}, {{0.5, "k"}}}},
                {{{3}, shard_failure::snapshot}}, {{8}, {9}}},
            heartbeat{{"a", "b", "c", true}, 1, 2, true, 3, 4}};
    auto const text = encode_batch({42}, messages, traffic);
    auto const b = value_of(decode<batch>(text, "batch"));
    CHECK(b.from == instance_id{42});
    CHECK(b.messages == messages);
    CHECK(traffic[0].messages == 1);
    auto const claims = std::vector<claim>{
        {"k", {~std::uint64_t{0}}, {2}, claim_state::done, "ref", 5}};
    CHECK(value_of(parse_claims(to_json(claims))) == claims);
}

TEST_CASE("text of any bytes is unchanged in messages between instances and in "
          "claims")
{
    struct batch
    {
        instance_id from;
        std::vector<message> messages;
    };
    for (std::string const text :
        {"\xff\xfe", "\xed\xa0\xbd", "\x01\r\n", "\"\\"})
    {
        CAPTURE(text);
        auto reply = dispatch::relay_reply{true, {}};
        reply.updates.push_back({store_kind::targets, {2, 7}, false,
            {{{text, 7, unreadable_object{"no slots"}}, false}}});
        CHECK(value_of(parse_relay_reply(encode(reply))) == reply);
        // The messages of one batch may come from several callers.
        auto traffic = peer_traffic_table{};
        auto const messages = std::vector<message>{
            sub_query{{{5}, 1}, {6}, {1, 9}, duration{1'000}, {7}, true,
                {{8}, {9}}, text, {{0}, {3}}},
            heartbeat{{"a", "b", "c", true}, 1, 2, true, 3, 4}};
        auto const bytes = encode_batch({42}, messages, traffic);
        CHECK(value_of(decode<batch>(bytes, "batch")).messages == messages);
        auto const claims =
            std::vector<claim>{{text, {1}, {2}, claim_state::done, text, 5}};
        CHECK(value_of(parse_claims(to_json(claims))) == claims);
    }
}

TEST_CASE("log: a line stays one line whatever the names in it")
{
    int fds[2];
    REQUIRE(pipe(fds) == 0);
    auto writer = log_writer{fds[1], {}};
    writer.add("skipped name=a\r\nReady.\x1b[2J\x7f\xc3\xa9\t!", time_point{});
    writer.flush();
    char buf[100];
    auto const n = read(fds[0], buf, sizeof buf);
    REQUIRE(n > 0);
    CHECK(std::string(buf, static_cast<std::size_t>(n)) ==
          "skipped name=a??Ready.?[2J?\xc3\xa9?!\n");
    close(fds[0]);
    close(fds[1]);
}

TEST_CASE("bytes that are no message are refused with a typed error")
{
    for (auto const* text : {"", "[", "[[1]]", "[[1],[[99,[]]]]",
             "[[1],[[0,[]]]]", "{\"a\":1}", "[[\"x\"],[]]", "null"})
    {
        auto const refused = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(decode<std::vector<message>>(text, "m"));
                return false;
            },
            [](decode_error const&) { return true; }, [] { return false; });
        CHECK(refused);
    }
}

TEST_CASE("caller JSON: defaults, limits and invalid input")
{
    auto const q = value_of(parse_query(
        R"({"customer":"c","service":"s","query":"x","deadline_ms":50})"));
    CHECK(q.deadline == milliseconds{50});
    CHECK(q.max_rows == 100);
    CHECK_FALSE(parse_query("nonsense"));
    CHECK_FALSE(parse_query(R"({"customer":"c","deadline_ms":-1})"));
    CHECK_FALSE(parse_query(R"({"customer":"c","max_rows":"many"})"));
    CHECK_FALSE(parse_rows(R"({"rows":[1]})"));
    CHECK(to_http(refusal{over_admission{4}}).status == 429);
    CHECK(to_http(booking_answer{booking_unknown{}}).status == 202);
}

TEST_CASE("zones taken out that leave a shard without targets are refused")
{
    auto const e = template_errors(
        std::string{good_template} + "[zone gent-dok]\nstate = out\n");
    REQUIRE(e.size() == 1);
    CHECK(e[0].expected == "a target in a zone that is not out, for shard 0");
}

TEST_CASE("objectives and rollouts in templates")
{
    auto const two = std::string{good_template} +
                     "version = v1\n"
                     "[target voorraad v-0-b]\naddress = 127.0.0.1:7002\n"
                     "zone = gent-dok\nshard = 0\nversion = v2\n"
                     "[objectives]\nlatency_ms = 59\nlatency_target = 0.99\n"
                     "[rollout voorraad]\nid = 3\nfrom = v1\nto = v2\n"
                     "steps_percent = 1,10,50\nduration_ms = 60000\n";
    auto const c = value_of(parse_template("t.ini", two));
    CHECK(c.objectives.latency == milliseconds{59});
    CHECK(c.services[0].rollout.steps_percent ==
          std::vector<std::uint32_t>{1, 10, 50});
    CHECK(value_of(parse_customer(to_json(c), {})).services == c.services);
    auto const wrong = two + "max_latency_ratio = 0.5\n"
                             "[rollout unheard]\nid = 1\n";
    CHECK(template_errors(wrong).size() == 2);
    auto const same = template_errors(std::string{good_template} +
                                      "[rollout voorraad]\nid = 1\nfrom = a\n"
                                      "to = a\nsteps_percent = 50,10\n"
                                      "duration_ms = 1\n");
    CHECK(same.size() == 2);
}
