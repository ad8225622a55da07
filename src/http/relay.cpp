#include "tillerhall/http/relay.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/http/caller_watch.hpp"
#include "tillerhall/http/response_head.hpp"

#include <array>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdlib>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

constexpr std::size_t piece_bytes = 64 * 1024;
// Holds the largest head and one read of a body.
constexpr std::size_t max_buffer_bytes = 128 * 1024;
constexpr auto service_unavailable = http::status::service_unavailable;

/** The state and the steps of one `relay_call`. */
class relay
{
public:
    relay(inbound_call& call, tcp_stream& upstream, const relay_plan& plan)
        : m_call(call)
        , m_upstream(upstream)
        , m_plan(plan)
    {
    }

    relay_result run()
    {
        m_upstream.expires_at(m_plan.deadline);
        const bool sent =
            m_call.has_whole_body() ? send_buffered() : send_streamed();
        if (!sent || !read_answer_head())
            return std::move(m_result);
        if (m_plan.on_head)
            m_plan.on_head(m_parser->get().base());
        if (!handle_refusal())
            answer();
        return std::move(m_result);
    }

private:
    bool send_buffered()
    {
        http::request<http::string_body> request(m_plan.head);
        request.body() = m_call.prefix();
        if (!m_call.prefix().empty() || m_call.length())
            request.content_length(m_call.prefix().size());
        boost::system::error_code failed;
        const auto bytes =
            http::async_write(m_upstream, request, await{failed});
        return check_sent(bytes, failed);
    }

    bool check_sent(std::size_t bytes, const boost::system::error_code& failed)
    {
        m_result.started = m_result.started || bytes != 0;
        if (!failed)
            return true;
        // If the kernel accepted no byte, nothing can have arrived.
        fail(m_result.started ? relay_end::unknown : relay_end::not_run,
             "sending failed: " + failed.message(), failed);
        return false;
    }

    bool send_streamed()
    {
        http::request<http::buffer_body> request(m_plan.head);
        if (const auto length = m_call.length())
            request.content_length(*length);
        else
            request.chunked(true);
        if (m_plan.upstream == upstream_kind::peer)
            request.set(http::field::expect, "100-continue");
        request.body().data = nullptr;
        request.body().more = true;
        http::request_serializer<http::buffer_body> serializer(request);
        boost::system::error_code failed;
        const auto bytes =
            http::async_write_header(m_upstream, serializer, await{failed});
        if (!check_sent(bytes, failed))
            return false;
        if (m_plan.upstream == upstream_kind::peer && !await_continue())
            return m_parser.has_value();
        auto piece = std::span(const_cast<char*>(m_call.prefix().data()),
                               m_call.prefix().size());
        std::vector<char> buffer(piece_bytes);
        while (true)
        {
            auto& body = request.body();
            body.data = piece.empty() ? nullptr : piece.data();
            body.size = piece.size();
            body.more = !piece.empty();
            http::async_write(m_upstream, serializer, await{failed});
            if (failed == http::error::need_buffer)
                failed = {};
            if (failed)
                return fail(relay_end::unknown,
                            "sending the body failed: " + failed.message(),
                            failed);
            if (!body.more)
                return true;
            const auto size = m_call.read_piece(buffer);
            if (!size)
                return fail(relay_end::caller_gone, size.reason().detail());
            piece = std::span(buffer.data(), *size);
        }
    }

    /** @return true if the peer accepts the body. If not, `m_parser` holds its
     * answer, or `m_result` says why there is none. */
    bool await_continue()
    {
        if (!read_head_once())
            return false;
        if (m_parser->get().result() != http::status::continue_)
            return false;
        m_parser.reset();
        return true;
    }

    bool read_head_once()
    {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        boost::system::error_code failed;
        const auto fault = read_response_head(m_upstream, m_buffer, *m_parser,
                                              m_plan.head.method(), failed);
        if (fault.empty())
            return true;
        m_parser.reset();
        return fail(relay_end::unknown,
                    failed ? fault + ": " + failed.message() : fault, failed);
    }

    bool read_answer_head()
    {
        if (m_parser)
            return true; // the peer answered before the body was sent
        const caller_watch watch(m_call.stream(), m_upstream);
        bool informational = true;
        while (informational)
        {
            if (!read_head_once())
            {
                if (watch.is_gone())
                    m_result.end = relay_end::caller_gone;
                return false;
            }
            informational = is_interim(m_parser->get());
        }
        return true;
    }

    /** Reads the load that a peer reports, and a refusal.
     * @return true if the head is a refusal. */
    bool handle_refusal()
    {
        const auto& head = m_parser->get();
        const std::string_view load = head[field_name::load];
        if (m_plan.upstream == upstream_kind::peer && !load.empty())
            m_result.load = std::strtod(std::string(load).c_str(), nullptr);
        const auto outcome = outcome_of(head);
        if (outcome == relay_end::answered)
            return false;
        m_result.retry_after = std::string(head[http::field::retry_after]);
        if (m_plan.upstream == upstream_kind::peer)
            take_refusal_fields(head);
        m_result.status = head.result_int();
        m_result.end = outcome;
        m_result.detail = m_plan.upstream == upstream_kind::peer
                              ? "told by the target's node"
                              : "refused by the target";
        drain_refusal();
        return true;
    }

    void take_refusal_fields(const response_head& head)
    {
        m_result.reached_target = head[refusal_field::reached] != "0";
        const std::string_view text = head[refusal_field::pause_ms];
        std::uint32_t pause_ms = 0;
        std::from_chars(text.data(), text.data() + text.size(), pause_ms);
        m_result.pause = milliseconds(pause_ms);
    }

    /** @return how the call ended, `answered` if the head is an answer. */
    relay_end outcome_of(const response_head& head) const
    {
        const bool from_peer = m_plan.upstream == upstream_kind::peer;
        const auto outcome = head[field_name::outcome];
        const bool not_run = from_peer ? outcome == outcome_value::not_run
                                       : head.count(m_plan.not_run_header) != 0;
        if (not_run && head.result() == service_unavailable)
            return relay_end::not_run;
        if (!from_peer || outcome != outcome_value::unknown)
            return relay_end::answered;
        return head.result() == http::status::gateway_timeout
                   ? relay_end::timed_out
                   : relay_end::unknown;
    }

    /** Reads the body of a refusal, so that the connection can be reused. */
    void drain_refusal()
    {
        std::array<char, 4096> scratch{};
        boost::system::error_code failed;
        const auto size = read_body(scratch, failed);
        (void)size;
        m_result.reusable = !failed && m_parser->is_done() &&
                            m_parser->get().keep_alive() &&
                            m_call.has_whole_body();
    }

    std::size_t read_body(std::span<char> into,
                          boost::system::error_code& failed)
    {
        auto& body = m_parser->get().body();
        body.data = into.data();
        body.size = into.size();
        body.more = true;
        if (!m_parser->is_done())
            http::async_read(m_upstream, m_buffer, *m_parser, await{failed});
        if (failed == http::error::need_buffer)
            failed = {};
        return into.size() - body.size;
    }

    /** As `read_body`; fails if the body ends with the connection and the
     * target or peer did not receive the whole call, or reset it. */
    std::size_t read_answer_body(boost::system::error_code& failed)
    {
        const auto size = read_body(m_piece, failed);
        if (!failed && m_parser->is_done() && m_parser->need_eof())
            failed = await_clean_end(m_upstream, m_plan.deadline);
        return size;
    }

    response_head answer_head()
    {
        response_head head = m_parser->get().base();
        remove_hop_fields(head);
        if (m_plan.upstream == upstream_kind::target)
        {
            remove_mesh_fields(head);
            head.erase(m_plan.not_run_header);
        }
        head.erase(field_name::load);
        if (m_plan.load)
            head.set(field_name::load, std::to_string(*m_plan.load));
        head.set(field_name::request_id, m_plan.request_id);
        head.version(11);
        return head;
    }

    void answer()
    {
        m_result.status = m_parser->get().result_int();
        m_piece.resize(piece_bytes);
        boost::system::error_code failed;
        const auto size = read_answer_body(failed);
        if (failed)
        {
            // Nothing was sent to the caller yet: it gets an error response.
            fail(relay_end::unknown,
                 "the answer broke off: " + failed.message(), failed);
            return;
        }
        // The caller's stream has its own deadline, apart from the upstream's.
        m_call.stream().expires_at(m_plan.deadline);
        if (m_parser->is_done())
            answer_buffered(size);
        else
            answer_streamed(size);
    }

    void answer_buffered(std::size_t size)
    {
        http::response<http::string_body> response(answer_head());
        response.body().assign(m_piece.data(), size);
        const bool has_length =
            response.count(http::field::content_length) != 0;
        if (size != 0 || !has_length)
            response.prepare_payload();
        response.keep_alive(m_call.can_keep_alive());
        if (m_plan.store_answer)
            m_result.kept =
                stored_answer{response.result_int(),
                              std::string(response[http::field::content_type]),
                              response.body()};
        boost::system::error_code failed;
        http::async_write(m_call.stream(), response, await{failed});
        finish(failed);
    }

    void answer_streamed(std::size_t size)
    {
        http::response<http::buffer_body> response(answer_head());
        const auto length = m_parser->content_length();
        if (!length)
            response.chunked(true);
        response.keep_alive(m_call.can_keep_alive());
        http::response_serializer<http::buffer_body> serializer(response);
        while (true)
        {
            auto& body = response.body();
            const bool more = !m_parser->is_done();
            body.data = size == 0 ? nullptr : m_piece.data();
            body.size = size;
            body.more = more;
            boost::system::error_code failed;
            http::async_write(m_call.stream(), serializer, await{failed});
            if (failed == http::error::need_buffer)
                failed = {};
            if (failed || !more)
                return finish(failed);
            size = read_answer_body(failed);
            if (failed)
            {
                close_caller();
                fail(relay_end::cut,
                     "the answer broke off: " + failed.message());
                return;
            }
        }
    }

    /** Closes the caller's connection, so that it does not take a truncated
     * answer for a complete one. */
    void close_caller()
    {
        boost::system::error_code ignored;
        m_call.stream().socket().close(ignored);
    }

    void finish(const boost::system::error_code& failed)
    {
        m_result.end = failed ? relay_end::caller_gone : relay_end::answered;
        m_result.reusable = !failed && m_parser->is_done() &&
                            m_parser->keep_alive() && m_buffer.size() == 0 &&
                            m_call.has_whole_body();
    }

    /** Records a failure and closes the upstream stream. @return false, for use
     * in return statements. */
    bool fail(relay_end how,
              std::string detail,
              const boost::system::error_code& failed = {})
    {
        const bool timed_out = failed == boost::beast::error::timeout;
        m_result.end =
            timed_out && how == relay_end::unknown ? relay_end::timed_out : how;
        m_result.detail = std::move(detail);
        reset_stream(m_upstream);
        return false;
    }

    inbound_call& m_call;
    tcp_stream& m_upstream;
    const relay_plan& m_plan;
    relay_result m_result;
    boost::beast::flat_buffer m_buffer{max_buffer_bytes};
    std::optional<response_head_parser> m_parser;
    std::vector<char> m_piece;
};

} // namespace

relay_result
relay_call(inbound_call& call, tcp_stream& upstream, const relay_plan& plan)
{
    return relay(call, upstream, plan).run();
}

} // namespace tillerhall
