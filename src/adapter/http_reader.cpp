#include "adapter/http_reader.hpp"

#include <algorithm>
#include <utility>

namespace knapweedstream
{

namespace
{

constexpr auto stop_parsing = 1; ///< From a callback: stop with an error.
/// Interim responses (status 1xx) accepted before a response.
constexpr auto max_interim = std::size_t{16};
constexpr auto skip_body = 1; ///< From `on_head`: there is no body.
constexpr auto line_overhead_bytes = std::size_t{4}; ///< `: ` and CRLF.

auto self_of(http_parser* p) -> http_reader*
{
    return static_cast<http_reader*>(p->data);
}

constexpr auto min_status = 100u;
constexpr auto max_status = 599u;

/// True if a field name contains white space, which the parser accepts.
auto has_bad_name(http_message const& m) -> bool
{
    return std::any_of(m.fields.begin(), m.fields.end(),
        [](header_field const& it)
        { return it.name.find_first_of(" \t") != std::string::npos; });
}

auto is_interim(http_parser const& p) -> bool
{
    return p.status_code >= 100 && p.status_code < 200;
}

} // namespace

http_reader::http_reader(message_kind kind, read_limits const& limits)
    : kind_(kind), limits_(limits)
{
    http_parser_init(
        &parser_, kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

auto http_reader::settings() -> http_parser_settings const&
{
    static auto const it = []
    {
        auto s = http_parser_settings{};
        http_parser_settings_init(&s);
        s.on_message_begin = on_begin;
        s.on_url = on_url;
        s.on_header_field = on_field;
        s.on_header_value = on_value;
        s.on_headers_complete = on_head;
        s.on_body = on_body;
        s.on_message_complete = on_complete;
        return s;
    }();
    return it;
}

auto http_reader::feed(std::string_view bytes) -> std::size_t
{
    if (complete_ || error_ || bytes.empty())
        return 0;
    piece_ = bytes;
    auto const n =
        http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
    line_begins_ = begins_line(bytes.data() + n);
    piece_ = {};
    auto const code = HTTP_PARSER_ERRNO(&parser_);
    if (complete_)
    {
        http_parser_pause(&parser_, 0);
        return n;
    }
    if (code != HPE_OK && !error_)
        error_ = code == HPE_HEADER_OVERFLOW ? read_error::header_too_large
                                             : read_error::malformed;
    return n;
}

auto http_reader::end() -> void
{
    if (complete_ || error_)
        return;
    http_parser_execute(&parser_, &settings(), nullptr, 0);
    if (complete_)
        http_parser_pause(&parser_, 0);
    else
        error_ = read_error::malformed;
}

auto http_reader::take() -> http_message
{
    complete_ = false;
    begun_ = false;
    head_done_ = false;
    header_bytes_ = 0;
    in_value_ = false;
    return std::exchange(message_, {});
}

auto http_reader::discard() -> void
{
    // Assigning an empty message would keep the capacity of the body.
    auto const freed = std::exchange(message_, {});
    header_bytes_ = 0;
}

auto http_reader::begins_line(char const* at) const -> bool
{
    while (at != piece_.data() && (at[-1] == ' ' || at[-1] == '\t'))
        --at;
    return at == piece_.data() ? line_begins_ : at[-1] == '\n';
}

auto http_reader::fail(read_error why) -> int
{
    error_ = why;
    return stop_parsing;
}

auto http_reader::add_header_bytes(std::size_t n) -> bool
{
    header_bytes_ += n;
    return limits_.header_bytes == 0 || header_bytes_ <= limits_.header_bytes;
}

auto http_reader::on_begin(http_parser* p) -> int
{
    self_of(p)->begun_ = true;
    return 0;
}

auto http_reader::on_url(http_parser* p, char const* at, std::size_t n) -> int
{
    auto* self = self_of(p);
    self->message_.target.append(at, n);
    return self->add_header_bytes(n) ? 0
                                     : self->fail(read_error::header_too_large);
}

auto http_reader::on_field(http_parser* p, char const* at, std::size_t n) -> int
{
    auto* self = self_of(p);
    auto& fields = self->message_.fields;
    if (fields.empty() || self->in_value_)
    {
        fields.emplace_back();
        if (!self->add_header_bytes(line_overhead_bytes))
            return self->fail(read_error::header_too_large);
    }
    self->in_value_ = false;
    fields.back().name.append(at, n);
    return self->add_header_bytes(n) ? 0
                                     : self->fail(read_error::header_too_large);
}

auto http_reader::on_value(http_parser* p, char const* at, std::size_t n) -> int
{
    auto* self = self_of(p);
    if (n > 0 && self->begins_line(at)) // A folded line (RFC 9112, 5.2).
        return self->fail(read_error::malformed);
    self->in_value_ = true;
    if (!self->message_.fields.empty())
        self->message_.fields.back().value.append(at, n);
    return self->add_header_bytes(n) ? 0
                                     : self->fail(read_error::header_too_large);
}

auto http_reader::on_head(http_parser* p) -> int
{
    auto* self = self_of(p);
    auto& m = self->message_;
    p->upgrade = 0; // Ignore `Upgrade`: parse what follows as HTTP.
    if (self->kind_ == message_kind::request)
        m.method = http_method_str(static_cast<http_method>(p->method));
    else
        m.status = p->status_code;
    auto const bad_status = self->kind_ == message_kind::response &&
                            (m.status < min_status || m.status > max_status);
    if (bad_status || has_bad_name(m))
        return self->fail(read_error::malformed);
    self->head_done_ = true;
    self->head_fields_ = m.fields.size();
    auto const limit = self->limits_.body_bytes;
    auto const has_length = (p->flags & F_CONTENTLENGTH) != 0;
    if (limit != 0 && has_length && p->content_length > limit)
        return self->fail(read_error::body_too_large);
    return self->no_body_ ? skip_body : 0;
}

auto http_reader::on_body(http_parser* p, char const* at, std::size_t n) -> int
{
    auto* self = self_of(p);
    auto const limit = self->limits_.body_bytes;
    if (limit != 0 && self->message_.body.size() + n > limit)
        return self->fail(read_error::body_too_large);
    self->message_.body.append(at, n);
    return 0;
}

auto http_reader::on_complete(http_parser* p) -> int
{
    auto* self = self_of(p);
    if (self->error_) // In the head; the parser has skipped the body.
        return stop_parsing;
    if (has_bad_name(self->message_)) // Of a field after the body.
        return self->fail(read_error::malformed);
    self->message_.fields.resize(self->head_fields_);
    if (self->kind_ == message_kind::response && is_interim(*p))
    {
        self->take();
        return ++self->interim_ > max_interim
                   ? self->fail(read_error::malformed)
                   : 0;
    }
    self->interim_ = 0;
    self->message_.keep_alive = http_should_keep_alive(p) != 0;
    self->complete_ = true;
    http_parser_pause(p, 1);
    return 0;
}

} // namespace knapweedstream
