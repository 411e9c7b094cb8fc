#include "app/cli.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace ks = knapweedstream;
namespace leaf = boost::leaf;

namespace
{

/// Result of a command line: its exit code, and what a user sees.
struct outcome
{
    int code = 0;
    std::string output;
    std::string error;
};

auto failed(ks::failure const& it) -> outcome
{
    return {ks::exit_code(it), "", ks::describe(it)};
}

auto run(ks::arguments const& args) -> outcome
{
    auto text = std::ostringstream{};
    auto* const before = std::cout.rdbuf(text.rdbuf());
    auto o = leaf::try_handle_all(
        [&]() -> leaf::result<outcome>
        {
            BOOST_LEAF_AUTO(code, ks::run_command_line(args));
            return outcome{code, {}, {}};
        },
        [](ks::usage_error const& e) { return failed(e); },
        [](ks::ini_errors const& e) { return failed(e); },
        [](ks::file_error const& e) { return failed(e); },
        [](ks::http_error const& e) { return failed(e); },
        [] {
            return outcome{-1, "", ""};
        });
    std::cout.rdbuf(before);
    o.output = text.str();
    return o;
}

auto contains(std::string const& text, std::string const& part) -> bool
{
    return text.find(part) != std::string::npos;
}

/// A file that is removed with the object.
class temporary_file
{
public:
    explicit temporary_file(std::string const& text)
    {
        path = "/tmp/ks-cli-" + std::string(6, 'X');
        auto const fd = mkstemp(path.data());
        REQUIRE(fd >= 0);
        std::fclose(fdopen(fd, "w"));
        std::ofstream{path} << text;
    }
    ~temporary_file() { std::remove(path.c_str()); }
    temporary_file(temporary_file const&) = delete;
    auto operator=(temporary_file const&) -> temporary_file& = delete;

    std::string path;
};

} // namespace

TEST_CASE("command line: help goes to standard output and exits with 0")
{
    for (auto const& args :
        std::vector<ks::arguments>{{}, {"help"}, {"--help"}, {"-h"}})
    {
        auto const o = run(args);
        CHECK(o.code == 0);
        CHECK(contains(o.output, "usage: knapweedstream SUBCOMMAND"));
        for (auto const& it : ks::subcommands())
            CHECK(contains(o.output, it.name));
    }
}

TEST_CASE("command line: each subcommand shows usage, options and an example")
{
    for (auto const& it : ks::subcommands())
        for (auto const* flag : {"--help", "-h"})
        {
            auto const o = run({it.name, flag});
            CHECK(o.code == 0);
            CHECK(contains(
                o.output, std::string{"usage: knapweedstream "} + it.name));
            CHECK(contains(o.output, "example: knapweedstream "));
            auto const options = it.options();
            for (auto const& option : options.options())
                CHECK(contains(o.output, "--" + option->long_name()));
        }
    auto const o = run({"run", "--help"});
    CHECK(contains(o.output, "run SETTINGS | run --settings SETTINGS"));
    CHECK(contains(run({"query", "-h"}).output, "(=100)")); // A default.
}

TEST_CASE("command line: the version names the libraries")
{
    for (auto const* word : {"version", "--version"})
    {
        auto const o = run({word});
        CHECK(o.code == 0);
        for (auto const* it : {"knapweedstream 0", "libevent", "nng", "Boost"})
            CHECK(contains(o.output, it));
    }
}

TEST_CASE("command line: a mistyped name is named, and the nearest one")
{
    auto const o = run({"chekc"});
    CHECK(o.code == 2);
    CHECK(contains(o.error, "unknown subcommand chekc"));
    CHECK(contains(o.error, "did you mean check?"));
    auto const p = run({"check", "--setings", "f"});
    CHECK(p.code == 2);
    CHECK(contains(p.error, "unknown option --setings"));
    CHECK(contains(p.error, "did you mean --settings?"));
    CHECK(!contains(run({"zzzzzzzz"}).error, "did you mean"));
    CHECK(!contains(o.error, "usage: usage:"));
}

TEST_CASE("command line: exit codes of failures")
{
    CHECK(run({"run"}).code == 2);
    CHECK(run({"run", "/nonexistent/settings.ini"}).code == 1);
    CHECK(run({"check"}).code == 2);
    CHECK(run({"status", "127.0.0.1:1"}).code == 4);
    CHECK(run({"report", "other", "--to", "127.0.0.1:1"}).code == 2);
    CHECK(run({"report", "burn", "--to", "127.0.0.1:1"}).code == 5);
    CHECK(run({"query", "--to", "127.0.0.1:1", "x"}).code == 2);
}

TEST_CASE("command line: check reports all faults of the settings of routed "
          "requests, with the value found")
{
    auto const good = temporary_file{"[instance]\n"
                                     "front_end = routes\n"
                                     "name = a\nzone = z\nregion = r\n"
                                     "caller_address = 127.0.0.1:1\n"
                                     "ready_address = 127.0.0.1:2\n"
                                     "platform_address = 127.0.0.1:3\n"};
    CHECK(run({"check", good.path}).code == 0);
    auto const bad = temporary_file{"[instance]\n"
                                    "front_end = routes\n"
                                    "name = a\nzone = z\n"
                                    "caller_address = here\n"
                                    "ready_address = 127.0.0.1:2\n"
                                    "platform_address = 127.0.0.1:3\n"
                                    "[bounds]\n"
                                    "drain_ms = inf\n"
                                    "grace_s = -1\n"
                                    "[limits]\n"
                                    "frobs = 1\n"};
    auto const o = run({"check", "--settings", bad.path});
    CHECK(o.code == 2);
    auto const at = [&](char const* line)
    {
        return bad.path + line;
    };
    CHECK(contains(o.error, at(":5: [instance] caller_address: expected an "
                               "IPv4 address and port")));
    CHECK(contains(o.error, "found \"here\""));
    CHECK(contains(o.error, at(":1: [instance] region: expected a name")));
    CHECK(contains(o.error, at(":9: [bounds] drain_ms: expected")));
    CHECK(contains(o.error, at(":10: [bounds] grace_s: expected")));
    CHECK(contains(o.error, at(":12: [limits] frobs: expected a known key")));
}

TEST_CASE("command line: the completion script knows all subcommands and "
          "options")
{
    auto const o = run({"completion"});
    CHECK(o.code == 0);
    for (auto const& it : ks::subcommands())
        CHECK(contains(o.output, it.name));
    CHECK(contains(o.output, "--if-version"));
    auto const script = temporary_file{o.output};
    auto const words = temporary_file{
        ". " + script.path +
        "\nCOMP_WORDS=(knapweedstream appl) COMP_CWORD=1; _knapweedstream\n"
        "[ \"${COMPREPLY[*]}\" = apply ]\n"};
    CHECK(std::system(("bash " + words.path).c_str()) == 0);
}
