/// Runs a rapidcheck property inside a Criterion test.
#pragma once

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <string>

namespace archdyke::tests
{
	/// Checks a property and fails the test if rapidcheck finds a counter-example, which it prints.
	template <typename Property>
	void checkProperty(const std::string& _what, Property _property)
	{
		cr_assert(rc::check(_what, _property), "counter-example above: %s", _what.c_str());
	}
} // namespace archdyke::tests
