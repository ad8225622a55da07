/** @file A value or the reason why there is none. */
#pragma once

#include "tillerhall/core/error.hpp"

#include <optional>
#include <utility>

namespace tillerhall
{

/** An optional value that keeps the last reason for its absence. */
template <class T>
class result
{
public:
    result(T value)
        : m_value(std::move(value))
    {
    }
    result(error reason)
        : m_reason(std::move(reason))
    {
    }

    explicit operator bool() const noexcept { return m_value.has_value(); }
    bool has_value() const noexcept { return m_value.has_value(); }

    T& operator*() noexcept { return *m_value; }
    const T& operator*() const noexcept { return *m_value; }
    T* operator->() noexcept { return &*m_value; }
    const T* operator->() const noexcept { return &*m_value; }

    /** @return the failure; its code is `none` when there is a value. */
    const error& reason() const noexcept { return m_reason; }

private:
    std::optional<T> m_value;
    error m_reason;
};

/** The outcome of an operation that yields nothing. */
template <>
class result<void>
{
public:
    result() = default;
    result(error reason)
        : m_reason(std::move(reason))
    {
    }

    explicit operator bool() const noexcept
    {
        return m_reason.code() == error_code::none;
    }
    const error& reason() const noexcept { return m_reason; }

private:
    error m_reason;
};

} // namespace tillerhall
