#include "tillerhall/http/exchange.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"

#include <array>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;
using response_parser = http::response_parser<http::string_body>;

constexpr std::array<std::string_view, 5> end_names{
    "answered", "not_sent", "unknown", "timed_out", "cancelled"};
constexpr std::uint32_t largest_response_head = 32 * 1024;
constexpr std::uint64_t largest_response_body = 64 * 1024 * 1024;
// A body up to this size fits the socket's buffer, so that writing it does
// not wait for the other side; measured with the default buffers of Linux.
constexpr std::size_t inline_body_bytes = 8 * 1024;
// More answers to others than this are no crossing but a broken sender.
constexpr unsigned most_skipped = 4;

/** One exchange; its steps over shared state. */
class exchange_run
{
public:
    exchange_run(tcp_stream& stream,
                 whole_request& request,
                 const exchange_plan& plan,
                 cancel_scope& scope)
        : m_stream(stream)
        , m_request(request)
        , m_plan(plan)
        , m_scope(scope)
    {
    }

    exchange_result run()
    {
        if (m_scope.is_cancelled())
            return ended(exchange_end::cancelled, "the client left");
        const cancel_action action(m_scope, [this] { close(); });
        m_stream.expires_at(m_plan.deadline);
        if (m_request.body().size() <= inline_body_bytes)
        {
            write();
            if (m_sent && !m_write_failed)
                read();
        }
        else
            // The response may come before the body is out, so both at once.
            run_parallel({[this] { write(); }, [this] { read(); }});
        return conclude();
    }

private:
    void write()
    {
        boost::system::error_code failed;
        m_bytes_out = http::async_write(m_stream, m_request, await{failed});
        m_sent = !failed;
        m_write_failed = failed.failed();
        if (failed && !m_result.response)
            note(failed, "sending failed");
    }

    void read()
    {
        while (true)
        {
            response_parser parser;
            parser.header_limit(largest_response_head);
            parser.body_limit(largest_response_body);
            parser.skip(m_request.method() == http::verb::head);
            boost::system::error_code failed;
            http::async_read(m_stream, m_buffer, parser, await{failed});
            if (failed)
                return note(failed, "no whole response came");
            if (parser.get().result_int() < 200)
                continue; // an interim response
            if (parser.get()[m_plan.id_field] == m_plan.id)
                return take(parser);
            if (!parser.keep_alive() || ++m_result.skipped > most_skipped)
                return note({}, "the response belongs to another request");
        }
    }

    void take(response_parser& parser)
    {
        m_keep_alive = parser.keep_alive() && !parser.need_eof();
        m_result.response = parser.release();
        // What is still to be sent belongs to a request that was answered.
        if (!m_sent)
            close();
    }

    /** Keeps the first failure. */
    void note(const boost::system::error_code& failed, const char* what)
    {
        if (!m_result.detail.empty())
            return;
        m_timed_out = failed == boost::beast::error::timeout;
        m_result.detail =
            failed ? std::string(what) + ": " + failed.message() : what;
        // Both directions end with the first failure of either.
        close();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
    }

    exchange_result conclude()
    {
        if (m_result.response)
        {
            m_result.end = exchange_end::answered;
            m_result.reusable = m_sent && m_keep_alive && m_buffer.size() == 0;
            return std::move(m_result);
        }
        if (m_scope.is_cancelled())
            return ended(exchange_end::cancelled, "the client left");
        if (m_bytes_out == 0 && m_write_failed)
            return ended(exchange_end::not_sent, m_result.detail);
        return ended(m_timed_out ? exchange_end::timed_out
                                 : exchange_end::unknown,
                     m_result.detail);
    }

    exchange_result ended(exchange_end end, std::string detail)
    {
        m_result.end = end;
        m_result.detail = std::move(detail);
        return std::move(m_result);
    }

    tcp_stream& m_stream;
    whole_request& m_request;
    const exchange_plan& m_plan;
    cancel_scope& m_scope;
    exchange_result m_result;
    boost::beast::flat_buffer m_buffer;
    std::size_t m_bytes_out = 0;
    bool m_sent = false;
    bool m_write_failed = false;
    bool m_timed_out = false;
    bool m_keep_alive = false;
};

} // namespace

std::string_view name_of(exchange_end end) noexcept
{
    return end_names[static_cast<std::size_t>(end)];
}

exchange_result exchange(tcp_stream& stream,
                         whole_request& request,
                         const exchange_plan& plan,
                         cancel_scope& scope)
{
    return exchange_run(stream, request, plan, scope).run();
}

std::optional<std::chrono::seconds>
idle_seconds_told(const whole_response& response)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view told = response[http::field::keep_alive];
    const auto at = told.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto* const begin = told.data() + at + key.size();
    std::int64_t seconds = 0;
    if (std::from_chars(begin, told.data() + told.size(), seconds).ec !=
        std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace tillerhall
