/// Answers of an engine's rank that aren't whole, aren't of the call that reads them, or never end.
#include "agent/rank_control.h"
#include "archdyke/errors.h"
#include "raw_answers.h"

#include <criterion/criterion.h>

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	std::string rankAnswer(std::uint64_t _epoch)
	{
		return rawAnswer("200 OK", R"({"formation":1,"epoch":)" + std::to_string(_epoch) + R"(,"step":1,"fence":0,"staged":0,"armed":0,"floor":0,"decided":0,"decidedCommit":false})");
	}

	std::optional<std::uint64_t> epochOf(RankEngine& _engine)
	{
		try
		{
			return _engine.read(nullptr, nullptr, nullptr).epoch;
		}
		catch (const ArchdykeError&)
		{
			return std::nullopt;
		}
	}
} // namespace

// An engine's state is the only source of its rank's vote.
Test(rankanswers, bytes_behind_a_ranks_answer_are_no_part_of_its_next_state)
{
	const std::string first = rankAnswer(1);
	const std::string failing = failingCuts(first.size(), [&](std::size_t _cut) {
		const RawServer server(stutter(first, rankAnswer(2), _cut));
		RankEngine engine(server.address());
		return 1 == epochOf(engine) && 2 == epochOf(engine);
	});
	cr_assert(failing.empty(), "late bytes changed the next state at cuts%s", failing.c_str());
}

Test(rankanswers, a_ranks_answer_that_stops_at_any_byte_is_no_state)
{
	const std::string answer = rankAnswer(1);
	const std::string failing = failingCuts(answer.size() - 1, [&](std::size_t _cut) {
		const RawServer server(cutAt(answer, _cut));
		RankEngine engine(server.address());
		return !epochOf(engine);
	});
	cr_assert(failing.empty(), "a cut answer was taken for whole at cuts%s", failing.c_str());
}

Test(rankanswers, a_call_to_a_rank_ends_although_its_answer_drips_without_end)
{
	const std::string failing = failingKinds(false, 3'000, [](const RawServer& _server) {
		RankEngine engine(_server.address());
		return !epochOf(engine);
	});
	cr_assert(failing.empty(), "not ended as failed in time:%s", failing.c_str());
}
