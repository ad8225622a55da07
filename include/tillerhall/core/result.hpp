/** @file A value or an error. */
#pragma once

#include "tillerhall/core/error.hpp"

#include <optional>
#include <utility>

namespace tillerhall
{

/** The value that an operation returns, or the error if it failed. */
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

    /** @return the error; its code is `none` when there is a value. */
    const error& reason() const noexcept { return m_reason; }

private:
    std::optional<T> m_value;
    error m_reason;
};

/** Success, or the error of an operation that returns no value. */
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
