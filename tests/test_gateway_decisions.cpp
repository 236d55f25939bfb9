/// Decision functions of the gateway: routes and keys, freshness, retry budget, events, choice of
/// upstream, admission and retry delays.
#include <numeric>

#include "archdyke/batch_admission.h"
#include "archdyke/catalog.h"
#include "archdyke/come_back.h"
#include "archdyke/event_stream.h"
#include "archdyke/freshness.h"
#include "archdyke/outage.h"
#include "archdyke/retry_window.h"
#include "archdyke/silence.h"
#include "archdyke/slow_rank.h"
#include "archdyke/upstream_choice.h"
#include "check.h"

using namespace archdyke;
using archdyke::tests::checkProperty;

namespace
{
	CatalogRoute route(const std::string& _host, const std::string& _prefix)
	{
		CatalogRoute result;
		result.name = _host + _prefix;
		result.host = _host;
		result.pathPrefix = _prefix;
		return result;
	}

	EngineModel engine()
	{
		EngineModel model;
		model.slots = 12;
		model.stepMs = 4.55;
		model.perSequenceMs = 0.9;
		model.stride = 4;
		return model;
	}

	/// @returns Maximum number of requests at one upstream after arrivals at many gateways that all see
	/// the same reported loads.
	template <typename Choose>
	std::uint32_t maxAfterArrivals(Choose _choose)
	{
		constexpr std::size_t kUpstreams = 63;
		constexpr int kArrivals = 60;
		std::vector<UpstreamCandidate> seen(kUpstreams);
		Random random(7);
		for (UpstreamCandidate& candidate : seen)
		{
			candidate.slots = 10;
			candidate.load = double(3 + randomBelow(random, 3));
		}
		std::vector<std::uint32_t> arrived(kUpstreams, 0);
		for (int arrival = 0; arrival < kArrivals; ++arrival)
		{
			arrived[*_choose(seen, random)] += 1;
		}
		return *std::max_element(arrived.begin(), arrived.end());
	}
} // namespace

Test(decisions, the_longest_prefix_of_the_host_wins)
{
	Catalog catalog;
	catalog.routes = {route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/")};
	const CatalogIndex index = makeIndex(catalog);
	cr_assert(findRoute(index, "a.example", "/x/y/z?q=/x/")->pathPrefix == "/x/y/");
	cr_assert(findRoute(index, "A.Example:8080", "/x/yz")->pathPrefix == "/x/");
	cr_assert(findRoute(index, "b.example", "/x/y/")->host == "b.example");
	cr_assert_null(findRoute(index, "b.example", "/z/"));
	cr_assert_null(findRoute(index, "c.example", "/x/"));
}

Test(decisions, services_are_chosen_by_weight)
{
	CatalogRoute split = route("a", "/");
	split.services = {{"old", 90}, {"none", 0}, {"new", 10}};
	cr_assert(chooseService(split, 0.0)->name == "old");
	cr_assert(chooseService(split, 0.89)->name == "old");
	cr_assert(chooseService(split, 0.91)->name == "new");
	split.services = {{"none", 0}};
	cr_assert_null(chooseService(split, 0.5));
}

Test(decisions, only_idempotent_requests_and_resumable_streams_may_repeat)
{
	CatalogRoute one = route("a", "/");
	cr_assert(!mayRepeat(one));
	one.stream = true;
	cr_assert(!mayRepeat(one));
	one.resumable = true;
	cr_assert(mayRepeat(one));
	CatalogRoute two = route("a", "/");
	two.repeat = Repeat::Always;
	cr_assert(mayRepeat(two));
}

/// For any clock offset and network delays, the age of the proof is at least the age of the response.
Test(decisions, a_proof_is_never_younger_than_the_stores_response)
{
	checkProperty("proof at most the store's answer", [] {
		const auto offset = *rc::gen::inRange<Millis>(-100'000, 100'000);
		Freshness freshness;
		Millis now = 0;
		for (int call = 0; call < 20; ++call)
		{
			const Millis sent = now + *rc::gen::inRange<Millis>(0, 500);
			const Millis answered = sent + *rc::gen::inRange<Millis>(0, 3'000);
			recordProof(freshness, sent, answered - offset);
			RC_ASSERT(*freshness.provenAt <= answered);
			now = answered + *rc::gen::inRange<Millis>(0, 3'000);
		}
	});
}

Test(decisions, without_the_stores_clock_the_proof_is_as_old_as_the_call)
{
	Freshness freshness;
	cr_assert(!proofAge(freshness, 10));
	recordProof(freshness, 100, std::nullopt);
	cr_assert(50 == *proofAge(freshness, 150));
}

/// Any number of gateways together stay within the ratio plus the allowance in any window.
Test(decisions, resends_stay_within_the_window)
{
	checkProperty("resends of any window", [] {
		const RetryLimits bounds{0.2, 3.0, 1'000};
		RetryWindow window;
		std::vector<Millis> firstSends;
		std::vector<Millis> resends;
		Millis now = 0;
		for (int event = 0; event < 200; ++event)
		{
			now += *rc::gen::inRange<Millis>(0, 40);
			if (*rc::gen::arbitrary<bool>())
			{
				recordFirstSend(window, bounds.windowMs, now);
				firstSends.push_back(now);
			}
			else if (takeResend(window, bounds, now))
			{
				resends.push_back(now);
			}
			const auto within = [&](const std::vector<Millis>& _times) {
				return double(std::count_if(_times.begin(), _times.end(), [&](Millis _at) {
					return now - bounds.windowMs < _at;
				}));
			};
			RC_ASSERT(within(resends) <= bounds.ratio * double(firstSends.size()) + bounds.allowance);
		}
	});
}

Test(decisions, events_are_split_for_any_chunk_boundaries)
{
	checkProperty("same events for any pieces", [] {
		const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: x\ndata: d\n\nrest";
		EventSplitter splitter;
		std::vector<StreamEvent> events;
		for (std::size_t at = 0; at < text.size();)
		{
			const std::size_t size = *rc::gen::inRange<std::size_t>(1, 9);
			for (const StreamEvent& event : splitEvents(splitter, std::string_view(text).substr(at, size)))
			{
				events.push_back(event);
			}
			at += size;
		}
		RC_ASSERT(4U == events.size());
		RC_ASSERT(events[0].id == std::optional<std::uint64_t>(1) && events[1].id == std::optional<std::uint64_t>(2));
		RC_ASSERT(!events[2].id && !events[3].id);
		RC_ASSERT(splitter.rest == "rest");
	});
}

Test(decisions, events_are_delivered_once_and_in_order)
{
	cr_assert(EventVerdict::Deliver == classifyEvent({5, ""}, std::nullopt));
	cr_assert(EventVerdict::Deliver == classifyEvent({5, ""}, 4));
	cr_assert(EventVerdict::Skip == classifyEvent({4, ""}, 4));
	cr_assert(EventVerdict::Break == classifyEvent({6, ""}, 4));
	cr_assert(EventVerdict::Deliver == classifyEvent({std::nullopt, ""}, 4));
}

/// With stale loads, always choosing the least loaded upstream sends it the requests of all gateways.
Test(decisions, two_choices_avoid_herding)
{
	const std::uint32_t two = maxAfterArrivals([](const std::vector<UpstreamCandidate>& _seen, Random& _random) {
		return chooseUpstream(_seen, _random);
	});
	const std::uint32_t least = maxAfterArrivals([](const std::vector<UpstreamCandidate>& _seen, Random&) {
		return chooseLeastLoaded(_seen);
	});
	cr_assert(least == 60 && two <= 6, "least loaded: %u at one, two choices: %u", least, two);
}

Test(decisions, suspended_and_excluded_upstreams_are_avoided_while_others_are_left)
{
	Random random(1);
	std::vector<UpstreamCandidate> candidates(3);
	candidates[0].suspended = true;
	candidates[1].excluded = true;
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert(2 == *chooseUpstream(candidates, random));
	}
	candidates[2].excluded = true;
	cr_assert(0 == *chooseUpstream(candidates, random));
	candidates[0].excluded = true;
	cr_assert(!chooseUpstream(candidates, random));
}

Test(decisions, three_failures_suspend_an_upstream_and_a_response_ends_it)
{
	UpstreamHealth health;
	recordAttempt(health, true, 100);
	recordAttempt(health, true, 100);
	cr_assert(!isSuspended(health, 100));
	recordAttempt(health, true, 100);
	cr_assert(isSuspended(health, 101));
	cr_assert(!isSuspended(health, 10'000));
	recordAttempt(health, false, 200);
	cr_assert(!isSuspended(health, 201));
}

Test(decisions, a_slow_group_admits_fewer_requests)
{
	const BatchLoad quick{4.0 * (4.55 + 0.9 * 6.0), 6.0};
	const BatchLoad slow{3.2 * quick.passMs, 6.0};
	const BatchLoad slowAndFull{3.2 * 4.0 * (4.55 + 0.9 * 7.0), 7.0};
	cr_assert(batchLimit(engine(), quick, 120) > 12.0);
	cr_assert(batchLimit(engine(), slow, 120) < 8.0);
	cr_assert(mayAdmit(engine(), quick, {120, false}));
	cr_assert(!mayAdmit(engine(), slowAndFull, {120, false}));
	cr_assert(mayAdmit(engine(), slowAndFull, {120, true}));
}

Test(decisions, an_unknown_pass_time_admits_a_full_batch)
{
	cr_assert(mayAdmit(engine(), {0.0, 11.0}, {120, false}));
	cr_assert(!mayAdmit(engine(), {0.0, 13.0}, {120, false}));
}

/// Callers that were refused together don't retry together, and no delay is longer than they honour.
Test(decisions, retry_delays_are_spread_and_honoured)
{
	Random random(3);
	for (int cause = 0; cause < int(RefusalCause::Count); ++cause)
	{
		Millis least = 1'000'000;
		Millis most = 0;
		for (int draw = 0; draw < 200; ++draw)
		{
			const Millis wait = chooseRetryDelayMs(RefusalCause(cause), std::nullopt, 8'000, random);
			least = std::min(least, wait);
			most = std::max(most, wait);
		}
		cr_assert(least >= 50 && most <= 8'000 / 3 && least < most);
	}
	cr_assert(chooseRetryDelayMs(RefusalCause::GroupDown, std::nullopt, 900, random) <= 300);
}

Test(decisions, a_slow_upstream_gets_few_requests)
{
	Random random(7);
	std::vector<UpstreamCandidate> candidates(4, UpstreamCandidate{2.0, 12, true, false, false, 0.0, 1.0});
	candidates[1].load = 0.0;
	candidates[1].pace = 4.0;
	int slow = 0;
	for (int draw = 0; draw < 400; ++draw)
	{
		slow += 1 == chooseUpstream(candidates, random) ? 1 : 0;
	}
	// It is chosen only if both random choices are this upstream, once in 16 times.
	cr_assert(slow < 45, "%d of 400", slow);
}

Test(decisions, only_an_upstream_that_alone_is_silent_is_abandoned)
{
	const UpstreamActivity silent{1, 1'000, 2'000};
	cr_assert(isSilent(silent, 2'000) && !isSilent(silent, 1'500));
	cr_assert(!isSilent({0, 1'000, 2'000}, 2'000));
	cr_assert(!isSilent({1, 1'000, 1'100}, 2'000));
	cr_assert(shouldAbandonSilent(silent, 1'000, 2'000) && !shouldAbandonSilent(silent, 500, 2'000));
}

/// All processes are killed: callers whose streams broke retry before their group opens 1.6 s later.
Test(decisions, returning_callers_wait_for_the_end_of_a_usual_outage)
{
	Outage outage;
	recordOutage(outage, false, 10'000);
	Millis now = 10'000;
	for (; now < 11'600; now += 10)
	{
		recordOutage(outage, false, now);
		cr_assert(mayWaitForRecovery(outage, {true, 6'000, now - 10'000}, now));
		cr_assert(!mayWaitForRecovery(outage, {false, 8'000, 0}, now), "who is here for the first time is told when to come back");
	}
	cr_assert(!mayWaitForRecovery(outage, {true, 2'000, 1'000}, now), "half of its patience is left for its answer");
	recordOutage(outage, true, now);
	recordOutage(outage, false, now + 5'000);
	cr_assert(mayWaitForRecovery(outage, {true, 6'000, 0}, now + 5'000), "another outage");
}

/// A zone is partitioned for 6 s: callers wait only at the beginning of the outage.
Test(decisions, callers_do_not_wait_in_a_long_outage)
{
	Outage outage;
	for (Millis now = 10'000; now < 16'000; now += 100)
	{
		recordOutage(outage, false, now);
		cr_assert(mayWaitForRecovery(outage, {true, 6'000, 0}, now) == (now < 12'600));
	}
}

/// Callers refused late in an outage retry when it is expected to end, not 2 s after their refusal.
Test(decisions, the_retry_delay_depends_on_the_age_of_the_outage)
{
	Outage outage;
	cr_assert(!expectedRecoveryMs(outage, 10'000));
	recordOutage(outage, false, 10'000);
	cr_assert(2'000 == expectedRecoveryMs(outage, 10'000));
	recordOutage(outage, false, 10'900);
	cr_assert(600 == expectedRecoveryMs(outage, 11'400));
	recordOutage(outage, false, 11'500);
	recordOutage(outage, false, 12'400);
	cr_assert(200 == expectedRecoveryMs(outage, 12'500));
	cr_assert(!expectedRecoveryMs(outage, 12'700), "it isn't one of the usual kind");
	cr_assert(!expectedRecoveryMs(outage, 14'000), "no request has seen it lately");
}

/// One rank of 24 takes 12 times its usual time for 9 s: its streams of 20 events kept all passes at 350 ms
/// for the whole time, although its experts had been moved within 3 s.
Test(decisions, streams_leave_a_slow_rank_while_its_group_is_late)
{
	cr_assert(shouldAbandonSlow({12.0, 350.0, 150}));
	cr_assert(!shouldAbandonSlow({12.0, 120.0, 150}), "its group is in time: a move would make the stream late");
	cr_assert(!shouldAbandonSlow({1.3, 350.0, 150}), "it isn't the one that slows the group");
	cr_assert(!shouldAbandonSlow({12.0, 0.0, 150}) && !shouldAbandonSlow({12.0, 350.0, 0}));
}

/// Moving streams that would complete anyway uses at most half of the budget.
Test(decisions, resends_are_kept_for_requests_that_failed)
{
	RetryWindow window;
	const RetryLimits bounds{0.2, 2.0, 10'000};
	for (int first = 0; first < 40; ++first)
	{
		recordFirstSend(window, bounds.windowMs, first);
	}
	int moved = 0;
	for (; moved < 100 && hasSpareResend(window, bounds, 100); ++moved)
	{
		cr_assert(takeResend(window, bounds, 100));
	}
	cr_assert(5 == moved, "%d of 10", moved);
	cr_assert(std::abs(remainingResends(window, bounds, 100) - 5.0) < 1e-9);
	cr_assert(takeResend(window, bounds, 100));
}
