/** @file A completion token that suspends the calling fiber. */
#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <tuple>
#include <utility>

namespace tillerhall
{

/**
 * Passed to an Asio operation: suspends the calling fiber until the operation
 * completes, stores its error in `failed` and returns its result.
 */
struct await
{
    boost::system::error_code& failed;
};

namespace internal
{

/** State shared by the waiting fiber and the completion handler. */
template <class Value>
struct await_state
{
    boost::fibers::context* waiter = nullptr;
    bool done = false;
    boost::system::error_code failed;
    Value value{};

    void wait()
    {
        // Completion handlers run on the same thread, so no lock is needed.
        while (!done)
        {
            waiter = boost::fibers::context::active();
            waiter->suspend();
        }
    }

    void finish()
    {
        done = true;
        if (waiter != nullptr)
            boost::fibers::context::active()->schedule(waiter);
    }
};

struct no_value
{
};

template <class Value>
struct await_handler
{
    await_state<Value>* state;

    void operator()(boost::system::error_code failed)
    {
        state->failed = failed;
        state->finish();
    }

    template <class Result>
    void operator()(boost::system::error_code failed, Result&& arg)
    {
        state->value = std::forward<Result>(arg);
        (*this)(failed);
    }
};

} // namespace internal
} // namespace tillerhall

namespace boost::asio
{

template <class... Values>
class async_result<tillerhall::await,
                   void(boost::system::error_code, Values...)>
{
    static_assert(sizeof...(Values) <= 1);
    using value_type = std::tuple_element_t<
        0,
        std::tuple<std::decay_t<Values>..., tillerhall::internal::no_value>>;

public:
    using return_type =
        std::conditional_t<sizeof...(Values) == 0, void, value_type>;

    template <class Initiation, class... Args>
    static return_type
    initiate(Initiation&& start, tillerhall::await token, Args&&... args)
    {
        tillerhall::internal::await_state<value_type> state;
        std::forward<Initiation>(start)(
            tillerhall::internal::await_handler<value_type>{&state},
            std::forward<Args>(args)...);
        state.wait();
        token.failed = state.failed;
        if constexpr (sizeof...(Values) != 0)
            return std::move(state.value);
    }
};

} // namespace boost::asio
