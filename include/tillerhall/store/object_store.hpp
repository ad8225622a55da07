/** @file Interface of the platform's object store. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <string>

namespace tillerhall
{

/** Stores objects under names; objects are read and written whole. */
class object_store
{
public:
    virtual ~object_store() = default;

    /** Stores @p content; may be repeated with the same content. */
    virtual result<void> put(const std::string& name,
                             const std::string& content) = 0;

    /** @return the content, `not_found` or `unavailable`. */
    virtual result<std::string> get(const std::string& name) = 0;
};

} // namespace tillerhall
