/// A gateway process with upstreams that send bytes which belong to no exchange, on kept connections.
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Longer than the heads of the stub's answers.
	constexpr int kMostBytes = 180;
	constexpr Millis kPatienceMs = 300;

	/// An answer that is followed by its first bytes, and the one that comes next on the same connection.
	struct AnswerPair
	{
		RigResponse first;
		RigResponse second;
		std::string secondRequest;
	};

	AnswerPair callTwice(const GatewayRig& _rig, const std::string& _first, const std::string& _second, const std::string& _when, int _bytes)
	{
		AnswerPair pair;
		const std::string name = fmt::format("{}-{}-{}", _first, _when, _bytes);
		pair.first = _rig.call(fmt::format("/once/x?do={}&behind={}&behindWhen={}", _first, _bytes, _when), GatewayRig::headersFor(name + "-1", kPatienceMs));
		pair.secondRequest = name + "-2";
		pair.second = _rig.call("/once/x?do=" + _second, GatewayRig::headersFor(pair.secondRequest, kPatienceMs));
		return pair;
	}

	bool promisesNotRun(int _status)
	{
		return 408 == _status || 421 == _status || 429 == _status || 503 == _status;
	}

	/// @returns Whether a caller got the answer that the upstream gave, or one of the gateway's own that promises nothing.
	bool isOwnOrFailed(const RigResponse& _answer, const std::string& _behaviour)
	{
		const bool own = "ok" == _behaviour ? 200 == _answer.status && "GET /once/x?do=ok " == _answer.body : 500 == _answer.status && "failed" == _answer.body;
		const bool failed = (502 == _answer.status || 504 == _answer.status) && !_answer.headers.contains("X-Archdyke-Server-Stamp");
		return own || failed;
	}

	/// Cuts the second copy of an answer at each of its bytes.
	/// @returns Calls whose answer isn't the one that their upstream gave, in words.
	std::string findMixedAnswers(const std::string& _first, const std::string& _second, const std::string& _when)
	{
		GatewayRig rig({"a"});
		rig.waitReady();
		std::string mixed;
		for (int bytes = 1; bytes <= kMostBytes; ++bytes)
		{
			const AnswerPair pair = callTwice(rig, _first, _second, _when, bytes);
			const bool falseRefusal = promisesNotRun(pair.second.status) && 0 < runsOf(rig, pair.secondRequest);
			if (!isOwnOrFailed(pair.second, _second) || falseRefusal)
			{
				mixed += fmt::format(" {} bytes: {};", bytes, pair.second.status);
			}
		}
		return mixed;
	}
} // namespace

/// Guards against an answer with the status of an earlier one: bytes of a second answer that came behind the first were read as the
/// beginning of the next answer on that connection.
Test(answers, bytes_behind_a_failure_are_not_joined_with_the_next_answer)
{
	const std::string mixed = findMixedAnswers("fail", "ok", "now");
	cr_assert(mixed.empty(), "%s", mixed.c_str());
}

Test(answers, bytes_behind_a_failure_that_come_late_are_not_joined_with_the_next_answer)
{
	const std::string mixed = findMixedAnswers("fail", "ok", "next");
	cr_assert(mixed.empty(), "%s", mixed.c_str());
}

Test(answers, bytes_behind_a_success_that_come_late_make_no_failure_a_success)
{
	const std::string mixed = findMixedAnswers("ok", "fail", "next");
	cr_assert(mixed.empty(), "%s", mixed.c_str());
}

/// The same with rejections: a request that ran must not be reported as not run.
Test(answers, bytes_behind_a_rejection_that_come_late_prove_nothing_of_the_next_request)
{
	const std::string mixed = findMixedAnswers("shed", "ok", "next");
	cr_assert(mixed.empty(), "%s", mixed.c_str());
}
