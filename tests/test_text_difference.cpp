/// Delta encoding between texts: arbitrary texts and malformed deltas.
#include "archdyke/text_difference.h"

#include <vector>

#include "check.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// @returns A configuration whose lines have little in common.
	std::string document(int _lines, int _version)
	{
		std::string text = "version " + std::to_string(_version) + "\n";
		for (int line = 0; line < _lines; ++line)
		{
			text += "route " + std::to_string(line * 7'919) + " to service " + std::to_string(line % 13) + " within " + std::to_string(100 + line * 31 % 4'000) + " ms\n";
		}
		return text;
	}

	/// @returns A text of few kinds of chunks, so that texts have ranges in common.
	std::string makeRandomText()
	{
		std::string text;
		const int pieces = *rc::gen::inRange(0, 30);
		for (int piece = 0; piece < pieces; ++piece)
		{
			text += document(3, *rc::gen::inRange(0, 6)).substr(0, *rc::gen::element<std::size_t>(0, 1, 31, 32, 33, 70));
		}
		return text;
	}
} // namespace

Test(textdifference, a_delta_restores_the_target_from_the_base)
{
	checkProperty("any two texts", [] {
		const std::string base = makeRandomText();
		const std::string target = makeRandomText();
		RC_ASSERT(target == applyTextDifference(base, makeTextDifference(base, target)));
	});
}

Test(textdifference, one_changed_line_of_a_thousand_takes_a_hundredth)
{
	const std::string base = document(1'000, 1);
	std::string target = document(1'000, 2);
	target.replace(target.size() / 2, 10, "0123456789abc");
	target += "one more line\n";
	const std::string difference = makeTextDifference(base, target);
	cr_assert(difference.size() * 100 < target.size(), "%zu of %zu", difference.size(), target.size());
	cr_assert(target == applyTextDifference(base, difference));
}

Test(textdifference, a_wrong_base_is_detected)
{
	const std::string difference = makeTextDifference(document(100, 1), document(100, 2));
	std::string other = document(100, 1);
	other[other.size() / 2] ^= 1;
	cr_assert(!applyTextDifference(other, difference));
	cr_assert(!applyTextDifference("", difference));
}

Test(textdifference, a_truncated_or_changed_delta_is_rejected)
{
	const std::string base = document(50, 1);
	const std::string target = document(50, 2);
	const std::string whole = makeTextDifference(base, target);
	checkProperty("cut, changed or made up", [&] {
		std::string bytes = *rc::gen::element(whole, whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size())), *rc::gen::arbitrary<std::string>());
		const bool changes = *rc::gen::arbitrary<bool>() && !bytes.empty();
		if (changes)
		{
			bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= char(*rc::gen::inRange(1, 256));
		}
		const std::optional<std::string> made = applyTextDifference(base, bytes);
		RC_ASSERT(!made || target == *made || bytes != whole);
		RC_ASSERT(bytes == whole || !made || target == *made);
	});
}
