/**
 * @file The public API of the library: run a node, check a table, merge edits.
 * Headers that are not included here may change between versions.
 */
#pragma once

#include "tillerhall/core/error.hpp"
#include "tillerhall/core/result.hpp"
#include "tillerhall/node/node.hpp"
#include "tillerhall/node/settings.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/table/check.hpp"
#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/delta.hpp"
#include "tillerhall/table/merge.hpp"
