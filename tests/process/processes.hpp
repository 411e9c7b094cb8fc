/// Runs the programs as processes on loopback, for tests that kill and stop
/// them.
#ifndef KNAPWEEDSTREAM_TESTS_PROCESSES_HPP
#define KNAPWEEDSTREAM_TESTS_PROCESSES_HPP

#include "app/http_call.hpp"

#include <boost/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace processes
{

using namespace knapweedstream;
namespace json = boost::json;

/// Polls a condition until it holds.
///
/// @returns False if it did not hold within the timeout.
inline auto wait_for(seconds timeout, std::function<bool()> const& f) -> bool
{
    auto const end = steady_now() + timeout;
    while (!f())
    {
        if (steady_now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds{20});
    }
    return true;
}

constexpr auto still_runs = -1;
constexpr auto ended_by_signal = 1'000; ///< Added to the signal's number.

/// A process, which is killed with the object. Output goes to a log file.
class process
{
public:
    explicit process(
        std::vector<std::string> const& args, std::string const& log)
    {
        pid_ = fork();
        if (pid_ != 0)
            return;
        // The kernel kills it if the test dies.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto argv = std::vector<char*>{};
        for (auto const& it : args)
            argv.push_back(const_cast<char*>(it.c_str()));
        argv.push_back(nullptr);
        auto const log_fd =
            open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log_fd, STDOUT_FILENO);
        dup2(log_fd, STDERR_FILENO);
        execv(argv[0], argv.data());
        _exit(127);
    }

    ~process()
    {
        if (pid_ == 0)
            return;
        send(SIGCONT);
        send(SIGKILL);
        waitpid(pid_, nullptr, 0);
    }

    process(process const&) = delete;
    auto operator=(process const&) -> process& = delete;

    auto send(int signal) const -> void { kill(pid_, signal); }

    /// Waits until the process exits. Returns the exit code, `still_runs` after
    /// the timeout, or `ended_by_signal` plus the signal's number.
    auto exit_code(seconds timeout) -> int
    {
        auto status = 0;
        auto const ended = wait_for(
            timeout, [&] { return waitpid(pid_, &status, WNOHANG) == pid_; });
        if (!ended)
            return still_runs;
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status)
                                 : ended_by_signal + WTERMSIG(status);
    }

private:
    pid_t pid_ = 0;
};

/// Sends an HTTP request; the status of the reply is 0 if there was none.
inline auto send_http(std::string const& address, evhttp_cmd_type method,
    std::string const& path, std::string const& body = {},
    std::string const& key = {}, duration timeout = seconds{10}) -> call_reply
{
    auto r = http_request{method, path, {}, body};
    if (!key.empty())
        r.fields.push_back({"Idempotency-Key", key});
    return leaf::try_handle_all(
        [&] { return call(address, r, timeout); }, [] { return call_reply{}; });
}

/// Platform, leafs and instances of one test, in a range of ports.
class cluster
{
public:
    explicit cluster(std::uint16_t first_port) : first_port_(first_port)
    {
        auto const name = "ks-test-" + std::to_string(getpid()) + "-" +
                          std::to_string(first_port);
        dir_ = (std::filesystem::temp_directory_path() / name).string();
        std::filesystem::create_directories(dir_);
        platform_ = std::make_unique<process>(
            std::vector<std::string>{KS_STANDIN, "platform", "--port",
                std::to_string(first_port), "--lag-ms", "100"},
            dir_ + "/platform.log");
    }

    ~cluster()
    {
        instances.clear();
        leafs.clear();
        platform_.reset();
        // The logs are kept if this variable is set.
        if (std::getenv("KS_KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(dir_);
    }

    cluster(cluster const&) = delete;
    auto operator=(cluster const&) -> cluster& = delete;

    auto path(std::string const& name) const -> std::string
    {
        return dir_ + "/" + name;
    }
    auto settings_path(int i) const -> std::string
    {
        return path("e" + std::to_string(i) + ".ini");
    }
    auto platform_address() const -> std::string { return address(0); }
    auto instance_address(int i) const -> std::string { return address(1 + i); }
    auto leaf_address(int i) const -> std::string { return address(100 + i); }

    /// Starts one process per leaf: for each shard in order, all its replicas.
    auto start_leafs(int shards, int replicas,
        std::vector<std::string> const& more = {}) -> void
    {
        shards_ = shards;
        replicas_ = replicas;
        leaf_args_ = more;
        leafs.resize(static_cast<std::size_t>(shards * replicas));
        for (auto i = 0; i < shards * replicas; ++i)
            start_leaf(i);
    }

    auto start_leaf(int i) -> void
    {
        auto args = std::vector<std::string>{KS_STANDIN, "leafs", "--port",
            std::to_string(first_port_ + 100 + i), "--first-shard",
            std::to_string(i / replicas_), "--connect-us", "1000", "--seed",
            std::to_string(++seed_)};
        args.insert(args.end(), leaf_args_.begin(), leaf_args_.end());
        leafs[static_cast<std::size_t>(i)] = std::make_unique<process>(
            args, dir_ + "/leaf" + std::to_string(i) + ".log");
    }

    auto start_instance(int i, std::string const& extra = {}) -> void
    {
        auto const path = dir_ + "/e" + std::to_string(i) + ".ini";
        std::ofstream{path}
            << "[instance]\nname = e" << i << "\nzone = z" << i % 2
            << "\ncaller_address = " << instance_address(i)
            << "\npeer_address = " << address(50 + i)
            << "\nplatform_address = " << platform_address() << "\n"
            << extra;
        instances[i] = std::make_unique<process>(
            std::vector<std::string>{KS_BINARY, "run", path},
            dir_ + "/e" + std::to_string(i) + ".log");
    }

    /// Configuration as JSON, with further members; `rollout` is added to the
    /// service.
    auto configuration(json::object const& more = {}) const -> std::string
    {
        auto targets = json::array{};
        for (auto i = 0; i < shards_ * replicas_; ++i)
            targets.push_back(json::object{{"name", "t" + std::to_string(i)},
                {"address", leaf_address(i)},
                {"zone", "z" + std::to_string(i % replicas_ % 2)},
                {"version", "v" + std::to_string(i % replicas_)},
                {"shard", i / replicas_}});
        auto service = json::object{{"name", "s"}, {"shards", shards_},
            {"deadline_ms", 1000},
            {"limits", json::object{{"slots", 3}, {"connections", 30},
                           {"warmup_ms", 100}}},
            {"targets", std::move(targets)}};
        auto o = json::object{
            {"name", "c"}, {"services", json::array{std::move(service)}}};
        for (auto const& it : more)
            if (it.key() == "rollout")
                o["services"].as_array()[0].as_object()["rollout"] = it.value();
            else
                o[it.key()] = it.value();
        return json::serialize(o);
    }

    auto publish(std::string const& config) const -> call_reply
    {
        return send_http(platform_address(), EVHTTP_REQ_PUT,
            "/v1/objects/customer/c", config);
    }

    auto ready(int i) const -> bool
    {
        return send_http(instance_address(i), EVHTTP_REQ_GET, "/health")
                   .status == 200;
    }

    /// Number of peers that an instance reports as taking work.
    auto peer_count(int i) const -> std::size_t
    {
        auto const page =
            send_http(instance_address(i), EVHTTP_REQ_GET, "/v1/status").body;
        auto n = std::size_t{0};
        for (auto at = page.find("\"takes_work\":true");
             at != std::string::npos;
             at = page.find("\"takes_work\":true", at + 1))
            ++n;
        return n;
    }

    /// Starts the leafs and `count` instances, and waits until the instances
    /// are ready and know each other. Returns false after a timeout.
    auto start(int shards, int replicas, int count,
        std::vector<std::string> const& more = {}) -> bool
    {
        start_leafs(shards, replicas, more);
        for (auto i = 0; i < count; ++i)
            start_instance(i);
        return wait_for(seconds{20},
                   [&] { return publish(configuration()).status == 200; }) &&
               wait_for(seconds{20},
                   [&]
                   {
                       auto all_ready = true;
                       for (auto i = 0; i < count; ++i)
                           all_ready = all_ready && ready(i) &&
                                       peer_count(i) ==
                                           static_cast<std::size_t>(count - 1);
                       return all_ready;
                   });
    }

    auto query(int i, std::string const& text) const -> call_reply
    {
        return send_http(instance_address(i), EVHTTP_REQ_POST, "/v1/query",
            json::serialize(json::object{{"customer", "c"}, {"service", "s"},
                {"query", text}, {"deadline_ms", 1000}}));
    }

    /// Sends a query; true if it is answered without missing shards.
    auto query_completes(int i, std::string const& text) const -> bool
    {
        auto const r = query(i, text);
        return r.status == 200 &&
               r.body.find("\"complete\":true") != std::string::npos;
    }

    auto book(int i, std::string const& key) const -> call_reply
    {
        return send_http(instance_address(i), EVHTTP_REQ_POST, "/v1/bookings",
            json::serialize(json::object{{"customer", "c"}, {"service", "s"},
                {"item", key}, {"text", key}, {"deadline_ms", 1000}}),
            key);
    }

    auto control(std::string const& address, std::string const& what) const
        -> json::object
    {
        auto const r = send_http(address, EVHTTP_REQ_POST, "/control?" + what);
        auto ec = json::error_code{};
        auto const v = json::parse(r.body, ec);
        return !ec && v.is_object() ? v.get_object() : json::object{};
    }

    /// Number of times that all leafs together have run a booking.
    auto run_count(std::string const& key) const -> std::int64_t
    {
        auto n = std::int64_t{0};
        for (auto i = 0; i < shards_ * replicas_; ++i)
        {
            auto const o = control(leaf_address(i), "");
            auto const* ledger = o.if_contains("ledger");
            if (ledger == nullptr)
                continue;
            auto const* v = ledger->as_object().if_contains(key);
            n += v == nullptr ? 0 : v->to_number<std::int64_t>();
        }
        return n;
    }

    std::vector<std::unique_ptr<process>> leafs;
    std::map<int, std::unique_ptr<process>> instances;

private:
    auto address(int offset) const -> std::string
    {
        return "127.0.0.1:" + std::to_string(first_port_ + offset);
    }

    std::uint16_t first_port_;
    std::string dir_;
    int shards_ = 0;
    int replicas_ = 0;
    int seed_ = 0;
    std::vector<std::string> leaf_args_;
    std::unique_ptr<process> platform_;
};

} // namespace processes

#endif
