/// The gateway's pure decisions: routes and keys, freshness, retry budget, events, choice of
/// upstream, admission, times to come back.
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

	/// Requests of each of some upstreams after arrivals at many gateways that all see the same
	/// reported loads.
	template <typename Choose>
	std::uint32_t mostAfterArrivals(Choose _choose)
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

Test(decisions, a_split_follows_its_weights)
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

/// Whatever the true offset of the clocks and the ways there and back, the proof is never told
/// younger than the answer is.
Test(decisions, a_proof_is_never_younger_than_the_stores_answer)
{
	checkProperty("proof at most the store's answer", [] {
		const auto offset = *rc::gen::inRange<Millis>(-100'000, 100'000);
		Freshness freshness;
		Millis now = 0;
		for (int call = 0; call < 20; ++call)
		{
			const Millis sent = now + *rc::gen::inRange<Millis>(0, 500);
			const Millis answered = sent + *rc::gen::inRange<Millis>(0, 3'000);
			noteProof(freshness, sent, answered - offset);
			RC_ASSERT(*freshness.provenAt <= answered);
			now = answered + *rc::gen::inRange<Millis>(0, 3'000);
		}
	});
}

Test(decisions, without_the_stores_clock_the_proof_is_as_old_as_the_call)
{
	Freshness freshness;
	cr_assert(!proofAge(freshness, 10));
	noteProof(freshness, 100, std::nullopt);
	cr_assert(50 == *proofAge(freshness, 150));
}

/// Any number of gateways together stay within the ratio of any window plus the allowance.
Test(decisions, resends_stay_within_the_window)
{
	checkProperty("resends of any window", [] {
		const RetryBounds bounds{0.2, 3.0, 1'000};
		RetryWindow window;
		std::vector<Millis> firsts;
		std::vector<Millis> resends;
		Millis now = 0;
		for (int event = 0; event < 200; ++event)
		{
			now += *rc::gen::inRange<Millis>(0, 40);
			if (*rc::gen::arbitrary<bool>())
			{
				noteFirstSend(window, bounds.windowMs, now);
				firsts.push_back(now);
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
			RC_ASSERT(within(resends) <= bounds.ratio * double(firsts.size()) + bounds.allowance);
		}
	});
}

Test(decisions, events_are_split_wherever_the_pieces_end)
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

Test(decisions, events_go_out_once_and_in_order)
{
	cr_assert(EventVerdict::Deliver == judgeEvent({5, ""}, std::nullopt));
	cr_assert(EventVerdict::Deliver == judgeEvent({5, ""}, 4));
	cr_assert(EventVerdict::Skip == judgeEvent({4, ""}, 4));
	cr_assert(EventVerdict::Break == judgeEvent({6, ""}, 4));
	cr_assert(EventVerdict::Deliver == judgeEvent({std::nullopt, ""}, 4));
}

/// With loads that are old, the least loaded upstream would get what all gateways send.
Test(decisions, two_choices_make_no_herd)
{
	const std::uint32_t two = mostAfterArrivals([](const std::vector<UpstreamCandidate>& _seen, Random& _random) {
		return chooseUpstream(_seen, _random);
	});
	const std::uint32_t least = mostAfterArrivals([](const std::vector<UpstreamCandidate>& _seen, Random&) {
		return chooseLeastLoaded(_seen);
	});
	cr_assert(least == 60 && two <= 6, "least loaded: %u at one, two choices: %u", least, two);
}

Test(decisions, suspended_and_tried_upstreams_are_left_alone_while_others_are_there)
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

Test(decisions, three_failures_suspend_an_upstream_and_an_answer_takes_it_back)
{
	UpstreamHealth health;
	noteTry(health, true, 100);
	noteTry(health, true, 100);
	cr_assert(!isSuspended(health, 100));
	noteTry(health, true, 100);
	cr_assert(isSuspended(health, 101));
	cr_assert(!isSuspended(health, 10'000));
	noteTry(health, false, 200);
	cr_assert(!isSuspended(health, 201));
}

Test(decisions, a_slow_group_lets_fewer_in)
{
	const BatchView quick{4.0 * (4.55 + 0.9 * 6.0), 6.0};
	const BatchView slow{3.2 * quick.passMs, 6.0};
	const BatchView slowAndFull{3.2 * 4.0 * (4.55 + 0.9 * 7.0), 7.0};
	cr_assert(batchLimit(engine(), quick, 120) > 12.0);
	cr_assert(batchLimit(engine(), slow, 120) < 8.0);
	cr_assert(mayEnter(engine(), quick, {120, false}));
	cr_assert(!mayEnter(engine(), slowAndFull, {120, false}));
	cr_assert(mayEnter(engine(), slowAndFull, {120, true}));
}

Test(decisions, an_unknown_pass_lets_the_batch_fill)
{
	cr_assert(mayEnter(engine(), {0.0, 11.0}, {120, false}));
	cr_assert(!mayEnter(engine(), {0.0, 13.0}, {120, false}));
}

/// A burst of less urgent requests fills the batches: what yields stops short of the slots, the urgent don't.
Test(decisions, requests_that_yield_leave_the_headroom)
{
	const double passMs = 4.0 * (4.55 + 0.9 * 11.5);
	const BatchView nearlyFull{passMs, 11.5, passMs, 24.0, 12.0};
	cr_assert(mayEnter(engine(), nearlyFull, {120, false}));
	cr_assert(mayEnter(engine(), nearlyFull, {120, false, true, 11.0}));
	cr_assert(!mayEnter(engine(), nearlyFull, {120, false, true, 11.5}));
	cr_assert(12.0 - 5.0 == yieldingRoom(engine(), nearlyFull, {120, false, true, 5.0}));
}

/// Two engines have two requests beyond their slots each: the free slots of the others are no more for it.
Test(decisions, what_waits_at_one_engine_is_no_room_of_another)
{
	const BatchView uneven{40.0, 12.0, 40.0, 4.0, 4.0};
	cr_assert(mayEnter(engine(), uneven, {120, false, true, 3.0}));
	const BatchView even{40.0, 12.0, 40.0, 4.0, 0.0};
	cr_assert(!mayEnter(engine(), even, {120, false, true, 0.0}));
}

/// Long passes of 130 ms for an allowed 120, with 11 of 12 slots taken: two fewer would keep it. Passes of
/// 250 ms are long for other reasons, and fewer requests don't mend them.
Test(decisions, long_passes_leave_room_only_where_an_emptier_batch_helps)
{
	const BatchView late{60.0, 11.0, 130.0, 24.0, 24.0};
	cr_assert(0.0 > yieldingRoom(engine(), late, {120, false, true, 0.0}));
	cr_assert(mayEnter(engine(), late, {120, false}));
	const BatchView hopeless{60.0, 11.0, 250.0, 24.0, 24.0};
	cr_assert(24.0 == yieldingRoom(engine(), hopeless, {120, false, true, 0.0}));
	const BatchView untold{60.0, 11.0, 0.0, 24.0, 24.0};
	cr_assert(24.0 == yieldingRoom(engine(), untold, {120, false, true, 0.0}), "an older coordinator tells no long passes");
}

/// Who can't be served hears it within a quarter of its objective; who can may wait until it is too late.
Test(decisions, waits_go_by_the_objective_and_the_passes)
{
	const OrderedWait patient = orderedWait(1'000, 100.0);
	cr_assert(220 == patient.tellMs && 800 == patient.longestMs);
	const OrderedWait urgent = orderedWait(400, 100.0);
	cr_assert(88 == urgent.tellMs && 200 == urgent.longestMs);
	const OrderedWait late = orderedWait(400, 190.0);
	cr_assert(88 == late.tellMs && 88 == late.longestMs, "the urgent aren't told before the less urgent");
}

/// Callers that were refused together don't come together, and never later than they honour.
Test(decisions, times_to_come_back_are_spread_and_honoured)
{
	Random random(3);
	for (int cause = 0; cause < int(RefusalCause::Count); ++cause)
	{
		Millis least = 1'000'000;
		Millis most = 0;
		for (int draw = 0; draw < 200; ++draw)
		{
			const Millis wait = comeBackAfter(RefusalCause(cause), std::nullopt, 8'000, random);
			least = std::min(least, wait);
			most = std::max(most, wait);
		}
		cr_assert(least >= 50 && most <= 8'000 / 3 && least < most);
	}
	cr_assert(comeBackAfter(RefusalCause::GroupDown, std::nullopt, 900, random) <= 300);
}

/// Nearly all ranks are full, and all gateways see the same few free slots while 60 requests come.
Test(decisions, the_last_free_slots_are_not_flooded)
{
	constexpr int kArrivals = 60;
	std::vector<UpstreamCandidate> seen(72);
	Random random(7);
	for (std::size_t index = 0; index < seen.size(); ++index)
	{
		seen[index].slots = 10;
		seen[index].load = 0 == index % 4 ? 9.0 : 11.0;
	}
	seen[0].load = 7.0;
	std::vector<int> arrived(seen.size(), 0);
	for (int arrival = 0; arrival < kArrivals; ++arrival)
	{
		arrived[*chooseUpstream(seen, random)] += 1;
	}
	// The emptiest of all got 30 of them; each of the 18 with a free slot its part.
	cr_assert(arrived[0] <= 12, "%d of 60", arrived[0]);
	const std::vector<UpstreamCandidate> full(72, UpstreamCandidate{11.0, 10, true, false, false, 0.0, 1.0});
	std::vector<int> queued(full.size(), 0);
	for (int arrival = 0; arrival < kArrivals; ++arrival)
	{
		queued[*chooseUpstream(full, random)] += 1;
	}
	cr_assert(*std::max_element(queued.begin(), queued.end()) <= 5, "all are full: no one gets them all");
}

Test(decisions, a_slow_upstream_gets_little)
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
	// Drawn twice, one time in 16, it has no rival; against any other it loses.
	cr_assert(slow < 45, "%d of 400", slow);
}

Test(decisions, only_an_upstream_that_is_silent_among_others_is_left)
{
	const Hearing silent{1, 1'000, 2'000};
	cr_assert(isSilent(silent, 2'000) && !isSilent(silent, 1'500));
	cr_assert(!isSilent({0, 1'000, 2'000}, 2'000));
	cr_assert(!isSilent({1, 1'000, 1'100}, 2'000));
	cr_assert(shouldLeaveSilent(silent, 1'000, 2'000) && !shouldLeaveSilent(silent, 500, 2'000));
}

/// All processes were killed: callers whose streams broke come back before their group opens 1.6 s later.
Test(decisions, who_came_back_waits_out_a_usual_outage)
{
	Outage outage;
	noteOutage(outage, false, 10'000);
	Millis now = 10'000;
	for (; now < 11'600; now += 10)
	{
		noteOutage(outage, false, now);
		cr_assert(mayAwaitOpening(outage, {true, 6'000, now - 10'000}, now));
		cr_assert(!mayAwaitOpening(outage, {false, 8'000, 0}, now), "who is here for the first time is told when to come back");
	}
	cr_assert(!mayAwaitOpening(outage, {true, 2'000, 1'000}, now), "half of its patience is left for its answer");
	noteOutage(outage, true, now);
	noteOutage(outage, false, now + 5'000);
	cr_assert(mayAwaitOpening(outage, {true, 6'000, 0}, now + 5'000), "another outage");
}

/// A zone is cut off for 6 s: nobody waits for a group that stays down, but at its beginning.
Test(decisions, nobody_waits_long_in_an_outage_that_lasts)
{
	Outage outage;
	for (Millis now = 10'000; now < 16'000; now += 100)
	{
		noteOutage(outage, false, now);
		cr_assert(mayAwaitOpening(outage, {true, 6'000, 0}, now) == (now < 12'600));
	}
}

/// Callers of an outage that has lasted a while come back when it ends, not 2 s after they were told.
Test(decisions, the_time_to_come_back_goes_by_the_age_of_the_outage)
{
	Outage outage;
	cr_assert(!expectedOpeningMs(outage, 10'000));
	noteOutage(outage, false, 10'000);
	cr_assert(2'000 == expectedOpeningMs(outage, 10'000));
	noteOutage(outage, false, 10'900);
	cr_assert(600 == expectedOpeningMs(outage, 11'400));
	noteOutage(outage, false, 11'500);
	noteOutage(outage, false, 12'400);
	cr_assert(200 == expectedOpeningMs(outage, 12'500));
	cr_assert(!expectedOpeningMs(outage, 12'700), "it isn't one of the usual kind");
	cr_assert(!expectedOpeningMs(outage, 14'000), "no request has seen it lately");
}

/// One rank of 24 takes 12 times its time for 9 s: its streams of 20 events kept all passes at 350 ms to
/// the end of it, though its experts had been moved within 3 s.
Test(decisions, streams_leave_a_slow_rank_while_its_group_is_late)
{
	cr_assert(shouldLeaveSlow({12.0, 350.0, 150}));
	cr_assert(!shouldLeaveSlow({12.0, 120.0, 150}), "its group is in time: a move would make the stream late");
	cr_assert(!shouldLeaveSlow({1.3, 350.0, 150}), "it isn't the one that slows the group");
	cr_assert(!shouldLeaveSlow({12.0, 0.0, 150}) && !shouldLeaveSlow({12.0, 350.0, 0}));
}

/// Moves of streams that get their answers anyway take half of the budget at most.
Test(decisions, resends_are_kept_for_requests_that_failed)
{
	RetryWindow window;
	const RetryBounds bounds{0.2, 2.0, 10'000};
	for (int first = 0; first < 40; ++first)
	{
		noteFirstSend(window, bounds.windowMs, first);
	}
	int moved = 0;
	for (; moved < 100 && hasResendToSpare(window, bounds, 100); ++moved)
	{
		cr_assert(takeResend(window, bounds, 100));
	}
	cr_assert(5 == moved, "%d of 10", moved);
	cr_assert(std::abs(resendsLeft(window, bounds, 100) - 5.0) < 1e-9);
	cr_assert(takeResend(window, bounds, 100));
}
