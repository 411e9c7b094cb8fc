/// Instances of the project as processes, leafs and clients for the review's
/// scripts, and the record of a run.
#ifndef REVIEW_KIT_DEPLOYMENT_HPP
#define REVIEW_KIT_DEPLOYMENT_HPP

#include "store.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/time.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace review
{

/// Exit codes of a script.
constexpr auto rule_held = 0;
constexpr auto rule_broken = 1;
constexpr auto could_not_run = 2;

/// Writes lines with the time to `record.txt` and to standard output.
class record
{
public:
    explicit record(std::string const& path) : out_(path) {}

    template <class... T>
    auto operator()(T const&... parts) -> void
    {
        auto line = std::ostringstream{};
        line << now_ms() << " ms  ";
        (line << ... << parts);
        auto const lock = std::lock_guard{mutex_};
        out_ << line.str() << std::endl;
        std::cout << line.str() << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// What the command line and the environment of a script say.
struct arguments
{
    std::string root;   ///< Of the checkout.
    std::string folder; ///< Of the case.
    bool trouble = true;
};

inline auto parse_arguments(int argc, char** argv) -> arguments
{
    auto a = arguments{};
    a.root = argc > 1 ? argv[1] : ".";
    a.folder = argc > 2 ? argv[2] : ".";
    auto const* trouble = std::getenv("TROUBLE");
    a.trouble = trouble == nullptr || std::string{trouble} != "0";
    return a;
}

/// Bounds of the site `rng-dispatch`.
inline auto default_bounds() -> std::map<std::string, std::string>
{
    return {{"retry_budget_ratio", "0.2"}, {"retry_budget_extra", "56"},
        {"budget_window_s", "10"}, {"drain_ms", "4000"},
        {"config_apply_ms", "4000"}, {"evacuate_ms", "5000"}, {"grace_s", "6"},
        {"warmup_factor", "1.5"}, {"warmup_slack", "5"},
        {"exposure_share", "0.1"}, {"exposure_slack", "50"}};
}

/// One process of the project, started by the command of the deploy file with
/// the filled template `deploy/settings.ini`.
class instance
{
public:
    instance(arguments const& a, std::string name, std::uint16_t store_port)
        : root_(a.root), name_(std::move(name)), caller_port_(free_port()),
          ready_port_(free_port())
    {
        auto path =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder_ = ::mkdtemp(path.data());
        settings_ = folder_ + "/settings.ini";
        std::ofstream{settings_} << filled_template(store_port);
    }

    instance(instance const&) = delete;
    auto operator=(instance const&) -> instance& = delete;

    ~instance()
    {
        kill_and_wait(SIGKILL);
        std::filesystem::remove_all(folder_);
    }

    auto start() -> void
    {
        auto const program = root_ + "/target/knapweedstream";
        auto const log = folder_ + "/log-" + std::to_string(++starts_);
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the script.
        auto const fd = ::open(log.c_str(), O_CREAT | O_WRONLY, 0600);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execl(program.c_str(), program.c_str(), "run", settings_.c_str(),
            static_cast<char*>(nullptr));
        ::_exit(127);
    }

    auto signal(int what) -> void
    {
        if (pid_ > 0)
            ::kill(pid_, what);
    }

    /// True if the process has ended.
    auto has_ended() -> bool
    {
        auto status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
            pid_ = 0;
        return pid_ <= 0;
    }

    auto kill_and_wait(int what) -> void
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, what);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

    /// True if the readiness page answers 200.
    auto is_ready() const -> bool
    {
        auto const fd = connect_to(ready_port_);
        if (fd < 0)
            return false;
        auto s = stream{fd};
        s.send_all("GET /readiness HTTP/1.1\r\nHost: r\r\n"
                   "Connection: close\r\n\r\n");
        auto const m = s.read();
        return m && m->status() == 200;
    }

    auto wait_until_ready(std::int64_t limit_ms) const -> bool
    {
        for (auto const until = now_ms() + limit_ms; now_ms() < until;)
        {
            if (is_ready())
                return true;
            sleep_ms(20);
        }
        return false;
    }

    auto caller_port() const -> std::uint16_t { return caller_port_; }
    auto name() const -> std::string const& { return name_; }

    /// Lines of the process's output that contain the text.
    auto log_lines(std::string const& text) const -> std::vector<std::string>
    {
        auto found = std::vector<std::string>{};
        for (auto i = 1; i <= starts_; ++i)
        {
            auto in = std::ifstream{folder_ + "/log-" + std::to_string(i)};
            for (auto line = std::string{}; std::getline(in, line);)
                if (line.find(text) != std::string::npos)
                    found.push_back(line);
        }
        return found;
    }

private:
    auto filled_template(std::uint16_t store_port) const -> std::string
    {
        auto const address = [](std::uint16_t port)
        {
            return "127.0.0.1:" + std::to_string(port);
        };
        auto in = std::ifstream{root_ + "/deploy/settings.ini"};
        auto text = std::string{std::istreambuf_iterator<char>{in}, {}};
        auto const replace = [&](std::string const& from, std::string const& to)
        {
            for (auto at = text.find(from); at != std::string::npos;
                 at = text.find(from, at + to.size()))
                text.replace(at, from.size(), to);
        };
        replace("{{#zones}}{{@}} = {{.}}\n{{/zones}}", "zone-a = region-a\n");
        replace("{{node_name}}", name_);
        replace("{{zone}}", "zone-a");
        replace("{{region}}", "region-a");
        replace("{{listen_addrs.frontend}}", address(caller_port_));
        replace("{{listen_addrs.ready}}", address(ready_port_));
        replace("{{ip}}:9464", address(free_port()));
        replace("{{ip}}:{{internal_ports.0}}", address(free_port()));
        replace("{{platform.address}}", address(store_port));
        for (auto const& [key, value] : default_bounds())
            replace("{{bounds." + key + "}}", value);
        return text;
    }

    std::string root_;
    std::string name_;
    std::uint16_t caller_port_;
    std::uint16_t ready_port_;
    std::string folder_;
    std::string settings_;
    pid_t pid_ = 0;
    int starts_ = 0;
};

/// Registration of a leaf, as the leaf writes it.
struct registration
{
    std::string service;
    std::uint16_t port = 0;
    std::string state = "ready";
    int warmup_left_ms = 0;
    int sequence = 1;
    int slots = 20;
    std::int64_t born = 1'780'000'000'000;

    auto text() const -> std::string
    {
        return "{\"service\":\"" + service +
               "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
               "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" +
               std::to_string(slots) + ",\"state\":\"" + state +
               "\",\"warmup_left_ms\":" + std::to_string(warmup_left_ms) +
               ",\"sequence\":" + std::to_string(sequence) +
               ",\"born\":" + std::to_string(born) + "}";
    }
};

/// A route to one service.
inline auto route_text(std::string const& path, std::string const& type,
    std::string const& service, int timeout_ms = 3000) -> std::string
{
    return "{\"name\":\"r-" + service + "-" + type +
           "\",\"hostname\":\"h.example\",\"path_prefix\":\"" + path +
           "\",\"route_type\":\"" + type +
           "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"" +
           service + "\",\"max_attempts\":2,\"allowed_regions\":[]}";
}

inline auto service_text(std::string const& name, double warmup_per_s = 0)
    -> std::string
{
    return "{\"name\":\"" + name +
           "\",\"health_path\":\"/health\",\"max_connections\":110,"
           "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
           "\"warmup_per_s\":" +
           std::to_string(warmup_per_s) + "}";
}

inline auto config_text(int version, std::string const& routes,
    std::string const& services) -> std::string
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           routes + "],\"services\":[" + services +
           "],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000}}";
}

/// What a leaf does with a request that it runs.
struct leaf_reply
{
    int status = 200;
    std::string body = "the server's bytes";
    bool answered = true; ///< Otherwise the connection is closed.
};

/// A request that has reached a leaf.
struct arrival
{
    std::int64_t at = 0;
    std::string leaf;
    std::string id;
    bool ran = false;
};

/// Arrivals at all leafs of a script.
class arrival_log
{
public:
    auto add(arrival a) -> void
    {
        auto const lock = std::lock_guard{mutex_};
        all_.push_back(std::move(a));
    }

    auto all() const -> std::vector<arrival>
    {
        auto const lock = std::lock_guard{mutex_};
        return all_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<arrival> all_;
};

/// A leaf: rejects requests for another id with 421, runs the others.
class leaf
{
public:
    using work = std::function<leaf_reply(http_text const&)>;

    leaf(std::string id, std::uint16_t port, arrival_log& log, work f)
        : id_(std::move(id)), log_(log), work_(std::move(f)),
          server_(port, [this](stream& s) { serve(s); })
    {
    }

    auto port() const -> std::uint16_t { return server_.port(); }
    auto id() const -> std::string const& { return id_; }

    /// Ends the leaf: its port and its connections close at once.
    auto stop() -> void { server_.stop(); }
    auto is_stopped() const -> bool { return server_.is_stopped(); }

private:
    auto serve(stream& s) -> void
    {
        while (auto const m = s.read())
            if (!answer(s, *m))
                return;
    }

    auto answer(stream& s, http_text const& m) -> bool
    {
        auto const request = m.field("X-Request-Id");
        auto const wanted = m.field("X-Target-Instance");
        if (!wanted.empty() && wanted != id_)
        {
            log_.add({now_ms(), id_, request, false});
            return s.send_all("HTTP/1.1 421 Misdirected Request\r\n"
                              "X-Instance-Id: " +
                              id_ + "\r\nContent-Length: 0\r\n\r\n");
        }
        log_.add({now_ms(), id_, request, true});
        auto const r = work_(m);
        if (!r.answered || server_.is_stopped())
            return false;
        return s.send_all("HTTP/1.1 " + std::to_string(r.status) +
                          " Status\r\nX-Request-Id: " + request +
                          "\r\nX-Server-Stamp: " + id_ + "." + request +
                          "\r\nContent-Length: " +
                          std::to_string(r.body.size()) + "\r\n\r\n" + r.body);
    }

    std::string id_;
    arrival_log& log_;
    work work_;
    server server_;
};

/// What a client got for one attempt.
struct client_answer
{
    int status = 0; ///< 0: the connection ended without a complete answer.
    std::string stamp;
    std::string retry_after;
    std::size_t body_bytes = 0;
    std::int64_t took_ms = 0;
};

inline auto request_text(std::string const& method, std::string const& target,
    std::string const& id, int deadline_ms, std::string const& body = {})
    -> std::string
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
           "\r\nX-Request-Deadline: " + std::to_string(deadline_ms) + "\r\n" +
           (method == "GET" ? std::string{}
                            : "Content-Length: " + std::to_string(body.size()) +
                                  "\r\n") +
           "\r\n" + body;
}

/// Sends one request on a connection, which is closed afterwards.
inline auto ask_on(int fd, std::string const& method, std::string const& target,
    std::string const& id, int deadline_ms, std::string const& body = {})
    -> client_answer
{
    auto const begun = now_ms();
    auto a = client_answer{};
    if (fd >= 0)
    {
        auto s = stream{fd};
        auto const patience = timeval{deadline_ms / 1'000 + 1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        s.send_all(request_text(method, target, id, deadline_ms, body));
        if (auto const m = s.read())
        {
            a.status = m->status();
            a.stamp = m->field("X-Server-Stamp");
            a.retry_after = m->field("Retry-After");
            a.body_bytes = m->body.size();
        }
    }
    a.took_ms = now_ms() - begun;
    return a;
}

/// Sends one request on a new connection.
inline auto ask(std::uint16_t port, std::string const& method,
    std::string const& target, std::string const& id, int deadline_ms,
    std::string const& body = {}) -> client_answer
{
    return ask_on(connect_to(port), method, target, id, deadline_ms, body);
}

inline auto id_of(char const* prefix, int n) -> std::string
{
    return prefix + std::to_string(n);
}

} // namespace review

#endif
