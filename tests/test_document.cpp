/// Operators' files: each problem is reported with its location and a remedy.
#include "archdyke/document.h"
#include "archdyke/errors.h"
#include "check.h"

using namespace archdyke;

namespace
{
	constexpr const char* kHead = R"({"office": "o", "zones": [{"name": "z", "region": "r"}], "services": [{"name": "s", "kind": "plain", "deadlineMs": 100}], )";

	std::vector<Problem> problemsOf(const std::string& _text)
	{
		try
		{
			parseDocument("file.json", _text);
			return {};
		}
		catch (const InvalidInputError& error)
		{
			return error.problems;
		}
	}

	bool hasProblemAt(const std::vector<Problem>& _problems, const std::string& _where)
	{
		return std::any_of(_problems.begin(), _problems.end(), [&](const Problem& _problem) {
			return _where == _problem.where && !_problem.found.empty() && !_problem.remedy.empty();
		});
	}
} // namespace

Test(document, a_valid_file_has_no_problem)
{
	const std::string text = std::string("// comment\n") + kHead + R"("organisations": [], "upstreams": [{"name": "u", "service": "s", "zone": "z"}]})";
	cr_assert(problemsOf(text).empty());
	cr_assert(1 == parseDocument("f", text).upstreams.size());
}

Test(document, syntax_errors_name_the_line)
{
	const std::vector<Problem> problems = problemsOf("{\n\"office\": \"o\",\n oops\n}");
	cr_assert(1 == problems.size() && "line 3" == problems.front().where, "%s", problems.front().where.c_str());
}

Test(document, all_problems_are_shown_at_once)
{
	const std::vector<Problem> problems = problemsOf(std::string(kHead) + R"("organisations": [{"name": "A b", "keyDigest": "x", "requestsPerSecond": -1, "burst": "2"}], "upstreams": [{"name": "u", "service": "nope", "zone": "nowhere"}, {"name": "u", "service": "s", "zone": "z", "group": "g", "extra": 1}]})");
	cr_assert(hasProblemAt(problems, "organisations[0].name"));
	cr_assert(hasProblemAt(problems, "organisations[0].keyDigest"));
	cr_assert(hasProblemAt(problems, "organisations[0].requestsPerSecond"));
	cr_assert(hasProblemAt(problems, "organisations[0].burst"));
	cr_assert(hasProblemAt(problems, "upstreams[0].service"));
	cr_assert(hasProblemAt(problems, "upstreams[0].zone"));
	cr_assert(hasProblemAt(problems, "upstreams[1].name"));
	cr_assert(hasProblemAt(problems, "upstreams[1].group"));
	cr_assert(hasProblemAt(problems, "upstreams[1].extra"));
}

Test(document, duplicate_and_missing_fields_are_reported)
{
	cr_assert(hasProblemAt(problemsOf(R"({"office": "a", "office": "b"})"), "field \"office\""));
	cr_assert(hasProblemAt(problemsOf("{}"), "office"));
	cr_assert(hasProblemAt(problemsOf("[]"), "the whole text"));
}

Test(document, arbitrary_input_does_not_crash_the_parser)
{
	tests::checkProperty("any text", [] {
		problemsOf(*rc::gen::arbitrary<std::string>());
	});
}

Test(document, diff_names_what_changed)
{
	Document from;
	from.zones = {{"a", "r", 1.0}, {"b", "r", 1.0}};
	Document to = from;
	to.zones[0].distanceMs = 2.0;
	to.zones[1].name = "c";
	const std::vector<std::string> expected{"change zone a", "add zone c", "remove zone b"};
	cr_assert(expected == diffDocuments(from, to));
}
