/// Runs a property of generated cases inside a Criterion test.
#pragma once

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <string>

namespace archdyke::tests
{
	/// Fails the test with the shrunk counter-example, which rapidcheck prints.
	template <typename Property>
	void checkProperty(const std::string& _what, Property _property)
	{
		cr_assert(rc::check(_what, _property), "counter-example above: %s", _what.c_str());
	}
} // namespace archdyke::tests
