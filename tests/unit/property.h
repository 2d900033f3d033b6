#pragma once

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <utility>

// Runs a RapidCheck property inside a CppUTest case. Seed and case count come from RC_PARAMS.
template <typename Property>
void checkProperty(const char* description, Property&& property)
{
    CHECK_TRUE_TEXT(rc::check(description, std::forward<Property>(property)), description);
}
