/** @file The platform's object store, as the library uses it. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <string>

namespace tillerhall
{

/** Stores whole objects under names. */
class object_store
{
public:
    virtual ~object_store() = default;

    /** Stores @p content; repeating it is harmless for equal content. */
    virtual result<void> put(const std::string& name,
                             const std::string& content) = 0;

    /** @return the content, or not_found, or unavailable. */
    virtual result<std::string> get(const std::string& name) = 0;
};

} // namespace tillerhall
