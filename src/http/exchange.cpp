#include "tillerhall/http/exchange.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/exchange_observer.hpp"
#include "tillerhall/http/memory_account.hpp"
#include "tillerhall/http/response_head.hpp"

#include <algorithm>
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
/** Reads a whole response. */
using response_parser = http::response_parser<http::string_body>;

constexpr std::array<std::string_view, 6> end_names{"answered",  "not_written",
                                                    "discarded", "unknown",
                                                    "timed_out", "cancelled"};
constexpr std::uint64_t max_response_body_bytes = 64 * 1024 * 1024;
// Limit of a body of unknown length, which may have no end: reading it takes
// processor time from other calls.
constexpr std::uint64_t max_unframed_body_bytes = 8 * 1024 * 1024;
// A body up to this size fits into a socket's default send buffer, so that
// writing it does not wait for the peer to read.
constexpr std::size_t inline_body_bytes = 8 * 1024;
// Late responses to earlier requests are skipped; more mean a faulty sender.
constexpr unsigned max_skipped = 4;
// Limit of such a response's body if its length is unknown.
constexpr std::uint64_t max_skipped_body_bytes = 1024 * 1024;
constexpr unsigned max_interim = 16;
// Holds the largest head and one read of a body.
constexpr std::size_t max_buffer_bytes = 128 * 1024;
// A read takes as much as the buffer holds, 512 bytes at least: a large body
// read in such pieces takes many times the processor time.
constexpr std::size_t max_read_bytes = 64 * 1024;
constexpr const char* not_whole = "no whole response came";
constexpr const char* does_not_fit = "the response does not fit into memory";

/** The state and the steps of one exchange. */
class exchange_run
{
public:
    exchange_run(tcp_stream& stream,
                 outgoing_request& request,
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
            return result_of(exchange_end::cancelled, "the client left");
        const cancel_action action(m_scope, [this] { close(); });
        m_stream.expires_at(m_plan.deadline);
        if (m_request.body().size() <= inline_body_bytes)
        {
            write();
            if (m_sent)
                read();
        }
        else
            // The response may come before the body is sent, so both run at
            // once.
            run_parallel({[this] { write(); }, [this] { read(); }});
        if (m_ends_with_connection && !has_clean_end())
            m_result.response.reset();
        return make_result();
    }

private:
    void write()
    {
        boost::system::error_code failed;
        m_bytes_out = http::async_write(m_stream, m_request, await{failed});
        m_sent = !failed;
        m_write_error = failed;
        if (failed && !m_result.response)
            fail(failed, "sending failed");
        if (!failed && m_plan.observer != nullptr)
            m_plan.observer->request_sent();
    }

    void read()
    {
        for (unsigned interim = 0; interim <= max_interim;)
        {
            response_head_parser parser;
            parser.body_limit(max_response_body_bytes);
            boost::system::error_code failed;
            const auto fault = read_response_head(m_stream, m_buffer, parser,
                                                  m_request.method(), failed);
            if (!fault.empty())
                return fail(failed, fault);
            if (is_goaway(parser))
                return discard();
            if (is_interim(parser.get()))
                ++interim;
            else if (parser.get()[m_plan.id_field] == m_plan.id)
                return read_own(parser);
            else if (!skip(parser))
                return;
        }
        fail({}, "too many interim responses came");
    }

    /** Reads the body of the response to this request. */
    void read_own(response_head_parser& head)
    {
        if (m_plan.observer != nullptr)
            m_plan.observer->response_began();
        response_parser parser(std::move(head));
        m_result.memory =
            std::make_shared<memory_account::holding>(m_plan.memory);
        auto& body = *m_result.memory;
        const auto length = parser.content_length();
        if (!length)
            parser.body_limit(max_unframed_body_bytes);
        else if (!parser.is_done() &&
                 !body.wait_for(m_stream.get_executor().context(),
                                *length + read_bytes_of(*length),
                                m_plan.deadline))
            return fail({}, does_not_fit);
        // Otherwise each chunk takes a read of its own.
        parser.eager(true);
        boost::system::error_code failed;
        while (!failed && !parser.is_done())
        {
            reserve_read(length.value_or(parser.get().body().size()));
            if (length)
                http::async_read(m_stream, m_buffer, parser, await{failed});
            else
                http::async_read_some(m_stream, m_buffer, parser,
                                      await{failed});
            if (!length && !body.grow_to(parser.get().body().capacity()))
                return fail({}, does_not_fit);
        }
        if (failed)
            return fail(failed, not_whole);
        if (length)
            body.take(*length); // the buffer ends with the exchange
        accept(parser);
    }

    /** @return the size of the reads of a body of @p bytes. */
    static std::uint64_t read_bytes_of(std::uint64_t bytes)
    {
        return std::min<std::uint64_t>(bytes, max_read_bytes);
    }

    /** Makes room in the buffer for up to @p bytes of a body. */
    void reserve_read(std::uint64_t bytes)
    {
        m_buffer.reserve(read_bytes_of(bytes));
    }

    /** Reads and discards a response to another request. @return false if none
     * can follow it. */
    bool skip(response_head_parser& parser)
    {
        boost::system::error_code failed;
        if (!parser.keep_alive() || ++m_result.skipped > max_skipped)
        {
            fail({}, "the response belongs to another request");
            return false;
        }
        if (!parser.content_length())
            parser.body_limit(max_skipped_body_bytes);
        reserve_read(parser.content_length().value_or(0));
        std::array<char, 4096> discarded{};
        while (!failed && !parser.is_done())
        {
            auto& body = parser.get().body();
            body.data = discarded.data();
            body.size = discarded.size();
            http::async_read(m_stream, m_buffer, parser, await{failed});
            if (failed == http::error::need_buffer)
                failed = {};
        }
        if (failed)
            fail(failed, not_whole);
        return !failed;
    }

    bool is_goaway(const response_head_parser& parser) const
    {
        return !m_plan.goaway_field.empty() &&
               parser.get().count(m_plan.goaway_field) != 0;
    }

    void discard()
    {
        m_is_discarded = true;
        fail({}, "the peer closes the connection");
    }

    void accept(response_parser& parser)
    {
        m_ends_with_connection = parser.need_eof();
        m_keep_alive = parser.keep_alive() && !parser.need_eof();
        m_result.response = parser.release();
        // The request is answered: the rest of it need not be sent, unless its
        // delivery tells whether the response is whole.
        if (!m_sent && !m_ends_with_connection)
            close();
    }

    /** @return whether a response that ended with the connection is whole: the
     * request was received, and the connection not reset. */
    bool has_clean_end()
    {
        const auto failed =
            m_sent ? await_clean_end(m_stream, m_plan.deadline) : m_write_error;
        if (failed)
            fail(failed, not_whole);
        return !failed;
    }

    /** Records the first failure and closes the stream. */
    void fail(const boost::system::error_code& failed, const std::string& what)
    {
        if (!m_result.detail.empty())
            return;
        m_timed_out = failed == boost::beast::error::timeout;
        m_result.detail = failed ? what + ": " + failed.message() : what;
        // Also ends the pending operation in the other direction.
        close();
    }

    void close() { reset_stream(m_stream); }

    exchange_result make_result()
    {
        if (m_result.response)
        {
            m_result.end = exchange_end::answered;
            m_result.reusable = m_sent && m_keep_alive && m_buffer.size() == 0;
            return std::move(m_result);
        }
        if (m_scope.is_cancelled())
            return result_of(exchange_end::cancelled, "the client left");
        if (m_is_discarded)
            return result_of(exchange_end::discarded, m_result.detail);
        if (m_bytes_out == 0 && m_write_error)
            return result_of(exchange_end::not_written, m_result.detail);
        return result_of(m_timed_out ? exchange_end::timed_out
                                     : exchange_end::unknown,
                         m_result.detail);
    }

    exchange_result result_of(exchange_end end, std::string detail)
    {
        m_result.end = end;
        m_result.detail = std::move(detail);
        m_result.memory.reset();
        return std::move(m_result);
    }

    tcp_stream& m_stream;
    outgoing_request& m_request;
    const exchange_plan& m_plan;
    cancel_scope& m_scope;
    exchange_result m_result;
    boost::beast::flat_buffer m_buffer{max_buffer_bytes};
    std::size_t m_bytes_out = 0;
    boost::system::error_code m_write_error;
    bool m_sent = false;
    bool m_timed_out = false;
    bool m_keep_alive = false;
    bool m_ends_with_connection = false; ///< the response's body
    bool m_is_discarded = false;
};

} // namespace

std::string_view name_of(exchange_end end) noexcept
{
    return end_names[static_cast<std::size_t>(end)];
}

exchange_result exchange(tcp_stream& stream,
                         outgoing_request& request,
                         const exchange_plan& plan,
                         cancel_scope& scope)
{
    return exchange_run(stream, request, plan, scope).run();
}

exchange_result exchange(tcp_stream& stream,
                         const whole_request& request,
                         const exchange_plan& plan,
                         cancel_scope& scope)
{
    auto sent = view_of(request);
    return exchange(stream, sent, plan, scope);
}

std::optional<std::chrono::seconds>
keep_alive_timeout(const whole_response& response)
{
    constexpr std::string_view key = "timeout=";
    const std::string_view value = response[http::field::keep_alive];
    const auto at = value.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto* const begin = value.data() + at + key.size();
    std::int64_t seconds = 0;
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec !=
        std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace tillerhall
