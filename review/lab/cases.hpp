/** @file The cases of the review by name. */
#pragma once

#include "lab.hpp"

namespace review
{

/** Plays a case. @return its exit code. */
using case_function = std::function<int(lab&, bool trouble)>;

const std::map<std::string, case_function>& cases();

} // namespace review
