#pragma once

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <utility>

// Runs a RapidCheck property as a check of a CppUTest test. The environment variable RC_PARAMS sets
// the seed and the number of cases.
template <typename Property>
void checkProperty(const char* description, Property&& property)
{
    CHECK_TRUE_TEXT(rc::check(description, std::forward<Property>(property)), description);
}
